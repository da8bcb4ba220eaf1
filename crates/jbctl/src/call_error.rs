//! Why a call got no whole answer.

use derive_more::{
    Display,
    Error,
    From, //
};

use crate::UsageError;

/// Why a call got no whole answer.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq)]
pub enum CallError {
    /// The options are of no use; nothing was sent.
    #[display("{_0}")]
    Usage(UsageError),
    /// No connection came about; nothing was sent.
    #[from(ignore)]
    #[display("{address} does not answer: {reason}")]
    Unreachable {
        /// The address.
        address: String,
        /// What the system says.
        reason: String,
    },
    /// The connection ended, or time ran out, before the answer was whole.
    #[display("the answer was lost: {reason}")]
    Lost {
        /// What happened.
        reason: String,
    },
}
