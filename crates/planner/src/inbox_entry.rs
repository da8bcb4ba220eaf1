//! A submitted job that its home shard has not accepted yet, as stored in the shard's inbox.

use jasminebend_base::ClassKind;
use jasminebend_placement::{
    JobId,
    JobSpec, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A submitted job that its home shard has not accepted yet, as stored in the shard's inbox.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct InboxEntry {
    pub(crate) job: JobId,
    pub(crate) spec: JobSpec,
    pub(crate) kind: ClassKind,
    /// When the job was submitted, in milliseconds since the Unix epoch.
    pub(crate) submitted_ms: u64,
}
