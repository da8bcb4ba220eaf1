//! A service's own load over time.

use std::time::Duration;

/// How uncertain a slope becomes within a second, as a variance: loads swing within five to twenty seconds.
const SLOPE_DRIFT: f64 = 0.05;
/// The variances of a load and of its slope before either was seen.
const FIRST_VARIANCE: f64 = 0.06;
const FIRST_SLOPE_VARIANCE: f64 = 0.01;
/// The least variance of either.
const LEAST_VARIANCE: f64 = 1e-6;
/// The load that a service is taken to have before it was seen.
const USUAL: f64 = 0.45;
/// The highest load that a service is expected to reach of itself.
const HIGHEST: f64 = 0.65;

/// A service's own load over time: what the tails of a step's tasks tell, less what fillers beside them add. The tasks
/// of a step share their callers, so that one track follows them all.
///
/// A Kalman filter of a load and its slope.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadTrack {
    load: f64,
    slope: f64,
    /// Variance of the load, covariance of both, variance of the slope.
    variance: [f64; 3],
    at: Duration,
}

impl LoadTrack {
    /// Begins without any observation.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            load: USUAL,
            slope: 0.0,
            variance: [FIRST_VARIANCE, 0.0, FIRST_SLOPE_VARIANCE],
            at: now,
        }
    }

    /// Goes on to a later time.
    pub(crate) fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let [load, both, slope] = self.variance;
        self.load += self.slope * passed;
        self.variance = [
            load + 2.0 * passed * both
                + passed * passed * slope
                + SLOPE_DRIFT * passed.powi(3) / 3.0,
            both + passed * slope + SLOPE_DRIFT * passed * passed / 2.0,
            slope + SLOPE_DRIFT * passed,
        ];
        self.load = self.load.clamp(0.0, 1.0);
        self.bound_variance();
        self.at = self.at.max(now);
    }

    /// Takes in by how much a load that was seen now differs from the one that was expected, `total` being the variance
    /// of that difference.
    pub(crate) fn correct(&mut self, difference: f64, total: f64) {
        let [load, both, slope] = self.variance;
        self.load = (self.load + load / total * difference).clamp(0.0, 1.0);
        self.slope += both / total * difference;
        self.variance = [
            load - load * load / total,
            both - both * load / total,
            slope - both * both / total,
        ];
        self.bound_variance();
    }

    /// Returns the load now, as of the last advance.
    pub(crate) fn load(&self) -> f64 {
        self.load
    }

    /// Returns the variance of the load now.
    pub(crate) fn variance(&self) -> f64 {
        self.variance[0]
    }

    /// Returns the highest load to be expected from `now` until `within` later.
    pub(crate) fn expected(&self, now: Duration, within: Duration) -> f64 {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let current = self.load + self.slope * passed;
        let rise = self.slope.max(0.0) * within.as_secs_f64();
        (current + rise).clamp(0.0, HIGHEST.max(self.load))
    }

    /// What was not seen for long is not known any more. Rounding and these bounds must not leave a matrix that is no
    /// covariance: the next correction would turn the load into no number at all.
    fn bound_variance(&mut self) {
        let load = self.variance[0].clamp(LEAST_VARIANCE, FIRST_VARIANCE);
        let slope = self.variance[2].clamp(LEAST_VARIANCE, FIRST_SLOPE_VARIANCE);
        let most = (load * slope).sqrt();
        self.variance = [load, self.variance[1].clamp(-most, most), slope];
    }
}
