//! What calls to the store show of its health.

use std::time::Duration;

/// What calls to the store show of its health. Calls overlap and long ones end late, so that each counts by when it was
/// sent: only a call that was sent after the store began to fail shows that it is back.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    failing_since: Option<Duration>,
    /// When the latest call was sent that was answered.
    answered: Option<Duration>,
    /// When the call was sent that showed the end of the last outage.
    back_since: Option<Duration>,
}

impl StoreHealth {
    /// Creates the health of a store that no call has been sent to.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note that a call sent at `sent` was answered; tells whether the store is back by that.
    pub fn note_answer(&mut self, sent: Duration) -> bool {
        self.answered = self.answered.max(Some(sent));
        let is_back = self.failing_since.is_some_and(|since| sent >= since);
        if is_back {
            self.failing_since = None;
            self.back_since = Some(sent);
        }
        is_back
    }

    /// Takes note at `now` that a call sent at `sent` failed.
    pub fn note_failure(&mut self, sent: Duration, now: Duration) {
        // Its connection was lost, not the store: a later call was answered.
        if self.is_answered_since(sent) {
            return;
        }
        self.failing_since.get_or_insert(now);
    }

    /// Takes note that a call sent at `sent` was left unanswered for too long.
    pub fn note_silence(&mut self, sent: Duration) {
        self.note_failure(sent, sent);
    }

    /// Tells whether a call was answered that was sent after `sent`.
    pub fn is_answered_since(&self, sent: Duration) -> bool {
        self.answered.is_some_and(|answered| answered > sent)
    }

    /// Tells whether calls fail.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Returns for how long the store has been there at `now`, without bound if it was never away.
    pub fn with(&self, now: Duration) -> Duration {
        match (self.failing_since, self.back_since) {
            (Some(_), _) => Duration::ZERO,
            (None, Some(since)) => now.saturating_sub(since),
            (None, None) => Duration::MAX,
        }
    }

    /// Returns for how long calls have failed at `now`.
    pub fn without(&self, now: Duration) -> Duration {
        let since = self.failing_since.unwrap_or(now);
        now.saturating_sub(since)
    }
}
