//! The latest load and the recent peak load of a service.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// The time in seconds in which the excess of the past peak over the present load halves.
const PEAK_HALF_LIFE_SECONDS: f64 = 300.0;

/// Tracks the load of a service: the latest value, and a peak that decays. A batch task runs for
/// minutes, so its placement depends on the peak that is likely to recur and not on the momentary
/// load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct LoadTracker {
    latest: f64,
    peak: f64,
    measured: Duration,
}

impl LoadTracker {
    pub(crate) fn record(&mut self, time: Duration, load: f64) {
        let elapsed_seconds = time.saturating_sub(self.measured).as_secs_f64();
        let decayed_peak =
            load + (self.peak - load) * (-elapsed_seconds / PEAK_HALF_LIFE_SECONDS).exp2();
        self.peak = decayed_peak.max(load);
        if time >= self.measured {
            self.latest = load;
            self.measured = time;
        }
    }

    pub(crate) fn rebase(&mut self, now: Duration) {
        self.measured = now;
    }

    pub(crate) fn latest(&self) -> f64 {
        self.latest
    }

    pub(crate) fn peak(&self) -> f64 {
        self.peak
    }
}
