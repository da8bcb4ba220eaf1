//! The time by which a job must start.

use std::time::Duration;

use derive_more::Display;

/// The time by which a job must start to finish by its target, on the planner's monotonic clock,
/// in milliseconds; negative if it lies before the clock's origin.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub struct LatestStart(pub i64);

impl LatestStart {
    /// Computes the latest start from the time since submission (`waited`), the target and the
    /// expected run time.
    pub fn new(now: Duration, waited: Duration, target: Duration, run_time: Duration) -> Self {
        let deadline = millis(now) - millis(waited) + millis(target);
        Self(deadline - millis(run_time))
    }

    /// Returns the time left until the latest start in milliseconds, negative once it has passed.
    pub fn laxity_ms(self, now: Duration) -> i64 {
        self.0 - millis(now)
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX / 4)
}
