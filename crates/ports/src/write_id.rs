//! The id of a write.

use derive_more::{
    Display,
    From, //
};
use rand::Rng;
use serde::{
    Deserialize,
    Serialize, //
};

/// The id of a write. Each row stores the id of its last write, so that a writer that got no answer
/// can read the row to find out whether its write took effect.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct WriteId(pub u64);

impl WriteId {
    /// Generates a random id. The probability that it equals a given other id is 2^-64.
    pub fn new<Source>(source: &mut Source) -> Self
    where
        Source: Rng + ?Sized,
    {
        Self(source.next_u64())
    }
}
