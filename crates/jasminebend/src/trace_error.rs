//! Error of setting up the trace export.

use derive_more::{
    Display,
    Error, //
};

/// Error of setting up the trace export.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
#[display("the traces could not be set up: {reason}")]
pub struct TraceError {
    /// The trace library's error.
    pub reason: String,
}
