//! The phase of a shard's actor.

use crate::JournalError;

/// The phase of a shard's actor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ShardPhase {
    /// The journal must be read.
    Closed,
    /// The journal is being read.
    Opening,
    /// The journal was read and the shard is planned.
    Open,
    /// The journal cannot be used. The shard stays idle until an operator has repaired it.
    Faulted(JournalError),
    /// Another owner took the shard over.
    Deposed,
}
