//! Log entry for a run that was lost together with its worker.

use std::time::Duration;

use derive_more::Display;

use crate::{
    RunNumber,
    TaskKey,
    WorkerKey, //
};

/// How the owner learned that a run is over although its worker reported no completion.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum LossCause {
    /// The worker did not answer until its lease had certainly lapsed.
    #[display("lapsed")]
    Lapsed,
    /// The worker answered as another incarnation, which does not have the run.
    #[display("restarted")]
    Restarted,
    /// The worker answered as the same incarnation, with neither the run nor its end.
    #[display("missing")]
    Missing,
    /// The lease has lapsed of a worker that had announced its leave and seems to have left.
    #[display("left")]
    Left,
}

/// Log entry: a run was given up because its worker is gone. All times are on the owner's process
/// clock.
#[derive(Clone, Debug, PartialEq)]
pub struct RunLoss {
    /// The task that was executed.
    pub task: TaskKey,
    /// The run's number.
    pub run: RunNumber,
    /// The worker that is gone.
    pub worker: WorkerKey,
    /// How the loss became known.
    pub cause: LossCause,
    /// When the run was placed on the worker.
    pub placed_at: Duration,
    /// When the worker last listed the run; `None` if it never did.
    pub last_listed_at: Option<Duration>,
    /// When the first of the calls failed that have found the worker gone; `None` if none failed.
    pub contact_lost_at: Option<Duration>,
    /// Whether nothing listens at the worker's address.
    pub connection_refused: bool,
    /// Whether the registry still lists the worker, as it does while the worker is merely
    /// unreachable from here.
    pub listed: bool,
    /// The number of other runs that were on the worker.
    pub other_runs: usize,
    /// Whether the worker is known to have restarted, and not to refuse calls that its former incarnation received.
    pub is_unfenced: bool,
}
