//! The ledger's record of one run.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ClassName,
    DomainName,
    VmName, //
};
use jasminebend_ports::{
    CheckpointId,
    TaskAttempt, //
};

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The task finished.
    Finished,
    /// The task ended with a failure code.
    Failed,
    /// The owner ended it with a checkpoint order.
    Checkpointed,
    /// The owner stopped it.
    Stopped,
    /// The worker's lease lapsed.
    Lapsed,
    /// The worker restarted or failed.
    WorkerFailed,
}

/// The ledger's record of one run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// The identifier of the run: its job, task index and attempt number.
    pub attempt: TaskAttempt,
    /// The class of its job.
    pub class: ClassName,
    /// Whether the class is a service or batch work.
    pub kind: ClassKind,
    /// The name of the worker's VM.
    pub worker: VmName,
    /// The worker's failure domain.
    pub domain: DomainName,
    /// When it started, on the workers' clock.
    pub started: Duration,
    /// The checkpoint that it resumed from; `None` if it started from the beginning.
    pub resumed: Option<CheckpointId>,
    /// When and how it ended; `None` while it runs.
    pub ended: Option<(Duration, RunEnd)>,
    /// The checkpoint that the worker returned at the run's end, also if the state was lost.
    pub kept: Option<CheckpointId>,
}

impl RunRecord {
    /// Returns whether both runs belong to the same task.
    pub fn same_task(&self, other: &Self) -> bool {
        (self.attempt.job, self.attempt.index) == (other.attempt.job, other.attempt.index)
    }

    /// Returns whether both runs were in progress at the same time.
    pub fn overlaps(&self, other: &Self) -> bool {
        let ends_after = |run: &Self, moment| run.ended.is_none_or(|(ended, _)| ended > moment);
        ends_after(self, other.started) && ends_after(other, self.started)
    }
}
