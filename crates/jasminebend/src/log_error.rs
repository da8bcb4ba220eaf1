//! Why the log could not be set up.

use derive_more::{
    Display,
    Error, //
};

/// The log could not be set up.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("the log could not be set up: {reason}")]
pub struct LogError {
    /// What the log library says.
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
