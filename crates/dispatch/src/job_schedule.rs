//! Schedule of a repeated job.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// Schedule of a repeated job. Occurrences may overlap.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct JobSchedule {
    /// When the first occurrence is due, since 1970.
    pub first: Duration,
    /// The time from one occurrence to the next.
    pub interval: Duration,
    /// The number of occurrences.
    pub count: u32,
}

impl JobSchedule {
    /// Returns when an occurrence is due, since 1970.
    pub fn due(&self, occurrence: u32) -> Duration {
        self.first
            .saturating_add(self.interval.saturating_mul(occurrence))
    }
}
