//! How many orders may be under way at a time.

use std::time::Duration;

/// How many orders may be under way at first: some 10 ms each, so that this is 6,000 a second.
const FIRST: usize = 64;
/// How few at the least: the owner must get on.
const LEAST: usize = 8;
/// How many at most: 770 starts a second, each under way for up to 0.6 s.
const MOST: usize = 512;
/// How late the process's own timers are when it has more to do than its share of a processor allows. A wake-up on an
/// idle VM is some milliseconds late; an order counts as lost after 600 ms.
const LATE: Duration = Duration::from_millis(60);
/// The pause between two cuts: what was sent before a cut still makes timers late.
const CUT_EVERY: Duration = Duration::from_millis(100);

/// How many orders may be under way at a time.
///
/// An owner on a small VM that sends hundreds of starts at once hears the answers too late, takes them for lost,
/// orders stops, and is kept so busy by these that it never gets out of it, though every worker is well. Its own
/// timers tell it: when they are late, fewer orders go out. Lost answers tell nothing: the workers may be at fault.
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
    /// Takes note of how late the process's timers are.
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

    /// Returns how many more orders may be sent.
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
