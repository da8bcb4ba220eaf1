//! What was learned of how long answers take.

use std::time::Duration;

const MEAN_WEIGHT: f64 = 0.05;
const QUANTILE_STEP: f64 = 0.05;

/// What was learned of how long answers take: a moving mean and a moving quantile.
///
/// The quantile follows by stochastic approximation: up by a step times the quantile when a sample
/// lies above, down by a step times the rest when below, the step relative to the mean.
#[derive(Clone, Copy, Debug)]
pub struct LatencyEstimate {
    quantile: f64,
    mean_secs: f64,
    quantile_secs: f64,
    samples: u64,
}

impl LatencyEstimate {
    /// Creates an estimate that follows this quantile (between 0 and 1).
    pub fn new(quantile: f64) -> Self {
        Self {
            quantile,
            mean_secs: 0.0,
            quantile_secs: 0.0,
            samples: 0,
        }
    }

    /// Takes a sample.
    pub fn observe(&mut self, latency: Duration) {
        let secs = latency.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.mean_secs = secs;
            self.quantile_secs = secs;
            return;
        }
        self.mean_secs += MEAN_WEIGHT * (secs - self.mean_secs);
        self.move_quantile(secs);
    }

    /// Returns the mean; zero before the first sample.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_secs.max(0.0))
    }

    /// Returns the quantile; zero before the first sample.
    pub fn quantile(&self) -> Duration {
        Duration::from_secs_f64(self.quantile_secs.max(0.0))
    }

    /// Returns the number of samples.
    pub fn samples(&self) -> u64 {
        self.samples
    }

    fn move_quantile(&mut self, secs: f64) {
        let step = QUANTILE_STEP * self.mean_secs;
        if secs > self.quantile_secs {
            self.quantile_secs += step * self.quantile;
        } else {
            self.quantile_secs -= step * (1.0 - self.quantile);
        }
    }
}
