//! What one daemon at a time may hold.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// What one daemon at a time may hold: a share of the endpoints' slots, or a shard of the jobs.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum ResourceId {
    /// A slot share: every (endpoint, slot) pair belongs to one by hash.
    #[display("slots/{_0}")]
    Slots(u16),
    /// A shard: a set of racks and the jobs whose home it is.
    #[display("shard/{_0}")]
    Shard(u16),
}
