//! Tracks whether slots have been held for long enough that the gateway uses them.

use std::time::Duration;

/// How long a daemon must hold slots before it is ready for callers: four times the interval in which the gateway
/// checks the held shares.
pub const SLOT_READY_DELAY: Duration = Duration::from_millis(200);

/// Tracks whether slots have been held for long enough that the gateway uses them.
///
/// The gateway checks the held shares periodically. If a daemon were ready as soon as it held its first share, the
/// balancer would send callers who are refused until the gateway's next check.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotReadiness {
    /// The time since which slots have been held without interruption; `None` while none are held.
    held_since: Option<Duration>,
}

impl SlotReadiness {
    /// Creates the state of a daemon that holds no slots.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether slots are held at the time `now`, and returns whether they have been held for
    /// [`SLOT_READY_DELAY`].
    pub fn observe(&mut self, now: Duration, held: bool) -> bool {
        if !held {
            self.held_since = None;
            return false;
        }
        let held_since = *self.held_since.get_or_insert(now);
        now.saturating_sub(held_since) >= SLOT_READY_DELAY
    }
}
