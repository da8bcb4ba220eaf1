//! Whether a shard is planned.

use crate::JournalError;

/// Whether a shard is planned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ShardPhase {
    /// Its journal must be read.
    Closed,
    /// Its journal is being read.
    Opening,
    /// It is planned.
    Open,
    /// Its journal cannot be used; it stays idle until operators have mended it.
    Faulted(JournalError),
    /// Another owner took it over.
    Deposed,
}
