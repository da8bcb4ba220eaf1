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
    TaskEnd,
    TaskId, //
};

/// One entry of a shard's journal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum JobTransition {
    /// A job was taken in.
    Accepted {
        /// The job.
        job: JobId,
        /// As it was submitted.
        spec: Box<JobSpec>,
        /// The kind of its class.
        kind: ClassKind,
        /// When it was submitted, in milliseconds of the time of day since 1970.
        submitted_ms: u64,
    },
    /// A run was decided on; only then may it be started.
    Placed {
        /// The task.
        task: TaskId,
        /// The run, counted from one.
        attempt: u32,
        /// The only worker that may run it.
        worker: VmName,
        /// What it takes there.
        reserved: ResourceAmount,
    },
    /// A run ended.
    Ended {
        /// The task.
        task: TaskId,
        /// The run.
        attempt: u32,
        /// How.
        end: TaskEnd,
        /// How long it ran, as far as its owner knows, in milliseconds.
        ran_ms: u64,
    },
    /// Operators or the submitter gave a job up.
    Cancelled {
        /// The job.
        job: JobId,
    },
    /// A job of which nothing was left to do was told to have ended, and is forgotten.
    Closed {
        /// The job.
        job: JobId,
    },
    /// A job was held.
    Held {
        /// The job.
        job: JobId,
        /// Why.
        reason: HoldReason,
    },
}
