//! Orders and lease renewals sent to workers, and their outcomes.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    RunNumber,
    TaskKey,
    WorkerKey, //
};

/// Order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The worker that receives the order.
    pub worker: WorkerKey,
    /// The task to run.
    pub task: TaskKey,
    /// The new run's number.
    pub run: RunNumber,
    /// The job's payload, passed to the task.
    pub payload: Arc<str>,
    /// The checkpoint from which the task resumes; `None` to start from the beginning.
    pub checkpoint: Option<Arc<str>>,
    /// The advice service's ticket, if the worker requires one.
    pub ticket: Option<Arc<str>>,
}

/// Order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerOrder {
    /// Starts a run.
    Start(StartOrder),
    /// Stops a run. The worker must not start the run afterwards either.
    Stop {
        /// The worker that receives the order.
        worker: WorkerKey,
        /// The task of the run.
        task: TaskKey,
        /// The run's number.
        run: RunNumber,
    },
    /// Throttles a run.
    Throttle {
        /// The worker that receives the order.
        worker: WorkerKey,
        /// The task of the run.
        task: TaskKey,
        /// The run's number.
        run: RunNumber,
        /// The throttle factor in percent; 100 is unthrottled.
        percent: u32,
    },
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The worker carried the order out.
    Taken,
    /// The order was refused and had no effect.
    Refused(OrderRefusal),
    /// No answer came: the order may have been carried out, or may be carried out later.
    Unknown,
}

/// Reason for which an order was refused or not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderRefusal {
    /// The worker follows an owner with a newer fencing token.
    Fenced,
    /// The run, or one with a higher number, has already ended on the worker.
    Old,
    /// The order arrived after its deadline.
    Late,
    /// The worker lacks free capacity.
    Room,
    /// The ticket is invalid or has expired.
    Ticket,
    /// The worker is unhealthy.
    Unwell,
    /// Another incarnation than the intended one listens at the worker's address; it was not sent the order.
    Restarted,
    /// There was no connection, and no byte of the order was sent.
    Unsent,
    /// Nothing listens at the worker's address.
    Closed,
    /// The worker cannot parse the order.
    Malformed,
}

/// Lease renewal sent to a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseRenewal {
    /// The time until which the worker may execute its runs, on the worker's clock; `None` on the
    /// first contact, when that clock is unknown, and if no lease is granted.
    pub deadline: Option<Duration>,
    /// The number of the last completion that is on record; 0 for none, and once the worker has answered a renewal with it.
    pub acknowledged: u64,
    /// The longest time that the worker waits for a completion before it answers.
    pub max_wait: Duration,
}

impl LeaseRenewal {
    /// Returns whether the renewal changes nothing in the worker, so that any of its incarnations may answer it.
    pub fn is_read_only(&self) -> bool {
        self.deadline.is_none() && self.acknowledged == 0
    }
}
