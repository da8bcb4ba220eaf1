//! The kind of work in a class.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// The kind of work in a class.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ClassKind {
    /// Requests for whose response a caller waits, and the long-running tasks that serve them.
    #[display("service")]
    Service,
    /// Tasks that may be queued, throttled, evicted and resumed.
    #[display("batch")]
    Batch,
}
