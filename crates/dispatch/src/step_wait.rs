//! Explanation of why a step waits, for the log.

use derive_more::Display;

use crate::StepKey;

/// Number of workers that were rejected for a step that should have started, by reason.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RejectionCounts {
    /// Workers without enough free CPU.
    pub processors: usize,
    /// Workers without enough free memory.
    pub memory: usize,
    /// Workers that are draining, unlisted, in maintenance or in a closed failure domain.
    pub leaving: usize,
    /// Workers that did not answer the last call, or have not answered since the owner changed.
    pub unanswered: usize,
    /// Workers that are not on record for a successor yet.
    pub unrecorded: usize,
    /// Workers quarantined because runs failed or got stuck there.
    pub quarantined: usize,
    /// Workers of another pool, without the required label, or that already run as many of the
    /// step's tasks as its spread allows.
    pub unsuitable: usize,
    /// Workers whose free capacity is reserved for steps that have waited longer.
    pub reserved: usize,
    /// Workers whose unreserved CPU is estimated to be in use by services or other fillers.
    pub busy: usize,
    /// Workers where a service was too slow a moment ago.
    pub shielded: usize,
    /// Workers where the effect of another, recently placed filler is not visible yet.
    pub learning: usize,
    /// Workers where the filler would slow a service down too much.
    pub interference: usize,
    /// Workers kept free of other starts for a suspected task, or on which too much has just begun
    /// for one.
    pub isolated: usize,
    /// Workers with free capacity for which there is no ticket, or that were used for other tasks
    /// of the step.
    pub other: usize,
}

/// What a step waits for.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum WaitCause {
    /// A worker for its tasks.
    #[display("worker")]
    Worker,
    /// The reports of all workers to an owner that has taken over: a former owner may have started
    /// the tasks.
    #[display("takeover")]
    Takeover,
    /// A configuration with its queue: this owner has never known the queue's rule.
    #[display("queue")]
    Queue,
}

/// A step that waits although it should have started.
#[derive(Clone, Debug)]
pub struct StepWait {
    /// The waiting step.
    pub step: StepKey,
    /// What it waits for.
    pub cause: WaitCause,
    /// The number of its tasks without a run.
    pub missing_tasks: usize,
    /// The number of workers rejected for each reason.
    pub rejections: RejectionCounts,
}
