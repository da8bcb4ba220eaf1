//! Why a command line is refused.

use std::path::PathBuf;

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::ConfigurationError;

/// Why a command line, or a file that it names, is refused. Nothing was sent.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum UsageError {
    /// Nothing is asked for.
    #[display("nothing to do; see `jbctl --help`")]
    Nothing,
    /// There is no such command.
    #[display("there is no command `{name}`; see `jbctl --help`")]
    UnknownCommand {
        /// The command as given.
        name: String,
    },
    /// An argument is missing.
    #[display("`{command}` takes {wants}; see `jbctl --help`")]
    MissingArgument {
        /// The command.
        command: &'static str,
        /// What it takes.
        wants: &'static str,
    },
    /// An option is unknown, lacks its value or has a bad one.
    #[display("{reason}; see `jbctl --help`")]
    Option {
        /// What the reader of the command line says.
        reason: String,
    },
    /// There is no such output format.
    #[display("there is no output format `{format}`; `text` or `json` would do")]
    UnknownFormat {
        /// The format as given.
        format: String,
    },
    /// The address is not one.
    #[display(
        "`{address}` is not an address; give an IP address and port, such as `10.0.0.5:9090`"
    )]
    BadAddress {
        /// The address as given.
        address: String,
    },
    /// A name cannot stand in a path.
    #[display("`{name}` is not a name; give letters, digits, `-`, `_`, `.`")]
    BadName {
        /// The name as given.
        name: String,
    },
    /// A file cannot be written.
    #[display("the file {} cannot be written: {reason}", path.display())]
    Unwritable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        reason: String,
    },
    /// A file cannot be read.
    #[display("the file {} cannot be read: {reason}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system says.
        reason: String,
    },
    /// A file does not hold what it should.
    #[display("the file {} does not fit: {reason}", path.display())]
    BadFile {
        /// The file.
        path: PathBuf,
        /// What the parser says.
        reason: String,
    },
    /// A configuration is impossible.
    #[display("the configuration {} is refused: line {line}: {error}", path.display())]
    BadConfiguration {
        /// The file.
        path: PathBuf,
        /// The line, from one.
        line: u64,
        /// The fault.
        error: ConfigurationError,
    },
}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        Self::Option {
            reason: error.to_string(),
        }
    }
}
