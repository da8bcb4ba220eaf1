//! Why a body was cut.

use derive_more::{
    Display,
    Error, //
};

/// Why a body was cut, in either direction. Whoever reads the body must see it end in an error.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum BodyError {
    /// The caller's body is larger than allowed.
    #[display("the request's body is larger than allowed")]
    TooLarge,
    /// Nothing of the body came for too long.
    #[display("the body stood still for too long")]
    Stalled,
    /// The other side closed its connection before the body's end.
    #[display("the body was cut short")]
    CutShort,
    /// The exchange took longer than any request may.
    #[display("the exchange took longer than any request may")]
    TooLong,
}
