//! Log entry for a run that a worker lists although its task needs none.

use derive_more::Display;

use crate::{
    RunNumber,
    TaskKey,
    WorkerKey, //
};

/// Why a listed run is not needed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SurplusCause {
    /// The job has ended or was cancelled.
    #[display("job_over")]
    JobOver,
    /// The task is done.
    #[display("done")]
    Done,
    /// The task has another run and allows no copies.
    #[display("other_run")]
    OtherRun,
}

/// Log entry: a worker lists a run that this owner did not start and does not need, and which is to be stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SurplusRun {
    /// The worker that executes the run.
    pub worker: WorkerKey,
    /// The task that is executed.
    pub task: TaskKey,
    /// The run's number.
    pub run: RunNumber,
    /// Why the run is not needed.
    pub cause: SurplusCause,
    /// The task's other run, with its worker.
    pub other: Option<(WorkerKey, RunNumber)>,
}
