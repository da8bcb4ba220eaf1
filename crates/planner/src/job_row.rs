//! The row that says what became of a job.

use jasminebend_placement::JobSpec;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::JobStatus;

/// The row that says what became of a job. Its submitter makes it; from then on only the owner of
/// its home shard writes it, in the commits of the journal.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct JobRow {
    pub(crate) shard: u16,
    /// That of the submission, which tells a repeated one from another with the same key.
    pub(crate) fingerprint: [u8; 32],
    pub(crate) status: JobStatus,
    /// When it ended, in milliseconds of the time of day since 1970.
    pub(crate) ended_ms: Option<u64>,
    /// The key of the object that holds the results, if they are too large for the row.
    pub(crate) results: Option<String>,
}

/// Returns the fingerprint of a submission.
pub(crate) fn fingerprint_of(spec: &JobSpec) -> [u8; 32] {
    let bytes = postcard::to_stdvec(spec).unwrap_or_default();
    *blake3::hash(&bytes).as_bytes()
}
