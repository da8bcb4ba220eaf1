//! Backoff for endpoints that do not accept requests.

use std::time::Duration;

const MAX_DOUBLINGS: u32 = 5;

/// Exponential backoff during which an endpoint that refused a connection, answered 503 or
/// announced its shutdown gets no requests. The time starts at a base and doubles with each call of
/// [`Self::back_off`] since the last one of [`Self::record_success`], up to 32 times the base.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointBackoff {
    active_until: Duration,
    consecutive_backoffs: u32,
}

impl EndpointBackoff {
    /// Creates an inactive backoff.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts or extends the backoff.
    ///
    /// It lasts from `now` for `base`, doubled for each earlier call since the last success, but at
    /// least for `minimum`, the time that the endpoint asked for.
    pub fn back_off(&mut self, now: Duration, base: Duration, minimum: Duration) {
        let doubled = base * 2_u32.pow(self.consecutive_backoffs.min(MAX_DOUBLINGS));
        self.active_until = self.active_until.max(now + doubled.max(minimum));
        self.consecutive_backoffs = self.consecutive_backoffs.saturating_add(1);
    }

    /// Records a successful response: the next backoff starts again at its base time. A backoff
    /// that is active stays so until its end.
    pub fn record_success(&mut self) {
        self.consecutive_backoffs = 0;
    }

    /// Returns whether the backoff is active at `now`.
    pub fn is_active(&self, now: Duration) -> bool {
        now < self.active_until
    }
}
