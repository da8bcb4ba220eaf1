//! Errors of the command line.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_dispatch::UnknownPolicyPart;

/// Error of the command line.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum UsageError {
    /// There is no command.
    #[display("nothing to do; see `jasminebend --help`")]
    Nothing,
    /// The command does not exist.
    #[display("there is no command `{name}`; see `jasminebend --help`")]
    UnknownCommand {
        /// The command as given.
        name: String,
    },
    /// The argument of `check` is missing.
    #[display("`check` takes the settings file as its argument")]
    MissingFile,
    /// `--without` names a policy part that does not exist.
    #[display("{_0}")]
    Part(#[error(not(source))] UnknownPolicyPart),
    /// An option is unknown, or its value is missing or invalid.
    #[display("{reason}; see `jasminebend --help`")]
    Option {
        /// The argument parser's message.
        reason: String,
    },
}

impl From<UnknownPolicyPart> for UsageError {
    fn from(error: UnknownPolicyPart) -> Self {
        Self::Part(error)
    }
}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        Self::Option {
            reason: error.to_string(),
        }
    }
}
