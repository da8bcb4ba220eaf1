//! Record of a worker's crash under a task.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CrashEvidence,
    RunNumber, //
};

/// Record of a worker's crash while it executed a run of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerCrash {
    /// The run that was lost.
    pub run: RunNumber,
    /// The worker's identity.
    pub worker: Arc<str>,
    /// When the owner lost contact with the worker, since 1970.
    pub at: Duration,
    /// Whether the run was lost before the worker had listed it for long enough to rule out that it
    /// crashes its worker when it starts.
    pub early: bool,
    /// Whether the run had certainly begun, and no other run on the worker at about the same time.
    pub alone: bool,
    /// Whether other workers were lost at the same time, without a task that explains it.
    pub widespread: bool,
    /// What shows that the worker crashed. The store's codec appends it to the record, which earlier
    /// versions read without it.
    #[serde(skip)]
    pub evidence: CrashEvidence,
    /// The start time of the worker's incarnation, since 1970, if it is known; appended in the same
    /// way. The crash is refuted if this incarnation answers again.
    #[serde(skip)]
    pub incarnation: Option<Duration>,
}
