//! Admission of task starts to a failure domain.

use std::time::Duration;

/// How long starts are rate-limited after a failure domain reopens.
const RAMP_UP_DURATION: Duration = Duration::from_secs(60);
/// Starts allowed per second during the ramp-up, as a share of the domain's workers.
const RAMP_UP_STARTS_PER_WORKER_SECOND: f64 = 0.2;
/// Starts allowed immediately after a domain reopens.
const RAMP_UP_BURST_STARTS: f64 = 2.0;

/// Decides whether a failure domain accepts task starts, and limits their rate after it reopens. A
/// domain that reopens empty would attract every waiting task at once. For [`RAMP_UP_DURATION`], a
/// token bucket admits starts at a rate proportional to the domain's workers, so that the domain
/// has time to fill until it is no longer the emptiest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DomainAdmission {
    open: bool,
    /// When the rate limit ends.
    ramp_up_until: Duration,
    /// The starts that the rate limit allows now.
    start_tokens: f64,
    /// When tokens were last added.
    last_refill: Duration,
}

impl DomainAdmission {
    pub(crate) fn new() -> Self {
        Self {
            open: true,
            ramp_up_until: Duration::ZERO,
            start_tokens: 0.0,
            last_refill: Duration::ZERO,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.open
    }

    pub(crate) fn close(&mut self) {
        self.open = false;
    }

    pub(crate) fn reopen(&mut self, now: Duration) {
        if self.open {
            return;
        }
        self.open = true;
        self.ramp_up_until = now + RAMP_UP_DURATION;
        self.start_tokens = RAMP_UP_BURST_STARTS;
        self.last_refill = now;
    }

    /// Adds the tokens earned since the last call: a share of the number of workers per second, but
    /// at least one per second.
    pub(crate) fn refill_tokens(&mut self, now: Duration, workers: usize) {
        let elapsed_seconds = now.saturating_sub(self.last_refill).as_secs_f64();
        let starts_per_second = (workers as f64 * RAMP_UP_STARTS_PER_WORKER_SECOND).max(1.0);
        self.start_tokens = (self.start_tokens + elapsed_seconds * starts_per_second)
            .min(starts_per_second.max(RAMP_UP_BURST_STARTS));
        self.last_refill = now;
    }

    pub(crate) fn admits_start(&self, now: Duration) -> bool {
        self.open && (now >= self.ramp_up_until || self.start_tokens >= 1.0)
    }

    pub(crate) fn take_token(&mut self) {
        self.start_tokens -= 1.0;
    }
}
