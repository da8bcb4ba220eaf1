//! Whether, and how fast, a failure domain takes work.

use std::time::Duration;

/// The time over which a returned domain fills, and the share of its workers that may take a task
/// in each second of it.
const FILL_TIME: Duration = Duration::from_secs(60);
const FILL_SHARE: f64 = 0.2;
const FILL_BURST: f64 = 2.0;

/// Whether, and how fast, a failure domain takes work. A domain that returns empty would draw every
/// waiting task at once; the gate lets in a fixed share of starts a second until it is no longer the
/// emptiest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DomainGate {
    open: bool,
    fills_until: Duration,
    tokens: f64,
    counted: Duration,
}

impl DomainGate {
    pub(crate) fn new() -> Self {
        Self {
            open: true,
            fills_until: Duration::ZERO,
            tokens: 0.0,
            counted: Duration::ZERO,
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
        self.fills_until = now + FILL_TIME;
        self.tokens = FILL_BURST;
        self.counted = now;
    }

    /// Adds what the time since the last call allows.
    pub(crate) fn count_time(&mut self, now: Duration, workers: usize) {
        let passed = now.saturating_sub(self.counted).as_secs_f64();
        let rate = (workers as f64 * FILL_SHARE).max(1.0);
        self.tokens = (self.tokens + passed * rate).min(rate.max(FILL_BURST));
        self.counted = now;
    }

    pub(crate) fn admits(&self, now: Duration) -> bool {
        self.open && (now >= self.fills_until || self.tokens >= 1.0)
    }

    pub(crate) fn note_start(&mut self) {
        self.tokens -= 1.0;
    }
}
