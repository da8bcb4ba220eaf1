//! The table row that stores a job's status.

use jasminebend_placement::JobSpec;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::JobStatus;

/// The table row that stores a job's status. The daemon that accepts the submission creates it;
/// from then on only the owner of the job's home shard writes it, in the commits of the journal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct JobRow {
    /// The job's home shard.
    pub(crate) shard: u16,
    /// Hash of the submission; distinguishes a repeated submission from a different job with the
    /// same key.
    pub(crate) fingerprint: [u8; 32],
    /// The status as of the last write of this row.
    pub(crate) status: JobStatus,
    /// When the job ended, in milliseconds since the Unix epoch; `None` while it has not.
    pub(crate) ended_ms: Option<u64>,
    /// Key of the object that stores the results, if they are too large for the row.
    pub(crate) results: Option<String>,
}

/// Returns the hash of a submission's encoded form.
pub(crate) fn fingerprint_of(spec: &JobSpec) -> [u8; 32] {
    let bytes = postcard::to_stdvec(spec).unwrap_or_default();
    *blake3::hash(&bytes).as_bytes()
}
