//! Error for a command line, or a file that it names, that can't be used.

use std::path::PathBuf;

use derive_more::{
    Display,
    Error, //
};
use jasminebend_base::ConfigurationError;

/// A command line, or a file that it names, can't be used; nothing was sent to a daemon.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum UsageError {
    /// The command line contains no command.
    #[display("nothing to do; see `jbctl --help`")]
    MissingCommand,
    /// The command does not exist.
    #[display("there is no command `{name}`; see `jbctl --help`")]
    UnknownCommand {
        /// The command as given, its words joined by spaces.
        name: String,
    },
    /// A command lacks an argument.
    #[display("`{command}` takes {arguments}; see `jbctl --help`")]
    MissingArgument {
        /// The command.
        command: &'static str,
        /// The arguments that it takes, as a phrase.
        arguments: &'static str,
    },
    /// An option is unknown, has no value or an invalid one, or does not belong to the command.
    #[display("{reason}; see `jbctl --help`")]
    InvalidOption {
        /// The fault, as a sentence.
        reason: String,
    },
    /// The value of `--output` is not a known format.
    #[display("there is no output format `{format}`; `text` or `json` would do")]
    UnknownOutputFormat {
        /// The format as given.
        format: String,
    },
    /// The value of `--address` is not an IP address with a port.
    #[display(
        "`{address}` is not an address; give an IP address and port, such as `10.0.0.5:9090`"
    )]
    InvalidAddress {
        /// The address as given.
        address: String,
    },
    /// A name or identifier contains characters that would need escaping in a URL path, or is empty.
    #[display("`{name}` is not a name; give letters, digits, `-`, `_`, `.`")]
    InvalidName {
        /// The name or identifier as given.
        name: String,
    },
    /// A file cannot be written.
    #[display("the file {} cannot be written: {reason}", path.display())]
    UnwritableFile {
        /// The path of the file.
        path: PathBuf,
        /// The error's text.
        reason: String,
    },
    /// A file cannot be read.
    #[display("the file {} cannot be read: {reason}", path.display())]
    UnreadableFile {
        /// The path of the file, or `standard input`.
        path: PathBuf,
        /// The error's text.
        reason: String,
    },
    /// The content of a file is invalid: YAML, certificates or a token.
    #[display("the file {} does not fit: {reason}", path.display())]
    InvalidFile {
        /// The path of the file.
        path: PathBuf,
        /// The parser's error text.
        reason: String,
    },
    /// A configuration file can be parsed, but contradicts itself.
    #[display("the configuration {} is refused: line {line}: {error}", path.display())]
    InvalidConfiguration {
        /// The path of the file.
        path: PathBuf,
        /// The number of the line with the fault; the first line is 1.
        line: u64,
        /// The fault that the check of the configuration found.
        error: ConfigurationError,
    },
}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        Self::InvalidOption {
            reason: error.to_string(),
        }
    }
}
