//! Whether slots were held for long enough that the gateway uses them.

use std::time::Duration;

/// How long slots are held before callers are let in: four times the period in which the gateway
/// looks at what is held.
pub const SETTLING: Duration = Duration::from_millis(200);

/// Whether slots were held for long enough that the gateway uses them.
///
/// The gateway looks at the held shares from time to time. A balancer that is told at the moment
/// the first share is held sends callers who are refused until the gateway's next look.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotSettling {
    since: Option<Duration>,
}

impl SlotSettling {
    /// Creates the state of a daemon that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in whether slots are held now, and tells whether they have settled.
    pub fn observe(&mut self, now: Duration, held: bool) -> bool {
        if !held {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        now.saturating_sub(since) >= SETTLING
    }
}
