//! Who held each pool's processors over time, and who waited for them, from the owners' logs.

use std::collections::BTreeMap;

use crate::log_line::LogLine;

/// The kinds of work, as log lines name them, with the words for them.
pub(crate) const WORK_KINDS: [(&str, &str); 3] = [
    ("long_running", "long-running tasks"),
    ("short", "short tasks"),
    ("filler", "fillers"),
];
/// Thousandths of a processor in one.
const MILLIS: f64 = 1000.0;

/// Who held each pool's processors over time, and who waited for them.
#[derive(Debug, Default)]
pub struct PoolHistory {
    pools: BTreeMap<String, Vec<PoolMoment>>,
    granted: usize,
    refused: usize,
}

/// A moment of a pool; all in processors.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolMoment {
    /// Seconds since 1970.
    pub(crate) at: f64,
    pub(crate) capacity: f64,
    /// What each kind of work holds, in the order of [`WORK_KINDS`].
    pub(crate) held: [f64; 3],
    /// What each kind waits for.
    pub(crate) wanted: [f64; 3],
}

impl PoolHistory {
    pub(crate) fn take(&mut self, line: &LogLine) {
        match line.str("event") {
            "pool" => {
                let moments = self.pools.entry(line.str("pool").to_owned()).or_default();
                moments.push(PoolMoment::new(line));
            }
            "admission" if line.flag("granted") => self.granted += 1,
            "admission" => self.refused += 1,
            _ => {}
        }
    }

    /// Returns each pool's moments in their order.
    pub(crate) fn pools(&self) -> impl Iterator<Item = (&str, Vec<PoolMoment>)> {
        self.pools.iter().map(|(pool, moments)| {
            let mut moments = moments.clone();
            moments.sort_by(|left, right| left.at.total_cmp(&right.at));
            (pool.as_str(), moments)
        })
    }

    /// Tells whether no line told of a pool.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    pub(crate) fn texts(&self) -> Vec<String> {
        let mut texts = Vec::new();
        for (pool, moments) in self.pools() {
            let capacity = mean(moments.iter().map(|moment| moment.capacity));
            for (kind, (_, name)) in WORK_KINDS.iter().enumerate() {
                let held = mean(moments.iter().map(|moment| moment.held[kind]));
                let wanted = mean(moments.iter().map(|moment| moment.wanted[kind]));
                let most = moments.iter().map(|moment| moment.wanted[kind]);
                texts.push(format!(
                    "pool {pool}: {name} held {held:.0} of {capacity:.0} processors and waited for {wanted:.0}, \
                     {:.0} at most",
                    most.fold(0.0, f64::max)
                ));
            }
        }
        if self.granted + self.refused > 0 {
            texts.push(format!(
                "long-running jobs taken in: {}, refused for want of room: {} times",
                self.granted, self.refused
            ));
        }
        texts
    }
}

impl PoolMoment {
    fn new(line: &LogLine) -> Self {
        let processors = |field: &str| line.decimal(field) / MILLIS;
        Self {
            at: line.at,
            capacity: processors("capacity"),
            held: WORK_KINDS.map(|(kind, _)| processors(kind)),
            wanted: WORK_KINDS.map(|(kind, _)| processors(&format!("{kind}_wanted"))),
        }
    }
}

fn mean<Values>(values: Values) -> f64
where
    Values: Iterator<Item = f64>,
{
    let (count, sum) = values.fold((0.0, 0.0), |(count, sum), value| (count + 1.0, sum + value));
    if count > 0.0 { sum / count } else { 0.0 }
}
