//! What shows that a worker crashed while it executed a run.

use derive_more::Display;
use serde::{
    Deserialize,
    Serialize, //
};

/// What shows that a worker crashed while it executed a run, from the weakest evidence to the strongest.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub enum CrashEvidence {
    /// The run may never have begun, or have ended before.
    #[default]
    #[display("uncertain")]
    Uncertain,
    /// The worker has not answered since it was sent the start, or before that; the run may never have begun.
    #[display("unanswered")]
    Unanswered,
    /// The run had begun, and the worker has not answered since: it may be unreachable.
    #[display("silent")]
    Silent,
    /// The worker crashed, but the run may never have begun, or have ended before.
    #[display("unbegun")]
    Unbegun,
    /// The run had begun, and the registry went on without the silent worker.
    #[display("unlisted")]
    Unlisted,
    /// The run had begun, and another incarnation of the worker answered.
    #[display("restarted")]
    Restarted,
}

impl CrashEvidence {
    /// Returns whether the worker crashed while it executed the run, unless the same incarnation answers again.
    pub fn is_proof(self) -> bool {
        self >= Self::Unlisted
    }
}
