//! Error of setting up the log.

use derive_more::{
    Display,
    Error, //
};

/// Error of setting up the log.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("the log could not be set up: {reason}")]
pub struct LogError {
    /// The log library's or operating system's error.
    pub reason: String,
}

impl LogError {
    pub(crate) fn new<Cause>(cause: Cause) -> Self
    where
        Cause: ToString,
    {
        Self {
            reason: cause.to_string(),
        }
    }
}
