//! The load of a service over the last minutes.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

/// The time in which a peak that does not come back loses half its height over the present load.
const HALF_LIFE: f64 = 300.0;

/// The load of a service over the last minutes. A batch task stays for minutes: what matters to it is
/// not the load of the moment but the peak that is likely to come back.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(crate) struct LoadTrack {
    latest: f64,
    peak: f64,
    measured: Duration,
}

impl LoadTrack {
    pub(crate) fn note(&mut self, time: Duration, load: f64) {
        let passed = time.saturating_sub(self.measured).as_secs_f64();
        let faded = load + (self.peak - load) * (-passed / HALF_LIFE).exp2();
        self.peak = faded.max(load);
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
