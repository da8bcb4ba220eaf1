//! One measurement of the load on a worker.

use std::time::Duration;

/// One measurement of the load on a worker, with the predictions for it.
#[derive(Clone, Copy, Debug)]
pub struct OverloadReading {
    /// When the measurement was made, on the planner's monotonic clock.
    pub measured_at: Duration,
    /// The highest ratio of latency to target among the worker's services; zero without services.
    pub latency_ratio: f64,
    /// The highest ratio of latency to target that is predicted for the present load.
    pub predicted_ratio: f64,
    /// The highest ratio that is predicted for the peak load with every throttle lifted.
    pub unthrottled_ratio: f64,
    /// The memory in use as a share of the worker's memory.
    pub memory_share: f64,
}
