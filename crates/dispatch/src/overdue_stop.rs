//! Log entry for a run that goes on although it was to be stopped.

use std::time::Duration;

use derive_more::Display;

use crate::{
    RunNumber,
    TaskKey,
    WorkerKey, //
};

/// Why a run that is to be stopped has not ended.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum StopDelay {
    /// The worker does not answer lease renewals.
    #[display("silent")]
    SilentWorker,
    /// The worker has accepted the order, and its latest report lists the run.
    #[display("ending")]
    Ending,
    /// The worker has accepted the order, and its latest report does not list the run.
    #[display("unlisted")]
    Unlisted,
    /// Too many orders are in flight to send one more.
    #[display("limit")]
    OrderLimit,
    /// No order was answered.
    #[display("unanswered")]
    Unanswered,
}

/// Log entry: a run was to be stopped at `requested_at` and has not ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverdueStop {
    /// The worker that executes the run.
    pub worker: WorkerKey,
    /// The task that is executed.
    pub task: TaskKey,
    /// The run's number.
    pub run: RunNumber,
    /// When the stop was first planned, on the owner's process clock.
    pub requested_at: Duration,
    /// The number of orders sent so far.
    pub attempts: u32,
    /// Why the run has not ended.
    pub delay: StopDelay,
}
