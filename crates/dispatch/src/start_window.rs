//! Limit on the number of orders in flight.

use std::time::Duration;

/// The initial limit. An order takes some 10 ms, so this allows 6,000 a second.
const FIRST: usize = 64;
/// The lowest limit: the owner must continue to make progress.
const LEAST: usize = 8;
/// The highest limit: 770 starts a second, each in flight for up to 0.6 s.
const MOST: usize = 512;
/// The timer lag from which the process counts as overloaded. A wake-up on an idle VM is some
/// milliseconds late; an order counts as lost after 600 ms.
const LATE: Duration = Duration::from_millis(60);
/// The minimum interval between two reductions of the limit: orders sent before a reduction still
/// delay the timers.
const CUT_EVERY: Duration = Duration::from_millis(100);

/// Limits the number of orders in flight by the lag of the process's own timers.
///
/// An owner on a small VM that sends hundreds of starts at once processes the answers too late,
/// takes them for lost, orders stops, and stays overloaded by these although every worker is
/// healthy. The lag of its own timers reveals the overload, and fewer orders are sent. Lost answers
/// are no indication: the workers may be the cause.
#[derive(Debug)]
pub(crate) struct StartWindow {
    limit: usize,
    under_way: usize,
    cut: Option<Duration>,
}

impl Default for StartWindow {
    fn default() -> Self {
        Self {
            limit: FIRST,
            under_way: 0,
            cut: None,
        }
    }
}

impl StartWindow {
    /// Adjusts the limit to the lag of the process's timers: additive increase, multiplicative
    /// decrease.
    pub(crate) fn note_lag(&mut self, lag: Duration, now: Duration) {
        if lag < LATE {
            self.limit = (self.limit + 1).min(MOST);
            return;
        }
        if self.cut.is_some_and(|cut| now < cut + CUT_EVERY) {
            return;
        }
        self.cut = Some(now);
        self.limit = (self.limit / 2).max(LEAST);
    }

    /// Returns how many more orders may be sent now.
    pub(crate) fn room(&self) -> usize {
        self.limit.saturating_sub(self.under_way)
    }

    pub(crate) fn note_sent(&mut self) {
        self.under_way += 1;
    }

    pub(crate) fn note_answered(&mut self) {
        self.under_way = self.under_way.saturating_sub(1);
    }
}
