//! The reason why an HTTP call to the platform or to a worker failed.

use crate::{
    ObjectError,
    TableError,
    VmListError,
    WorkerError, //
};

/// The reason why an HTTP call to the platform or to a worker got no usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallError {
    /// No connection was established, so that the call was not executed.
    Unreachable,
    /// The call was not executed: the server responded so or rejected it (400, 401 or 403), or it
    /// contained characters that HTTP does not allow and was not sent.
    Refused,
    /// The connection failed after a byte of the call may have been written, so that the call may
    /// have been executed.
    ConnectionLost,
    /// No answer arrived within the timeout; the call may have been executed.
    TimedOut,
    /// The answer can't be parsed, or is an error (5xx or 429) that does not say that the call was
    /// not executed; the call may have been executed.
    Malformed,
    /// The call is too large, by the limit of the client or by a response of the server, so that it
    /// was not executed.
    TooLarge,
}

impl From<CallError> for TableError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::Unreachable => Self::Unreachable,
            CallError::Refused => Self::Refused,
            CallError::ConnectionLost | CallError::TimedOut => Self::Unknown,
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
            CallError::ConnectionLost | CallError::TimedOut | CallError::Malformed => Self::Unknown,
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
            CallError::ConnectionLost | CallError::TimedOut | CallError::Malformed => Self::Unknown,
        }
    }
}
