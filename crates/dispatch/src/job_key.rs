//! Identifier of a job.

use std::{
    fmt,
    str::FromStr, //
};

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// The number of hexadecimal digits of a job identifier.
const HEX_DIGITS: usize = 16;

/// Identifier of a job, chosen by its submitter: 64 bits, written as 16 lower-case hexadecimal
/// digits.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct JobKey(u64);

/// Error for a text that is not a valid job identifier.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("a job's identity is 16 hexadecimal digits in lower case")]
pub struct JobKeyError;

impl JobKey {
    /// Creates the identifier with this value.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the partition of the job, from 0 to `count - 1`; jobs spread evenly over the
    /// partitions.
    pub fn partition(self, count: u8) -> u8 {
        // Fibonacci hashing: multiplying by an odd number near 2^64 over the golden ratio
        // carries every bit upwards.
        const MIX: u64 = 0x9e37_79b9_7f4a_7c15;
        let mixed = self.0.wrapping_mul(MIX) >> 32;
        // CAST: Less than `count`.
        (mixed % u64::from(count.max(1))) as u8
    }
}

impl fmt::Display for JobKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for JobKey {
    type Err = JobKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_lower_hex = text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte));
        if text.len() != HEX_DIGITS || !is_lower_hex {
            return Err(JobKeyError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| JobKeyError)
    }
}
