//! Error of a call that got no complete response.

use derive_more::{
    Display,
    Error,
    From, //
};

use crate::UsageError;

/// A call got no complete response.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq)]
pub enum AdminClientError {
    /// The command line, or a file that it names, can't be used; nothing was sent.
    #[display("{_0}")]
    Usage(UsageError),
    /// No connection could be established; nothing was sent.
    #[from(ignore)]
    #[display("{address} does not answer: {reason}")]
    Unreachable {
        /// The address of the administration API.
        address: String,
        /// The error's text.
        reason: String,
    },
    /// The connection ended, or the timeout elapsed, before the response was complete; a change may have taken effect.
    #[display("the answer was lost: {reason}")]
    Lost {
        /// The error's text.
        reason: String,
    },
}
