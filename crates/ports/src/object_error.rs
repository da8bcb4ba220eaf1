//! Why the object store gave no answer.

use derive_more::{
    Display,
    Error, //
};

/// Why the object store gave no answer.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum ObjectError {
    /// The store was not reached, so that nothing took effect.
    #[display("the object store cannot be reached")]
    Unreachable,
    /// The store refused for now, so that nothing took effect.
    #[display("the object store refuses for now")]
    Refused,
    /// The answer was lost, late or malformed: a write may have taken effect.
    #[display("the object store's answer was lost; a write may have taken effect")]
    Unknown,
    /// The object is larger than the store takes, so that nothing took effect.
    #[display("the object is larger than the object store takes")]
    TooLarge,
}
