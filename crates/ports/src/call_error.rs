//! What an HTTP call of the platform or of a worker met.

use crate::{
    ObjectError,
    TableError,
    VmListError,
    WorkerError, //
};

/// What an HTTP call of the platform or of a worker met, in place of a usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallError {
    /// No connection was made.
    Unreachable,
    /// The server said that it did not run the call.
    Refused,
    /// The connection broke after a byte may have been written.
    Broken,
    /// No answer came in time.
    Late,
    /// The answer could not be read.
    Malformed,
    /// The server said that the call is too large.
    TooLarge,
}

impl From<CallError> for TableError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Unreachable => Self::Unreachable,
            CallError::Refused => Self::Refused,
            CallError::Broken | CallError::Late => Self::Unknown,
            CallError::Malformed => Self::Malformed,
            CallError::TooLarge => Self::TooLarge,
        }
    }
}

impl From<CallError> for ObjectError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Unreachable => Self::Unreachable,
            CallError::Refused => Self::Refused,
            CallError::Broken | CallError::Late | CallError::Malformed => Self::Unknown,
            CallError::TooLarge => Self::TooLarge,
        }
    }
}

impl From<CallError> for VmListError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Malformed => Self::Malformed,
            _ => Self::Unavailable,
        }
    }
}

impl From<CallError> for WorkerError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Unreachable | CallError::Refused | CallError::TooLarge => Self::Unreachable,
            CallError::Broken | CallError::Late | CallError::Malformed => Self::Unknown,
        }
    }
}
