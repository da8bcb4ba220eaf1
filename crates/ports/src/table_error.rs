//! The error of a call to the table service.

use derive_more::{
    Display,
    Error, //
};

/// The error of a call to the table service. The administration API returns its `Display` text as
/// part of an answer.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum TableError {
    /// No connection to the service was established, so that the call had no effect.
    #[display("the table service cannot be reached")]
    Unreachable,
    /// The service rejects calls temporarily (throttling or an outage), so that the call had no
    /// effect.
    #[display("the table service refuses for now")]
    Refused,
    /// The answer was lost or late; a write may have taken effect. How the writer resolves this is
    /// described at [`crate::TableService`].
    #[display("the table service's answer was lost; a write may have taken effect")]
    Unknown,
    /// The answer can't be parsed; a write may have taken effect.
    #[display("the table service's answer is malformed")]
    Malformed,
    /// The request exceeds the service's size limit, so that the call had no effect.
    #[display("the request is larger than the table service takes")]
    TooLarge,
}

impl TableError {
    /// Returns whether a write that failed with this error certainly had no effect.
    pub fn certainly_had_no_effect(self) -> bool {
        match self {
            Self::Unreachable | Self::Refused | Self::TooLarge => true,
            Self::Unknown | Self::Malformed => false,
        }
    }
}
