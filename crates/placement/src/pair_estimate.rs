//! One learned quantity and how far it is trusted.

/// The variance of what is not known, and of one measurement of a logarithm of latency.
const UNKNOWN: f64 = 1.0;
const NOISE: f64 = 0.05;
/// The share of the way back to knowing nothing that is kept in each step of forgetting.
const KEPT: f64 = 0.98;
const LEAST_VARIANCE: f64 = 0.002;

/// One learned quantity and its variance: a Kalman filter of one value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PairEstimate {
    pub(crate) mean: f64,
    pub(crate) variance: f64,
}

impl Default for PairEstimate {
    fn default() -> Self {
        Self {
            mean: 0.0,
            variance: UNKNOWN,
        }
    }
}

impl PairEstimate {
    /// Returns what this quantity adds to a prediction's variance.
    pub(crate) fn spread(&self, weight: f64) -> f64 {
        self.variance * weight * weight
    }

    /// Takes in its share of an error; `spread` is that of the whole prediction.
    pub(crate) fn learn(&mut self, weight: f64, error: f64, spread: f64) {
        let gain = self.variance * weight / (spread + NOISE);
        self.mean += gain * error;
        self.variance = (self.variance * (1.0 - gain * weight)).max(LEAST_VARIANCE);
    }

    /// Forgets a little: the mean nears zero and the variance that of not knowing.
    pub(crate) fn forget(&mut self) {
        self.mean *= KEPT;
        self.variance = UNKNOWN - (UNKNOWN - self.variance) * KEPT;
    }

    /// Tells whether it is known better than a first guess.
    pub(crate) fn known(&self) -> bool {
        self.variance < UNKNOWN / 2.0
    }
}
