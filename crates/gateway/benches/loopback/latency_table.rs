//! [`LatencyTable`]: the latencies of one load.

use std::time::Duration;

/// The latencies of one load, and how many of its requests failed.
#[derive(Default)]
pub(crate) struct LatencyTable {
    latencies_nanos: Vec<u64>,
    failed: usize,
}

impl LatencyTable {
    pub(crate) fn add(&mut self, latency: Duration, good: bool) {
        self.latencies_nanos
            .push(u64::try_from(latency.as_nanos()).unwrap());
        self.failed += usize::from(!good);
    }

    pub(crate) fn extend(&mut self, other: Self) {
        self.latencies_nanos.extend(other.latencies_nanos);
        self.failed += other.failed;
    }

    pub(crate) fn len(&self) -> usize {
        self.latencies_nanos.len()
    }

    pub(crate) fn failed(&self) -> usize {
        self.failed
    }

    /// Returns p50, p99 and p99.9 in microseconds.
    pub(crate) fn percentiles_micros(&mut self) -> [f64; 3] {
        self.latencies_nanos.sort_unstable();
        [0.5, 0.99, 0.999].map(|quantile| {
            let index = (self.latencies_nanos.len() as f64 * quantile) as usize;
            self.latencies_nanos.get(index).copied().unwrap_or(0) as f64 / 1e3
        })
    }
}
