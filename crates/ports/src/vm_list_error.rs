//! The error of reading the VM list.

use derive_more::{
    Display,
    Error, //
};

/// The error of reading the VM list.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum VmListError {
    /// The list's server was unreachable, rejected the call, or answered too late.
    #[display("the VM list cannot be read")]
    Unavailable,
    /// The answer can't be parsed.
    #[display("the VM list's answer is malformed")]
    Malformed,
}
