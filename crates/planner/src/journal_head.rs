//! The head row of a shard's journal.

use jasminebend_base::OwnerEpoch;
use serde::{
    Deserialize,
    Serialize, //
};

/// The head row of a shard's journal. Every commit changes it by compare-and-set, so that a deposed
/// owner's late commit meets a version that it does not expect.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct JournalHead {
    /// The epoch of the owner that wrote it.
    pub(crate) epoch: OwnerEpoch,
    /// The key of the snapshot that the log continues, if any.
    pub(crate) snapshot: Option<String>,
    /// The sequence number of the first log row after the snapshot.
    pub(crate) first: u64,
    /// That of the next log row.
    pub(crate) next: u64,
}
