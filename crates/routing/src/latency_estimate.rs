//! Moving estimate of a latency distribution.

use std::time::Duration;

const MEAN_EWMA_WEIGHT: f64 = 0.05;
const QUANTILE_STEP_TO_MEAN_RATIO: f64 = 0.05;

/// Moving mean and moving quantile of latencies.
///
/// The mean is an exponentially weighted moving average. The quantile `q` is tracked by stochastic
/// approximation: a sample above the estimate raises it by `step * q`, any other lowers it by
/// `step * (1 - q)`. The step is a fixed fraction of the mean.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    quantile: f64,
    mean_secs: f64,
    quantile_secs: f64,
    samples: u64,
}

impl LatencyEstimate {
    /// Creates an estimate without samples that tracks `quantile`, between 0 and 1.
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile,
            mean_secs: 0.0,
            quantile_secs: 0.0,
            samples: 0,
        }
    }

    /// Adds a sample.
    pub fn observe(&mut self, latency: Duration) {
        let secs = latency.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_secs = secs;
            self.quantile_secs = secs;
            return;
        }
        self.mean_secs += MEAN_EWMA_WEIGHT * (secs - self.mean_secs);
        self.update_quantile(secs);
    }

    /// Returns the moving mean; zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_secs.max(0.0))
    }

    /// Returns the estimated quantile; zero before the first sample.
    pub fn quantile(&self) -> Duration {
        Duration::from_secs_f64(self.quantile_secs.max(0.0))
    }

    /// Returns the number of samples added so far.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    fn update_quantile(&mut self, secs: f64) {
        let step = QUANTILE_STEP_TO_MEAN_RATIO * self.mean_secs;
        if secs > self.quantile_secs {
            self.quantile_secs += step * self.quantile;
        } else {
            self.quantile_secs -= step * (1.0 - self.quantile);
        }
    }
}
