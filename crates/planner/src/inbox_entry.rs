//! A submission on its way to its home shard.

use jasminebend_base::ClassKind;
use jasminebend_placement::{
    JobId,
    JobSpec, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A submission on its way to its home shard.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct InboxEntry {
    pub(crate) job: JobId,
    pub(crate) spec: JobSpec,
    pub(crate) kind: ClassKind,
    /// In milliseconds of the time of day since 1970.
    pub(crate) submitted_ms: u64,
}
