//! The error for a text that is not a job ID.

use derive_more::{
    Display,
    Error, //
};

/// The text is not a job ID.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("a job ID has up to sixteen hexadecimal digits")]
pub struct JobIdError;
