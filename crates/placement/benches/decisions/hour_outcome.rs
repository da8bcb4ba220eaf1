//! The results of a simulated hour.

/// The results of a simulated hour.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HourOutcome {
    /// The share of requests, weighted by load, whose service was over its latency target.
    pub(crate) requests_over_target: f64,
    /// The share of the batch tasks due in the hour that finished by their deadline.
    pub(crate) batch_in_time: f64,
    /// The number of evictions, with or without a checkpoint.
    pub(crate) evictions: f64,
    /// The batch work done, in core hours.
    pub(crate) batch_core_hours: f64,
    /// The number of batch tasks killed because a VM ran out of memory.
    pub(crate) killed_for_memory: f64,
    /// The number of late readings of a harmful pair until the model recognizes it, as the mean
    /// over the harmful pairs that were recognized.
    pub(crate) readings_to_learn: f64,
}

impl HourOutcome {
    pub(crate) const NAMES: [&str; 4] = [
        "requests over target",
        "batch done in time",
        "evictions",
        "core hours of batch done",
    ];
    pub(crate) const MEASURES: [fn(&Self) -> f64; 4] = [
        |outcome| outcome.requests_over_target,
        |outcome| outcome.batch_in_time,
        |outcome| outcome.evictions,
        |outcome| outcome.batch_core_hours,
    ];
}
