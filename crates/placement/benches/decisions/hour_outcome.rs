//! What came of an hour.

/// What came of an hour.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HourOutcome {
    /// The share of requests, by load, whose service was over its target.
    pub(crate) missed: f64,
    /// The share of batch jobs due in the hour that were done by their time.
    pub(crate) in_time: f64,
    /// Evictions, by checkpoint or without.
    pub(crate) evictions: f64,
    /// The core hours of batch work done.
    pub(crate) work: f64,
    /// Batch tasks that a VM short of memory killed.
    pub(crate) killed: f64,
    /// Late readings of a bad pair before the model kept it apart; the mean over bad pairs.
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
        |outcome| outcome.missed,
        |outcome| outcome.in_time,
        |outcome| outcome.evictions,
        |outcome| outcome.work,
    ];
}
