//! Estimate of a service's own load over time.

use std::time::Duration;

/// The growth of the slope's variance per second: loads swing within five to twenty seconds.
const SLOPE_VARIANCE_PER_SECOND: f64 = 0.05;
/// The variances of the load and of its slope before any observation; also their upper bounds.
const INITIAL_LOAD_VARIANCE: f64 = 0.06;
const INITIAL_SLOPE_VARIANCE: f64 = 0.01;
/// The lower bound of both variances.
const MIN_VARIANCE: f64 = 1e-6;
/// The load assumed of a service before any observation.
const DEFAULT_LOAD: f64 = 0.45;
/// The highest load that is forecast of a service without fillers.
const MAX_FORECAST_LOAD: f64 = 0.65;

/// Estimate of a service's own load over time: the load that its tasks' tail latencies indicate,
/// less the load that fillers add. The tasks of a step share their callers, so one estimate covers
/// them all.
///
/// A Kalman filter with the load and its slope as state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadEstimate {
    load: f64,
    /// The change of the load per second.
    slope: f64,
    /// The covariance matrix: variance of the load, covariance of load and slope, variance of the
    /// slope.
    variance: [f64; 3],
    /// The time as of which the estimate holds.
    at: Duration,
}

impl LoadEstimate {
    /// Creates an estimate without any observation.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            load: DEFAULT_LOAD,
            slope: 0.0,
            variance: [INITIAL_LOAD_VARIANCE, 0.0, INITIAL_SLOPE_VARIANCE],
            at: now,
        }
    }

    /// Predicts the state at a later time.
    pub(crate) fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let [load, covariance, slope] = self.variance;
        self.load += self.slope * elapsed;
        self.variance = [
            load + 2.0 * elapsed * covariance
                + elapsed * elapsed * slope
                + SLOPE_VARIANCE_PER_SECOND * elapsed.powi(3) / 3.0,
            covariance + elapsed * slope + SLOPE_VARIANCE_PER_SECOND * elapsed * elapsed / 2.0,
            slope + SLOPE_VARIANCE_PER_SECOND * elapsed,
        ];
        self.load = self.load.clamp(0.0, 1.0);
        self.bound_variance();
        self.at = self.at.max(now);
    }

    /// Corrects the state by an observation: `difference` is the observed load minus the expected
    /// one, `total` the variance of that difference.
    pub(crate) fn correct(&mut self, difference: f64, total: f64) {
        let [load, covariance, slope] = self.variance;
        self.load = (self.load + load / total * difference).clamp(0.0, 1.0);
        self.slope += covariance / total * difference;
        self.variance = [
            load - load * load / total,
            covariance - covariance * load / total,
            slope - covariance * covariance / total,
        ];
        self.bound_variance();
    }

    /// Returns the estimated load as of the last advance.
    pub(crate) fn load(&self) -> f64 {
        self.load
    }

    /// Returns the variance of the estimated load as of the last advance.
    pub(crate) fn variance(&self) -> f64 {
        self.variance[0]
    }

    /// Returns the highest load forecast from `now` until `within` later.
    pub(crate) fn forecast(&self, now: Duration, within: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let current = self.load + self.slope * elapsed;
        let rise = self.slope.max(0.0) * within.as_secs_f64();
        (current + rise).clamp(0.0, MAX_FORECAST_LOAD.max(self.load))
    }

    /// Bounds the variances, since an estimate without recent observations is no better than none,
    /// and keeps the matrix a valid covariance matrix despite rounding and these bounds: otherwise
    /// the next correction would turn the load into NaN.
    fn bound_variance(&mut self) {
        let load = self.variance[0].clamp(MIN_VARIANCE, INITIAL_LOAD_VARIANCE);
        let slope = self.variance[2].clamp(MIN_VARIANCE, INITIAL_SLOPE_VARIANCE);
        let limit = (load * slope).sqrt();
        self.variance = [load, self.variance[1].clamp(-limit, limit), slope];
    }
}
