//! A run as the ledger keeps it.

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
    /// It finished.
    Finished,
    /// It failed of itself.
    Failed,
    /// It was stopped, and its state kept.
    Checkpointed,
    /// It was stopped.
    Stopped,
    /// Its worker's lease lapsed.
    Lapsed,
    /// Its worker restarted or failed.
    Vanished,
}

/// A run as the ledger keeps it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// The run.
    pub attempt: TaskAttempt,
    /// Its class.
    pub class: ClassName,
    /// Whether it serves requests or is batch work.
    pub kind: ClassKind,
    /// The worker's VM.
    pub worker: VmName,
    /// The worker's failure domain.
    pub domain: DomainName,
    /// When it started, on the workers' clock.
    pub started: Duration,
    /// The checkpoint that it resumed from.
    pub resumed: Option<CheckpointId>,
    /// When and how it ended; `None` while it runs.
    pub ended: Option<(Duration, RunEnd)>,
    /// The checkpoint that was kept at its end.
    pub kept: Option<CheckpointId>,
}

impl RunRecord {
    /// Tells whether both runs are of one task.
    pub fn same_task(&self, other: &Self) -> bool {
        (self.attempt.job, self.attempt.index) == (other.attempt.job, other.attempt.index)
    }

    /// Tells whether both were in progress at some moment.
    pub fn overlaps(&self, other: &Self) -> bool {
        let ends_after = |run: &Self, moment| run.ended.is_none_or(|(ended, _)| ended > moment);
        ends_after(self, other.started) && ends_after(other, self.started)
    }
}
