//! Log entry for the end of a run whose job the owner does not know.

use std::time::Duration;

use derive_more::Display;

use crate::{
    EndedRun,
    WorkerKey, //
};

/// What happened to the end of a run whose job the owner does not know.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum UnknownEndOutcome {
    /// It is not acknowledged for now: the job may yet be learned.
    #[display("held")]
    Held,
    /// The job has become known, and the end counts.
    #[display("applied")]
    Applied,
    /// The job can't be read, and the end is recorded beside the job's record.
    #[display("recorded")]
    Recorded,
    /// It is acknowledged without a record: no job that may become known has such a task.
    #[display("dropped")]
    Dropped,
}

/// Log entry: a worker lists the end of a run whose job the owner does not know.
#[derive(Clone, Debug)]
pub struct UnknownEnd {
    /// The worker that executed the run.
    pub worker: WorkerKey,
    /// The end.
    pub ended: EndedRun,
    /// What happened to it.
    pub outcome: UnknownEndOutcome,
    /// The time since the worker listed it.
    pub held_for: Duration,
}
