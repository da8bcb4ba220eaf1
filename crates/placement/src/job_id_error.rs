//! Why a text is no job's identity.

use derive_more::{
    Display,
    Error, //
};

/// The text is no job's identity.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("a job's identity is up to sixteen hexadecimal digits")]
pub struct JobIdError;
