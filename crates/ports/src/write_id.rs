//! The identity of one write.

use derive_more::{
    Display,
    From, //
};
use rand::Rng;
use serde::{
    Deserialize,
    Serialize, //
};

/// The identity of one write. A row keeps that of its last write, so that a writer whose answer was
/// lost reads the row to learn whether the write took effect.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct WriteId(pub u64);

impl WriteId {
    /// Draws an identity that no other write has, but for a chance of 2^-64.
    pub fn new<Source>(source: &mut Source) -> Self
    where
        Source: Rng + ?Sized,
    {
        Self(source.next_u64())
    }
}
