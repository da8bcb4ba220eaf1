//! What is known of an endpoint when one is picked.

use std::time::Duration;

const ERROR_WEIGHT: f64 = 0.1;
const LATENCY_WEIGHT: f64 = 0.1;
const ERROR_PENALTY: f64 = 20.0;

/// What is known of an endpoint when one is picked: the moving latency of its good answers, how
/// often it errs, what is outstanding there and how far away it lies.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointScore {
    latency_secs: f64,
    error_share: f64,
    outstanding: u32,
    distance_secs: f64,
    samples: u64,
}

impl EndpointScore {
    /// Creates the score of an endpoint of which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the round trip to the endpoint's failure domain.
    pub fn with_distance(mut self, distance: Duration) -> Self {
        self.distance_secs = distance.as_secs_f64();
        self
    }

    /// Notes that a request went out.
    pub fn started(&mut self) {
        self.outstanding = self.outstanding.saturating_add(1);
    }

    /// Notes that a request is over, whatever became of it.
    pub fn ended(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Takes a good answer's latency.
    pub fn succeeded(&mut self, latency: Duration) {
        self.error_share -= ERROR_WEIGHT * self.error_share;
        let secs = latency.as_secs_f64();
        if self.samples == 0 {
            self.latency_secs = secs;
        }
        self.samples = self.samples.saturating_add(1);
        self.latency_secs += LATENCY_WEIGHT * (secs - self.latency_secs);
    }

    /// Takes an error. Its latency counts for nothing: an endpoint that fails at once would
    /// otherwise look like the fastest and draw all requests to itself.
    pub fn failed(&mut self) {
        self.error_share += ERROR_WEIGHT * (1.0 - self.error_share);
    }

    /// Returns the requests that are outstanding.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns the share of recent answers that were errors, between 0 and 1.
    pub fn error_share(&self) -> f64 {
        self.error_share
    }

    /// Returns the cost, in seconds, of sending one more request; `mean` stands in for an endpoint
    /// of which nothing is known.
    pub fn cost(&self, mean: Duration) -> f64 {
        let mean = mean.as_secs_f64();
        let known = if self.samples == 0 {
            mean
        } else {
            self.latency_secs
        };
        // An endpoint that errs is charged what its callers lose, whose size the mean gives: its
        // own latency may be next to nothing.
        let base = known.max(mean * self.error_share) + self.distance_secs;
        base * f64::from(self.outstanding + 1) * (1.0 + ERROR_PENALTY * self.error_share)
    }
}
