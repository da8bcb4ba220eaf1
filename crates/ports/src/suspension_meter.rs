//! The time for which the machine was suspended.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

/// Measures for how long the machine was suspended, by two clocks: the steady one stops meanwhile, the other counts all time
/// since the machine was booted.
#[derive(Debug)]
pub struct SuspensionMeter {
    /// By how much the clock since boot was ahead of the steady clock at the beginning.
    initial_lead: Duration,
    suspended_nanos: AtomicU64,
}

impl SuspensionMeter {
    /// Creates the meter from a reading of the steady clock and a later one of the clock since boot. In this order the lead
    /// is not read too low.
    pub fn new(steady: Duration, since_boot: Duration) -> Self {
        Self {
            initial_lead: since_boot.saturating_sub(steady),
            suspended_nanos: AtomicU64::new(0),
        }
    }

    /// Returns for how long the machine was suspended since the beginning, from a reading of the clock since boot and a later
    /// one of the steady clock. In this order a pause between the two readings does not count; the result never decreases.
    pub fn suspended_time(&self, since_boot: Duration, steady: Duration) -> Duration {
        let lead = since_boot.saturating_sub(steady);
        let suspended = lead.saturating_sub(self.initial_lead).as_nanos();
        let suspended = u64::try_from(suspended).unwrap_or(u64::MAX);
        let former = self.suspended_nanos.fetch_max(suspended, Ordering::Relaxed);
        Duration::from_nanos(former.max(suspended))
    }
}
