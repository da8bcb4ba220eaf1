//! CPU that each kind of task held and waited for in each pool over time, from the owners' log lines.

use std::collections::BTreeMap;

use crate::log_line::LogLine;

/// The kinds of tasks: the field of a `pool` line, and the printed name.
pub(crate) const TASK_KINDS: [(&str, &str); 3] = [
    ("long_running", "long-running tasks"),
    ("short", "short tasks"),
    ("filler", "fillers"),
];
const MILLIS_PER_CORE: f64 = 1000.0;

/// The CPU that each kind of task held and waited for in each pool over time, and the admission decisions on
/// long-running jobs.
#[derive(Debug, Default)]
pub struct PoolUsageHistory {
    /// The samples of each pool, in the order in which their lines were read.
    pools: BTreeMap<String, Vec<PoolSample>>,
    /// The number of admitted long-running jobs.
    admitted_jobs: usize,
    /// The number of refusals of long-running jobs; a retried job counts each time.
    refusals: usize,
}

/// A sample of a pool's usage; CPU amounts in cores.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolSample {
    /// The time of the sample, in seconds since the Unix epoch.
    pub(crate) timestamp_s: f64,
    /// The CPU of all workers of the pool.
    pub(crate) capacity_cores: f64,
    /// The CPU that each kind of task holds, in the order of [`TASK_KINDS`].
    pub(crate) held_cores: [f64; 3],
    /// The CPU that each kind of task waits for, in the same order.
    pub(crate) wanted_cores: [f64; 3],
}

impl PoolUsageHistory {
    /// Adds a `pool` or `admission` line; ignores other lines.
    pub(crate) fn add_line(&mut self, line: &LogLine) {
        match line.str_field("event") {
            "pool" => {
                let samples = self
                    .pools
                    .entry(line.str_field("pool").to_owned())
                    .or_default();
                samples.push(PoolSample::new(line));
            }
            "admission" if line.is_true("granted") => self.admitted_jobs += 1,
            "admission" => self.refusals += 1,
            _ => {}
        }
    }

    /// Returns each pool's name and its samples ordered by time.
    pub(crate) fn pools(&self) -> impl Iterator<Item = (&str, Vec<PoolSample>)> {
        self.pools.iter().map(|(pool, samples)| {
            let mut samples = samples.clone();
            samples.sort_by(|left, right| left.timestamp_s.total_cmp(&right.timestamp_s));
            (pool.as_str(), samples)
        })
    }

    /// Returns whether no `pool` line was read.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }

    /// Returns the printed lines: mean use and demand of each pool by kind of task, and the admission decisions.
    pub(crate) fn summary_lines(&self) -> Vec<String> {
        let mut summary_lines = Vec::new();
        for (pool, samples) in self.pools() {
            let capacity_cores = mean(samples.iter().map(|sample| sample.capacity_cores));
            for (kind, (_, name)) in TASK_KINDS.iter().enumerate() {
                let held_cores = mean(samples.iter().map(|sample| sample.held_cores[kind]));
                let wanted_cores = mean(samples.iter().map(|sample| sample.wanted_cores[kind]));
                let wanted_samples = samples.iter().map(|sample| sample.wanted_cores[kind]);
                summary_lines.push(format!(
                    "pool {pool}: {name} held {held_cores:.0} of {capacity_cores:.0} processors and waited for {wanted_cores:.0}, \
                     {:.0} at most",
                    wanted_samples.fold(0.0, f64::max)
                ));
            }
        }
        if self.admitted_jobs + self.refusals > 0 {
            summary_lines.push(format!(
                "long-running jobs taken in: {}, refused for want of room: {} times",
                self.admitted_jobs, self.refusals
            ));
        }
        summary_lines
    }
}

impl PoolSample {
    /// Converts a `pool` line, whose amounts are thousandths of a core.
    fn new(line: &LogLine) -> Self {
        let cores = |field: &str| line.f64_field(field) / MILLIS_PER_CORE;
        Self {
            timestamp_s: line.timestamp_s,
            capacity_cores: cores("capacity"),
            held_cores: TASK_KINDS.map(|(kind, _)| cores(kind)),
            wanted_cores: TASK_KINDS.map(|(kind, _)| cores(&format!("{kind}_wanted"))),
        }
    }
}

/// Returns the arithmetic mean; 0 if there are no values.
fn mean<Values>(values: Values) -> f64
where
    Values: Iterator<Item = f64>,
{
    let (count, sum) = values.fold((0.0, 0.0), |(count, sum), value| (count + 1.0, sum + value));
    if count > 0.0 { sum / count } else { 0.0 }
}
