//! Worker's answer to a lease renewal.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    RunNumber,
    RunResult,
    TaskKey, //
};

/// Worker's answer to a lease renewal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RenewalReport {
    /// The reading of the worker's clock.
    pub clock: Duration,
    /// When the worker's incarnation began, since 1970, if known.
    pub incarnation: Option<Duration>,
    /// The runs that are executing.
    pub running: Vec<RunningTask>,
    /// The completions that were not acknowledged yet, in the order of their numbers.
    pub completions: Vec<EndedRun>,
}

/// A run that is executing on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task that is executed.
    pub task: TaskKey,
    /// The run's number.
    pub run: RunNumber,
    /// The run's last checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
    /// The run's progress, in percent.
    pub progress_percent: u32,
    /// The run's metric over about the last half second: for a task that serves requests its tail
    /// latency in milliseconds, for any other the CPU that it uses in millicores.
    pub metric: Option<u64>,
}

/// A completed run.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// The completion's number, ascending within one incarnation of the worker.
    pub number: u64,
    /// The task that was executed.
    pub task: TaskKey,
    /// The run's number.
    pub run: RunNumber,
    /// The run's result.
    pub result: RunResult,
    /// The run's last checkpoint, if any.
    pub checkpoint: Option<Arc<str>>,
}
