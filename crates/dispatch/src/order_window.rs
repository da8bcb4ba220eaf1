//! Limit on the number of orders in flight.

use std::time::Duration;

/// The initial limit. An order takes some 10 ms, so this allows 6,000 a second.
const INITIAL_ORDER_LIMIT: usize = 64;
/// The lowest limit: the owner must continue to make progress.
const MIN_ORDER_LIMIT: usize = 8;
/// The highest limit: 770 starts a second, each in flight for up to 0.6 s.
const MAX_ORDER_LIMIT: usize = 512;
/// The part of the limit that stops leave to starts: a stop to a silent worker is in flight until it counts as lost.
const START_SHARE_DIVISOR: usize = 4;
/// The timer lag from which the process counts as overloaded. A wake-up on an idle VM is some
/// milliseconds late; an order counts as lost after 600 ms.
const OVERLOAD_TIMER_LAG: Duration = Duration::from_millis(60);
/// The minimum interval between two reductions of the limit: orders sent before a reduction still
/// delay the timers.
const MIN_REDUCTION_INTERVAL: Duration = Duration::from_millis(100);

/// Limits the number of orders in flight by the lag of the process's own timers.
///
/// An owner on a small VM that sends hundreds of starts at once processes the answers too late,
/// takes them for lost, orders stops, and stays overloaded by these although every worker is
/// healthy. The lag of its own timers reveals the overload, and fewer orders are sent. Lost answers
/// are no indication: the workers may be the cause.
#[derive(Debug)]
pub(crate) struct OrderWindow {
    limit: usize,
    in_flight: usize,
    /// The number of stops among the orders in flight.
    stops_in_flight: usize,
    /// When the limit was last reduced.
    last_reduction: Option<Duration>,
}

impl Default for OrderWindow {
    fn default() -> Self {
        Self {
            limit: INITIAL_ORDER_LIMIT,
            in_flight: 0,
            stops_in_flight: 0,
            last_reduction: None,
        }
    }
}

impl OrderWindow {
    /// Adjusts the limit to the lag of the process's timers: additive increase, multiplicative
    /// decrease.
    pub(crate) fn adjust_to_lag(&mut self, lag: Duration, now: Duration) {
        if lag < OVERLOAD_TIMER_LAG {
            self.limit = (self.limit + 1).min(MAX_ORDER_LIMIT);
            return;
        }
        if self
            .last_reduction
            .is_some_and(|last_reduction| now < last_reduction + MIN_REDUCTION_INTERVAL)
        {
            return;
        }
        self.last_reduction = Some(now);
        self.limit = (self.limit / 2).max(MIN_ORDER_LIMIT);
    }

    /// Returns how many more orders may be sent now.
    pub(crate) fn remaining(&self) -> usize {
        self.limit.saturating_sub(self.in_flight)
    }

    /// Returns how many more stops may be sent now.
    pub(crate) fn remaining_stops(&self) -> usize {
        let stop_limit = self.limit - self.limit / START_SHARE_DIVISOR;
        self.remaining()
            .min(stop_limit.saturating_sub(self.stops_in_flight))
    }

    /// Returns the number of orders in flight and the limit.
    pub(crate) fn usage(&self) -> (usize, usize) {
        (self.in_flight, self.limit)
    }

    /// Counts a start as in flight.
    pub(crate) fn record_start_sent(&mut self) {
        self.in_flight += 1;
    }

    /// Counts a start as answered or lost.
    pub(crate) fn record_start_answered(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Counts a stop as in flight.
    pub(crate) fn record_stop_sent(&mut self) {
        self.in_flight += 1;
        self.stops_in_flight += 1;
    }

    /// Counts a stop as answered or lost.
    pub(crate) fn record_stop_answered(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.stops_in_flight = self.stops_in_flight.saturating_sub(1);
    }
}
