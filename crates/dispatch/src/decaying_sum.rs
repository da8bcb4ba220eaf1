//! Exponentially decaying sum.

use std::time::Duration;

/// Exponentially decaying sum. Amounts may be added in any order of time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    /// The time in which an amount's weight halves.
    half_life: Duration,
    sum: f64,
    /// The time as of which `sum` is valid.
    at: Duration,
    /// The time of the earliest amount; `None` before any was added.
    first_at: Option<Duration>,
}

impl DecayingSum {
    pub(crate) fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            sum: 0.0,
            at: Duration::ZERO,
            first_at: None,
        }
    }

    /// Adds an amount that occurred at `at`.
    pub(crate) fn add(&mut self, amount: f64, at: Duration) {
        if at > self.at {
            self.sum *= self.decay_factor(at - self.at);
            self.at = at;
        }
        self.sum += amount * self.decay_factor(self.at - at);
        self.first_at = Some(self.first_at.map_or(at, |first_at| first_at.min(at)));
    }

    /// Returns the decayed sum at `now`.
    pub(crate) fn total(&self, now: Duration) -> f64 {
        self.sum * self.decay_factor(now.saturating_sub(self.at))
    }

    /// Returns the average amount per second; 0 if none was added yet. The observation is assumed
    /// to have lasted at least `min_observation`.
    pub(crate) fn rate(&self, now: Duration, min_observation: Duration) -> f64 {
        let Some(first_at) = self.first_at else {
            return 0.0;
        };
        let observed = now.saturating_sub(first_at).max(min_observation);
        let mean_life = self.half_life.as_secs_f64() / std::f64::consts::LN_2;
        self.total(now) / (mean_life * (1.0 - self.decay_factor(observed)))
    }

    /// Returns the factor by which an amount decays within `time`.
    fn decay_factor(&self, time: Duration) -> f64 {
        0.5f64.powf(time.as_secs_f64() / self.half_life.as_secs_f64())
    }
}
