//! Latencies of one load.

use std::time::Duration;

/// Latencies of one load, and how many requests failed.
#[derive(Default)]
pub(crate) struct LatencyTable {
    nanos: Vec<u64>,
    failed: usize,
}

impl LatencyTable {
    pub(crate) fn add(&mut self, latency: Duration, good: bool) {
        self.nanos.push(u64::try_from(latency.as_nanos()).unwrap());
        self.failed += usize::from(!good);
    }

    pub(crate) fn extend(&mut self, other: Self) {
        self.nanos.extend(other.nanos);
        self.failed += other.failed;
    }

    pub(crate) fn len(&self) -> usize {
        self.nanos.len()
    }

    pub(crate) fn failed(&self) -> usize {
        self.failed
    }

    /// Returns p50, p99 and p99.9 in microseconds.
    pub(crate) fn row(&mut self) -> [f64; 3] {
        self.nanos.sort_unstable();
        [0.5, 0.99, 0.999].map(|part| {
            let place = (self.nanos.len() as f64 * part) as usize;
            self.nanos.get(place).copied().unwrap_or(0) as f64 / 1e3
        })
    }
}
