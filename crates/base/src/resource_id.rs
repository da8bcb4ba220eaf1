//! The id of a resource that is owned by one daemon at a time.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// The id of a resource that is owned by one daemon at a time: a share of the endpoints' slots, or
/// a shard of the jobs.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum ResourceId {
    /// A slot share: a hash assigns each (endpoint, slot) pair to one of them.
    #[display("slots/{_0}")]
    Slots(u16),
    /// A shard: a set of racks, and the jobs that are assigned to it.
    #[display("shard/{_0}")]
    Shard(u16),
}
