//! The error of a call to the object store.

use derive_more::{
    Display,
    Error, //
};

/// The error of a call to the object store. The administration API returns its `Display` text as
/// part of an answer.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum ObjectError {
    /// No connection to the store was established, so that the call had no effect.
    #[display("the object store cannot be reached")]
    Unreachable,
    /// The store rejects calls temporarily, so that the call had no effect.
    #[display("the object store refuses for now")]
    Refused,
    /// The answer was lost, late or malformed; a write may have taken effect.
    #[display("the object store's answer was lost; a write may have taken effect")]
    Unknown,
    /// The object exceeds the store's size limit, so that the call had no effect.
    #[display("the object is larger than the object store takes")]
    TooLarge,
}
