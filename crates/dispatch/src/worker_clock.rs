//! Estimate of a worker's clock, and the expiry of its lease.

use std::time::Duration;

/// The lowest rate of a worker's clock, in percent of true time; the platform's documentation
/// allows it to be 2% slow.
const MIN_CLOCK_RATE_PERCENT: u32 = 98;
/// The margin before a lease counts as lapsed: reading the clock and acting on it take a moment.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_millis(50);

/// Estimate of a worker's clock, and the deadline of the lease granted to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerClock {
    reading: Option<ClockReading>,
    /// The latest deadline granted, on the worker's clock.
    deadline: Option<Duration>,
}

/// One reading of the worker's clock: its value, and when it was received on this process's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    value: Duration,
    received_at: Duration,
}

impl WorkerClock {
    /// Records a reading of the worker's clock that was received at `now`.
    pub fn hear(&mut self, value: Duration, now: Duration) {
        let newer = self.reading.is_none_or(|reading| value >= reading.value);
        if newer {
            self.reading = Some(ClockReading {
                value,
                received_at: now,
            });
        }
    }

    /// Returns whether the worker's clock was ever read.
    pub fn is_known(&self) -> bool {
        self.reading.is_some()
    }

    /// Returns whether a lease was granted, as far as this owner knows.
    pub fn has_deadline(&self) -> bool {
        self.deadline.is_some()
    }

    /// Grants a lease that begins at `now` and returns its deadline on the worker's clock; `None`
    /// while that clock is unknown.
    pub fn grant(&mut self, lease: Duration, now: Duration) -> Option<Duration> {
        let reading = self.reading?;
        let clock = reading.value + now.saturating_sub(reading.received_at);
        let deadline = clock + lease;
        self.deadline = Some(self.deadline.map_or(deadline, |last| last.max(deadline)));
        Some(deadline)
    }

    /// Returns whether every granted lease has certainly lapsed by `now`, even if the worker's
    /// clock is as slow as allowed.
    pub fn has_lapsed(&self, now: Duration) -> bool {
        let (Some(reading), Some(deadline)) = (self.reading, self.deadline) else {
            return false;
        };
        let since = now
            .saturating_sub(reading.received_at)
            .saturating_sub(LEASE_EXPIRY_MARGIN);
        let min_elapsed = since * MIN_CLOCK_RATE_PERCENT / 100;
        reading.value + min_elapsed > deadline
    }

    /// Returns the longest true time that a lease of this duration can last.
    pub fn longest(lease: Duration) -> Duration {
        lease * 100 / MIN_CLOCK_RATE_PERCENT + LEASE_EXPIRY_MARGIN
    }
}
