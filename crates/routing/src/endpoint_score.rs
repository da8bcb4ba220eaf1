//! Per-endpoint statistics for load balancing.

use std::time::Duration;

const ERROR_RATE_EWMA_WEIGHT: f64 = 0.1;
const LATENCY_EWMA_WEIGHT: f64 = 0.1;
/// An endpoint whose error rate is 1 costs `1 + ERROR_RATE_COST_FACTOR` times its base cost.
const ERROR_RATE_COST_FACTOR: f64 = 20.0;

/// Statistics of an endpoint from which [`Self::cost`] is computed: moving averages of the latency
/// of successful responses and of the error rate, the number of outstanding requests, and the
/// network round-trip time to its failure domain.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointScore {
    latency_secs: f64,
    error_rate: f64,
    outstanding: u32,
    round_trip_secs: f64,
    samples: u64,
}

impl EndpointScore {
    /// Creates the score of an endpoint without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the network round-trip time to the endpoint's failure domain.
    pub fn with_round_trip_time(mut self, round_trip: Duration) -> Self {
        self.round_trip_secs = round_trip.as_secs_f64();
        self
    }

    /// Records that a request was sent to the endpoint.
    pub fn record_start(&mut self) {
        self.outstanding = self.outstanding.saturating_add(1);
    }

    /// Records that a request to the endpoint is over, whatever its outcome.
    pub fn record_completion(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records a successful response and its latency.
    pub fn record_success(&mut self, latency: Duration) {
        self.error_rate -= ERROR_RATE_EWMA_WEIGHT * self.error_rate;
        let secs = latency.as_secs_f64();
        if self.samples == 0 {
            self.latency_secs = secs;
        }
        self.samples = self.samples.saturating_add(1);
        self.latency_secs += LATENCY_EWMA_WEIGHT * (secs - self.latency_secs);
    }

    /// Records an error.
    ///
    /// The latency of an error is ignored: otherwise an endpoint that fails immediately would look
    /// like the fastest one and attract all requests.
    pub fn record_error(&mut self) {
        self.error_rate += ERROR_RATE_EWMA_WEIGHT * (1.0 - self.error_rate);
    }

    /// Returns the number of outstanding requests.
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Returns the moving average of the error rate, between 0 and 1.
    pub fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Returns the cost, in seconds, of sending one more request to the endpoint.
    ///
    /// `mean` is the mean latency of the service; it replaces the latency of an endpoint that has
    /// no samples yet.
    pub fn cost(&self, mean: Duration) -> f64 {
        let mean = mean.as_secs_f64();
        let latency = if self.samples == 0 {
            mean
        } else {
            self.latency_secs
        };
        // The cost of an error is what the caller loses, estimated by the mean latency: the latency
        // of a failing endpoint itself may be close to zero.
        let base = latency.max(mean * self.error_rate) + self.round_trip_secs;
        base * f64::from(self.outstanding + 1) * (1.0 + ERROR_RATE_COST_FACTOR * self.error_rate)
    }
}
