//! What was measured on a worker.

use std::time::Duration;

/// What was measured on a worker at one time.
#[derive(Clone, Copy, Debug)]
pub struct LadderReading {
    /// When it was measured, on the planner's monotonic clock.
    pub measured: Duration,
    /// The worst latency of its services over their targets; zero without services.
    pub latency_ratio: f64,
    /// The worst latency over target that is predicted for now.
    pub predicted_ratio: f64,
    /// The same with every throttle lifted, at the peak of the load.
    pub lifted_ratio: f64,
    /// The memory in use over the worker's.
    pub memory_share: f64,
}
