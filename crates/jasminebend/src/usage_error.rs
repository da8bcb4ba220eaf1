//! Why a command line is refused.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_dispatch::UnknownPolicyPart;

/// Why a command line is refused.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum UsageError {
    /// Nothing is asked for.
    #[display("nothing to do; see `jasminebend --help`")]
    Nothing,
    /// There is no such command.
    #[display("there is no command `{name}`; see `jasminebend --help`")]
    UnknownCommand {
        /// The command as given.
        name: String,
    },
    /// The file to check is missing.
    #[display("`check` takes the settings file as its argument")]
    MissingFile,
    /// A part of the policy that does not exist is to be done without.
    #[display("{_0}")]
    Part(#[error(not(source))] UnknownPolicyPart),
    /// An option is unknown, lacks its value or has a bad one.
    #[display("{reason}; see `jasminebend --help`")]
    Option {
        /// What the reader of the command line says.
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
