//! Why the VM list gave no answer.

use derive_more::{
    Display,
    Error, //
};

/// Why the VM list gave no answer.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum VmListError {
    /// The list was not reached, refused, or answered late.
    #[display("the VM list cannot be read")]
    Unavailable,
    /// The answer could not be read.
    #[display("the VM list's answer is malformed")]
    Malformed,
}
