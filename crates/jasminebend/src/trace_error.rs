//! Why the traces could not be set up.

use derive_more::{
    Display,
    Error, //
};

/// The traces could not be set up.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("the traces could not be set up: {reason}")]
pub struct TraceError {
    /// What the trace library says.
    pub reason: String,
}
