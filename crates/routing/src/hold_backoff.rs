//! How long an endpoint that wants nothing is left alone.

use std::time::Duration;

const MOST_DOUBLINGS: u32 = 5;

/// How long an endpoint that refused a connection, answered 503 or announced its end is left
/// alone: a base time that doubles with each occasion in a row.
#[derive(Clone, Copy, Debug, Default)]
pub struct HoldBackoff {
    until: Duration,
    in_row: u32,
}

impl HoldBackoff {
    /// Creates one that holds nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Leaves the endpoint alone from now on for `base`, doubled with each occasion in a row, and
    /// for at least `asked`.
    pub fn hold(&mut self, now: Duration, base: Duration, asked: Duration) {
        let doubled = base * 2_u32.pow(self.in_row.min(MOST_DOUBLINGS));
        self.until = self.until.max(now + doubled.max(asked));
        self.in_row = self.in_row.saturating_add(1);
    }

    /// Notes a good answer.
    pub fn succeeded(&mut self) {
        self.in_row = 0;
    }

    /// Tells whether the endpoint is to be left alone now.
    pub fn holds(&self, now: Duration) -> bool {
        now < self.until
    }
}
