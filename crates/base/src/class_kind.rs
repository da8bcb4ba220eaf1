//! The two kinds of work.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// The two kinds of work.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ClassKind {
    /// Requests that callers wait for, and the long-running tasks that serve them.
    #[display("service")]
    Service,
    /// Work that may wait, be throttled, evicted and resumed.
    #[display("batch")]
    Batch,
}
