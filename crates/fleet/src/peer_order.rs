//! The order in which other daemons are called.

use std::time::Duration;

use indexmap::IndexMap;

/// How long a daemon that left a call unanswered comes after all others. A daemon that was replaced stays listed, and
/// a call to it delays a caller until the call times out.
const DEMOTION_TIME: Duration = Duration::from_secs(10);

/// Orders the daemons to which a caller's request can be forwarded: those that recently left a call unanswered come
/// last.
#[derive(Debug, Default)]
pub struct PeerOrder {
    /// When each address last left a call unanswered.
    silent: IndexMap<String, Duration>,
}

impl PeerOrder {
    /// Records that the daemon at `address` left a call unanswered at `now`.
    pub fn record_silence(&mut self, address: &str, now: Duration) {
        // Expired entries are removed here, so that replaced daemons don't accumulate.
        self.silent
            .retain(|_, silent| now < *silent + DEMOTION_TIME);
        self.silent.insert(address.to_owned(), now);
    }

    /// Records that the daemon at `address` answered.
    pub fn record_answer(&mut self, address: &str) {
        self.silent.swap_remove(address);
    }

    /// Moves the daemons that recently left a call unanswered to the end; the order is otherwise kept.
    pub fn sort(&self, addresses: &mut [String], now: Duration) {
        addresses.sort_by_key(|address| {
            self.silent
                .get(address)
                .is_some_and(|silent| now < *silent + DEMOTION_TIME)
        });
    }
}
