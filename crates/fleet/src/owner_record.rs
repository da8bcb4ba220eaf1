//! The records that the store holds about the owner, the members and the jobs.

use serde::{
    Deserialize,
    Serialize, //
};

/// The number of fencing tokens that a term takes: calls to a worker carry a higher one after each of its restarts.
pub const TOKENS_PER_TERM: u64 = 256;

/// The daemon that owns the jobs and workers of a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnerRecord {
    /// The daemon's name.
    pub node: String,
    /// The daemon's incarnation, which differs after each start.
    pub incarnation: u64,
    /// The daemon's address for other daemons.
    pub address: String,
    /// The fencing token, which increases with each change of the owner: the highest of the term's tokens, so that a daemon of
    /// an earlier version, which claims the next token, is above all of them.
    pub token: u64,
    /// Whether the daemon has given up the ownership.
    pub vacant: bool,
}

/// A member: a daemon that may become the owner of a shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// The daemon's name.
    pub node: String,
    /// The daemon's incarnation, which differs after each start.
    pub incarnation: u64,
    /// The daemon's address for other daemons.
    pub address: String,
    /// The daemon's CPU share, in millicores.
    pub cpu_millis: u64,
}

/// An accepted job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// The name of the queue that the job was submitted to.
    pub queue: String,
    /// When the job was accepted, by the wall clock of the daemon that accepted it, in milliseconds since 1970.
    pub accepted_ms: u64,
    /// The job's steps and their dependencies.
    pub graph: jasminebend_dispatch::JobGraph,
}
