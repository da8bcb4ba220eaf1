//! The ID of a job.

use std::str::FromStr;

use derive_more::{
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::JobIdError;

/// The ID of a job, displayed as sixteen hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = JobIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| JobIdError)
    }
}
