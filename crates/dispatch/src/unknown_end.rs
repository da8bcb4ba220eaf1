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
    /// It is acknowledged without a record.
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
    /// When that was decided, on the owner's process clock.
    pub at: Duration,
}
