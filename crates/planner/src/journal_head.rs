//! The head row of a shard's journal.

use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

/// The head row of a shard's journal. Every commit replaces it by compare-and-set, so that a late
/// commit of a former owner finds an unexpected version and fails.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct JournalHead {
    /// Epoch of the owner that wrote this row.
    pub(crate) epoch: OwnerEpoch,
    /// Object key of the snapshot that the log continues; `None` before the first snapshot.
    pub(crate) snapshot: Option<String>,
    /// Sequence number of the first log row after the snapshot.
    pub(crate) first: u64,
    /// Sequence number of the next log row to be written.
    pub(crate) next: u64,
}
