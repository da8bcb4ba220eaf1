//! A measurement of a service on one worker.

use std::time::Duration;

use crate::ClassKey;

/// A measurement of a service on one worker, which arrives late, with the classes that shared the
/// VM when the measurement was made.
#[derive(Clone, Copy, Debug)]
pub struct ServiceMeasurement<'a> {
    /// When the measurement was made.
    pub measured_at: Duration,
    /// The class of the service.
    pub service: ClassKey,
    /// The 99th percentile of the latency of the service's requests.
    pub latency_p99: Duration,
    /// The load of the service at that time: the ratio of used to declared CPU.
    pub load: f64,
    /// The classes that shared the VM at that time, each with its number of tasks. A throttled task
    /// counts as the share of full speed at which it runs.
    pub task_counts: &'a [(ClassKey, f64)],
}
