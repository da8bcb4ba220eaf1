//! Which daemons are asked in this one's place.

use std::time::Duration;

use indexmap::IndexMap;

/// How long a daemon that did not answer is asked after all others: a replaced one stays listed, and each call to it
/// holds a caller until it times out.
const ASKED_LAST_FOR: Duration = Duration::from_secs(10);

/// Which daemons are asked in this one's place: those that did not answer lately come last.
#[derive(Debug, Default)]
pub struct PeerOrder {
    /// When each last left a call without an answer.
    silent: IndexMap<String, Duration>,
}

impl PeerOrder {
    /// Takes note that a daemon left a call without an answer at `now`.
    pub fn note_silence(&mut self, address: &str, now: Duration) {
        // Those that are long gone are forgotten here, so that years of replaced daemons leave nothing behind.
        self.silent
            .retain(|_, silent| now < *silent + ASKED_LAST_FOR);
        self.silent.insert(address.to_owned(), now);
    }

    /// Takes note that a daemon answered.
    pub fn note_answer(&mut self, address: &str) {
        self.silent.swap_remove(address);
    }

    /// Puts those last that did not answer lately; the others stay in their order.
    pub fn sort(&self, addresses: &mut [String], now: Duration) {
        addresses.sort_by_key(|address| {
            self.silent
                .get(address)
                .is_some_and(|silent| now < *silent + ASKED_LAST_FOR)
        });
    }
}
