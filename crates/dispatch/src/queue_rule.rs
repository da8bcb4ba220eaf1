//! Configuration of a queue.

use std::{
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Configuration of a queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct QueueRule {
    /// The queue's name.
    pub name: Arc<str>,
    /// The host name in requests for this queue.
    pub host: String,
    /// The path prefix of requests for this queue.
    pub prefix: String,
    /// The pool whose workers run its tasks.
    pub pool: Arc<str>,
    /// The queue's priority: 0 is planned first.
    pub priority: u32,
    /// The number of failed runs of one task after which its job fails; 0 counts as 1.
    pub max_attempts: u32,
    /// The factor by which a job's duration may exceed the declared run time of its longest
    /// dependency chain; below 1 counts as 1.
    pub duration_factor: f64,
    /// The time added to that to yield the job's objective.
    pub duration_allowance: Duration,
    /// The timing of ticket requests, if the pool's workers require tickets.
    pub advice: Option<AdviceRule>,
}

/// Timing of the advice service and validity of its tickets.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct AdviceRule {
    /// The base duration of a request.
    pub base_duration: Duration,
    /// The additional duration for each worker in the request.
    pub per_worker_duration: Duration,
    /// The time for which a ticket is valid.
    pub validity: Duration,
}
