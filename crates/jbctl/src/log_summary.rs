//! Where the work's time goes, from the daemons' logs.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    io::BufRead,
};

use crate::{
    PoolHistory,
    log_line::LogLine, //
};

/// How often a waiting step is logged, in seconds: each of its lines stands for so long.
const WAIT_EVERY_S: f64 = 2.0;
/// From which time on a caller was held for long, in milliseconds.
const HELD_MS: f64 = 500.0;
/// A service's tail at its target, in hundredths.
const AT_TARGET: u64 = 100;

/// Where the work's time goes: a count of what the daemons' logs tell, by cause.
#[derive(Debug, Default)]
pub struct LogSummary {
    requests: BTreeMap<String, usize>,
    held: usize,
    waited_s: BTreeMap<&'static str, f64>,
    starts: HashMap<String, usize>,
    ends: BTreeMap<String, usize>,
    yielded: usize,
    yielded_below_target: usize,
    moved: u64,
    changes: usize,
    change_ms: f64,
    storeless_ms: f64,
    jobs: BTreeMap<String, Vec<u64>>,
    /// Who held the pools' processors.
    pub pools: PoolHistory,
    /// Lines that are no log lines.
    pub skipped: usize,
    lines: usize,
}

impl LogSummary {
    /// Reads the lines of all daemons, in any order.
    ///
    /// # Errors
    ///
    /// Any error of the reader.
    pub fn read<Lines>(lines: Lines) -> std::io::Result<Self>
    where
        Lines: BufRead,
    {
        let mut summary = Self::default();
        for text in lines.lines() {
            let text = text?;
            match LogLine::read(&text) {
                Some(line) => summary.take(&line),
                None => summary.skipped += usize::from(!text.trim().is_empty()),
            }
        }
        Ok(summary)
    }

    /// Tells whether there was no line.
    pub fn is_empty(&self) -> bool {
        self.lines == 0
    }

    /// Returns the lines to print.
    pub fn texts(&self) -> Vec<String> {
        let mut texts = Vec::new();
        for (outcome, count) in &self.requests {
            texts.push(format!("requests {outcome}: {count}"));
        }
        texts.push(format!(
            "requests held for over {HELD_MS} ms: {}",
            self.held
        ));
        let mut waited: Vec<(&f64, &&str)> =
            self.waited_s.iter().map(|(why, s)| (s, why)).collect();
        waited.sort_by(|left, right| right.0.total_cmp(left.0));
        for (seconds, reason) in waited {
            texts.push(format!("tasks waited by `{reason}`: {seconds:.0} s"));
        }
        let again = self.starts.values().filter(|&&count| count > 1).count();
        texts.push(format!(
            "tasks started: {}, of these more than once: {again}",
            self.starts.len()
        ));
        for (end, count) in &self.ends {
            texts.push(format!("runs {end}: {count}"));
        }
        texts.push(format!(
            "fillers gave way to services: {} times ({} of these below the service's target), {} moved",
            self.yielded, self.yielded_below_target, self.moved
        ));
        texts.push(format!(
            "changes of the owner: {}, {:.0} ms until the new ones acted",
            self.changes, self.change_ms
        ));
        texts.push(format!(
            "daemons without the store: {:.0} ms in all",
            self.storeless_ms
        ));
        for (outcome, ages) in &self.jobs {
            texts.push(job_text(outcome, ages));
        }
        texts.extend(self.pools.texts());
        texts
    }

    fn take(&mut self, line: &LogLine) {
        self.lines += 1;
        match line.str("event") {
            "request" => self.take_request(line),
            "wait" => self.take_wait(line),
            "order" => self.take_order(line),
            "end" => *self.ends.entry(line.str("end").to_owned()).or_default() += 1,
            "owner" if line.str("change") == "acting" => {
                self.changes += 1;
                self.change_ms += line.decimal("took_ms");
            }
            "dependency" => self.storeless_ms += line.decimal("without_ms"),
            "job" => {
                let ages = self.jobs.entry(line.str("outcome").to_owned());
                ages.or_default().push(line.number("age_ms"));
            }
            _ => self.pools.take(line),
        }
    }

    fn take_request(&mut self, line: &LogLine) {
        let outcome = line.str("outcome");
        // What stands in brackets differs from request to request.
        let kind = outcome.split('(').next().unwrap_or_default();
        *self.requests.entry(kind.to_owned()).or_default() += 1;
        self.held += usize::from(line.decimal("took_ms") > HELD_MS);
    }

    /// Shares the time of the tasks that wait among the reasons, by how many workers each speaks for.
    fn take_wait(&mut self, line: &LogLine) {
        let reasons = line.wait_reasons();
        let workers: u64 = reasons.iter().map(|(count, _)| count).sum();
        let tasks = line.number("missing") as f64;
        for (count, reason) in reasons {
            if count > 0 {
                let share = count as f64 / workers as f64;
                *self.waited_s.entry(reason).or_default() += tasks * WAIT_EVERY_S * share;
            }
        }
    }

    fn take_order(&mut self, line: &LogLine) {
        match line.str("order") {
            "start" if line.str("outcome") == "Taken" => {
                *self.starts.entry(line.str("task").to_owned()).or_default() += 1;
            }
            "give_way" => {
                self.yielded += 1;
                self.yielded_below_target += usize::from(line.number("tail_percent") < AT_TARGET);
                self.moved += line.number("moved");
            }
            _ => {}
        }
    }
}

fn job_text(outcome: &str, ages: &[u64]) -> String {
    let mut ages = ages.to_vec();
    ages.sort_unstable();
    let at = |hundredths: usize| {
        let last = ages.len().saturating_sub(1);
        ages.get(last * hundredths / 100).copied().unwrap_or(0)
    };
    format!(
        "jobs {outcome}: {}, half within {} ms, 95 of 100 within {} ms",
        ages.len(),
        at(50),
        at(95)
    )
}
