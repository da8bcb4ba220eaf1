//! Shared parts of the benchmarks: a queue of simulated events, random durations and statistics.

use std::{
    cmp::{
        Ordering,
        Reverse, //
    },
    collections::BinaryHeap,
    time::Duration,
};

use rand::{
    RngExt,
    rngs::SmallRng, //
};

/// Seeds with which each simulation is run.
pub(crate) const SEEDS: std::ops::Range<u64> = 0..24;

/// Priority queue of simulated events: earliest time first, then in the order of insertion.
pub(crate) struct EventQueue<Event> {
    heap: BinaryHeap<Reverse<TimedEvent<Event>>>,
    next_sequence: u64,
}

struct TimedEvent<Event> {
    time: Duration,
    sequence: u64,
    event: Event,
}

impl<Event> PartialEq for TimedEvent<Event> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<Event> Eq for TimedEvent<Event> {}

impl<Event> PartialOrd for TimedEvent<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for TimedEvent<Event> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.time, self.sequence).cmp(&(other.time, other.sequence))
    }
}

impl<Event> EventQueue<Event> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            next_sequence: 0,
        }
    }

    pub(crate) fn push(&mut self, time: Duration, event: Event) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(TimedEvent {
            time,
            sequence,
            event,
        }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse(next) = self.heap.pop()?;
        Some((next.time, next.event))
    }
}

/// Draws an exponentially distributed duration.
pub(crate) fn exponential(rng: &mut SmallRng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random();
    mean.mul_f64(-(1.0 - uniform).ln())
}

/// Sorts the samples and returns their `level` quantile (0 to 1); zero without samples.
pub(crate) fn quantile(samples: &mut [Duration], level: f64) -> Duration {
    samples.sort_unstable();
    let index = (samples.len() as f64 * level) as usize;
    samples.get(index).copied().unwrap_or_default()
}

/// Formats one value per seed as `median [min max]`; sorts the values.
pub(crate) fn format_median_and_range(values: &mut [f64]) -> String {
    values.sort_by(f64::total_cmp);
    let median = values[values.len() / 2];
    let (min, max) = (values[0], values[values.len() - 1]);
    format!("{median:6.3} [{min:6.3} {max:6.3}]")
}
