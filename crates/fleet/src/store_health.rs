//! Tracks from the outcomes of calls whether the store is available.

use std::time::Duration;

/// Tracks from the outcomes of calls whether the store is available. Calls overlap and long ones end late, so that each
/// counts by when it was sent: only a call sent after the failures began shows that the store is back.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    /// When calls began to fail; `None` while the store is available.
    failing_since: Option<Duration>,
    /// When the most recent of the answered calls was sent.
    answered: Option<Duration>,
    /// When the call was sent whose answer ended the last outage; `None` if there was none.
    back_since: Option<Duration>,
}

impl StoreHealth {
    /// Creates the state before the first call.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the answer to a call sent at `sent`; returns whether it ends an outage.
    pub fn record_answer(&mut self, sent: Duration) -> bool {
        self.answered = self.answered.max(Some(sent));
        let is_back = self.failing_since.is_some_and(|since| sent >= since);
        if is_back {
            self.failing_since = None;
            self.back_since = Some(sent);
        }
        is_back
    }

    /// Records at `now` that a call sent at `sent` failed.
    pub fn record_failure(&mut self, sent: Duration, now: Duration) {
        // Only the call's connection was lost: the store answered a later call.
        if self.is_answered_since(sent) {
            return;
        }
        self.failing_since.get_or_insert(now);
    }

    /// Records that a call sent at `sent` was left unanswered for too long, and that the store has been silent since
    /// `since`.
    pub fn record_silence(&mut self, sent: Duration, since: Duration) {
        self.record_failure(sent, since);
    }

    /// Returns whether a call sent after `sent` was answered.
    pub fn is_answered_since(&self, sent: Duration) -> bool {
        self.answered.is_some_and(|answered| answered > sent)
    }

    /// Returns whether calls fail.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns how long the store has been available at `now`: zero while calls fail, [`Duration::MAX`] if they never
    /// did.
    pub fn available_for(&self, now: Duration) -> Duration {
        match (self.failing_since, self.back_since) {
            (Some(_), _) => Duration::ZERO,
            (None, Some(since)) => now.saturating_sub(since),
            (None, None) => Duration::MAX,
        }
    }

    /// Returns how long calls have failed at `now`; zero while the store is available.
    pub fn failing_for(&self, now: Duration) -> Duration {
        let since = self.failing_since.unwrap_or(now);
        now.saturating_sub(since)
    }
}
