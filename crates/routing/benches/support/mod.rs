//! What the measurements of the decisions share: events in the order of time, draws and quantiles.

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

/// The seeds of each measurement.
pub(crate) const SEEDS: std::ops::Range<u64> = 0..24;

/// Events in the order of their times.
pub(crate) struct EventQueue<Event> {
    heap: BinaryHeap<Reverse<Entry<Event>>>,
    number: u64,
}

struct Entry<Event> {
    at: Duration,
    number: u64,
    event: Event,
}

impl<Event> PartialEq for Entry<Event> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<Event> Eq for Entry<Event> {}

impl<Event> PartialOrd for Entry<Event> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<Event> Ord for Entry<Event> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl<Event> EventQueue<Event> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            number: 0,
        }
    }

    pub(crate) fn push(&mut self, at: Duration, event: Event) {
        let number = self.number;
        self.number += 1;
        self.heap.push(Reverse(Entry { at, number, event }));
    }

    pub(crate) fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse(entry) = self.heap.pop()?;
        Some((entry.at, entry.event))
    }
}

/// Draws an exponential time.
pub(crate) fn exponential(source: &mut SmallRng, mean: Duration) -> Duration {
    let draw: f64 = source.random();
    mean.mul_f64(-(1.0 - draw).ln())
}

/// Returns a quantile; sorts the samples.
pub(crate) fn quantile(samples: &mut [Duration], part: f64) -> Duration {
    samples.sort_unstable();
    let place = (samples.len() as f64 * part) as usize;
    samples.get(place).copied().unwrap_or_default()
}

/// Shows the median and the range of what the seeds gave.
pub(crate) fn spread(values: &mut [f64]) -> String {
    values.sort_by(f64::total_cmp);
    let middle = values[values.len() / 2];
    let (least, most) = (values[0], values[values.len() - 1]);
    format!("{middle:6.3} [{least:6.3} {most:6.3}]")
}
