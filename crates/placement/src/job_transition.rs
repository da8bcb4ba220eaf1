//! One entry of a shard's journal.

use jasminebend_base::{
    ClassKind,
    ResourceAmount,
    VmName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    HoldReason,
    JobId,
    JobSpec,
    RunOutcome,
    TaskId, //
};

/// One entry of a shard's journal: a change of a job's or a task's state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobTransition {
    /// A job was accepted.
    Accepted {
        /// The job.
        job: JobId,
        /// The job as it was submitted.
        spec: Box<JobSpec>,
        /// The kind of the job's class.
        kind: ClassKind,
        /// When the job was submitted, in milliseconds since the Unix epoch.
        submitted_ms: u64,
    },
    /// A worker was chosen for a run. The run may be started only after this entry is committed.
    Placed {
        /// The task.
        task: TaskId,
        /// The number of the run, counted from one.
        attempt: u32,
        /// The only worker that may run it.
        worker: VmName,
        /// The resources reserved for the run on that worker.
        reserved: ResourceAmount,
    },
    /// A run ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The number of the run.
        attempt: u32,
        /// How the run ended.
        end: RunOutcome,
        /// How long the run took, as far as the shard's owner knows, in milliseconds.
        ran_ms: u64,
    },
    /// An operator or the submitter cancelled a job.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// The outcome of a job without open tasks was reported; the ledger removes the job.
    Closed {
        /// The job.
        job: JobId,
    },
    /// A job was put on hold.
    Held {
        /// The job.
        job: JobId,
        /// Why the job is held.
        reason: HoldReason,
    },
}
