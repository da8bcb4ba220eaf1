//! Summary of the daemons' logs: how requests, runs and jobs ended, and what they waited for.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    io::BufRead,
};

use crate::{
    PoolUsageHistory,
    log_line::LogLine, //
};

/// The interval at which a daemon logs a waiting step, in seconds; each `wait` line stands for that much waiting time.
const WAIT_LOG_INTERVAL_S: f64 = 2.0;
/// The time above which a request counts as slow, in milliseconds.
const SLOW_REQUEST_MS: f64 = 500.0;
/// A service's tail latency when it just meets its target, in percent of the target.
const TAIL_AT_TARGET_PERCENT: u64 = 100;

/// Counts and times from the logs of all daemons, by outcome or cause.
#[derive(Debug, Default)]
pub struct LogSummary {
    /// The number of requests by outcome, without the details in parentheses.
    requests_by_outcome: BTreeMap<String, usize>,
    /// The number of requests that took longer than [`SLOW_REQUEST_MS`].
    slow_requests: usize,
    /// The waiting time of all tasks, in seconds, by reason.
    task_wait_s_by_reason: BTreeMap<&'static str, f64>,
    /// The number of accepted start orders by task.
    starts_by_task: HashMap<String, usize>,
    /// The number of ended runs by result.
    runs_by_result: BTreeMap<String, usize>,
    /// The number of decisions to throttle or move fillers beside a slow service.
    filler_decisions: usize,
    /// The number of these decisions made while the service's tail latency still met its target.
    filler_decisions_within_target: usize,
    /// The number of fillers moved by these decisions.
    moved_fillers: u64,
    /// The number of times a daemon became the owner.
    owner_changes: usize,
    /// The total time until the new owners acted, in milliseconds.
    owner_change_ms: f64,
    /// The total time that daemons were without the store, in milliseconds.
    without_store_ms: f64,
    /// The ages of ended jobs, in milliseconds, by outcome.
    job_ages_ms_by_outcome: BTreeMap<String, Vec<u64>>,
    /// The usage of each pool's CPU over time.
    pub pool_usage: PoolUsageHistory,
    /// The number of non-empty input lines that could not be parsed as log lines.
    pub skipped_lines: usize,
    /// The number of log lines read.
    line_count: usize,
}

impl LogSummary {
    /// Reads the log lines of all daemons, in any order.
    ///
    /// # Errors
    ///
    /// Returns any error of the reader.
    pub fn read<Lines>(lines: Lines) -> std::io::Result<Self>
    where
        Lines: BufRead,
    {
        let mut summary = Self::default();
        for text in lines.lines() {
            let text = text?;
            match LogLine::parse(&text) {
                Some(line) => summary.add_line(&line),
                None => summary.skipped_lines += usize::from(!text.trim().is_empty()),
            }
        }
        Ok(summary)
    }

    /// Returns whether the input contained no log line.
    pub fn is_empty(&self) -> bool {
        self.line_count == 0
    }

    /// Returns the lines of the printed summary.
    pub fn summary_lines(&self) -> Vec<String> {
        let mut summary_lines = Vec::new();
        for (outcome, count) in &self.requests_by_outcome {
            summary_lines.push(format!("requests {outcome}: {count}"));
        }
        summary_lines.push(format!(
            "requests held for over {SLOW_REQUEST_MS} ms: {}",
            self.slow_requests
        ));
        let mut longest_waits_first: Vec<(&f64, &&str)> = self
            .task_wait_s_by_reason
            .iter()
            .map(|(reason, seconds)| (seconds, reason))
            .collect();
        longest_waits_first.sort_by(|left, right| right.0.total_cmp(left.0));
        for (seconds, reason) in longest_waits_first {
            summary_lines.push(format!("tasks waited by `{reason}`: {seconds:.0} s"));
        }
        let restarted = self
            .starts_by_task
            .values()
            .filter(|&&count| count > 1)
            .count();
        summary_lines.push(format!(
            "tasks started: {}, of these more than once: {restarted}",
            self.starts_by_task.len()
        ));
        for (end, count) in &self.runs_by_result {
            summary_lines.push(format!("runs {end}: {count}"));
        }
        summary_lines.push(format!(
            "fillers gave way to services: {} times ({} of these below the service's target), {} moved",
            self.filler_decisions, self.filler_decisions_within_target, self.moved_fillers
        ));
        summary_lines.push(format!(
            "changes of the owner: {}, {:.0} ms until the new ones acted",
            self.owner_changes, self.owner_change_ms
        ));
        summary_lines.push(format!(
            "daemons without the store: {:.0} ms in all",
            self.without_store_ms
        ));
        for (outcome, ages) in &self.job_ages_ms_by_outcome {
            summary_lines.push(job_ages_text(outcome, ages));
        }
        summary_lines.extend(self.pool_usage.summary_lines());
        summary_lines
    }

    /// Adds a log line to the counts for its event.
    fn add_line(&mut self, line: &LogLine) {
        self.line_count += 1;
        match line.str_field("event") {
            "request" => self.add_request(line),
            "wait" => self.add_wait(line),
            "order" => self.add_order(line),
            "end" => {
                *self
                    .runs_by_result
                    .entry(line.str_field("end").to_owned())
                    .or_default() += 1
            }
            "owner" if line.str_field("change") == "acting" => {
                self.owner_changes += 1;
                self.owner_change_ms += line.f64_field("took_ms");
            }
            "dependency" => self.without_store_ms += line.f64_field("without_ms"),
            "job" => {
                let ages = self
                    .job_ages_ms_by_outcome
                    .entry(line.str_field("outcome").to_owned());
                ages.or_default().push(line.u64_field("age_ms"));
            }
            _ => self.pool_usage.add_line(line),
        }
    }

    fn add_request(&mut self, line: &LogLine) {
        let outcome = line.str_field("outcome");
        // The details in parentheses differ between requests.
        let kind = outcome.split('(').next().unwrap_or_default();
        *self.requests_by_outcome.entry(kind.to_owned()).or_default() += 1;
        self.slow_requests += usize::from(line.f64_field("took_ms") > SLOW_REQUEST_MS);
    }

    /// Splits the waiting time of a step's tasks among the reasons, in proportion to the workers rejected for each.
    fn add_wait(&mut self, line: &LogLine) {
        let reasons = line.rejection_counts();
        let rejected_workers: u64 = reasons.iter().map(|(count, _)| count).sum();
        let tasks = line.u64_field("missing") as f64;
        for (count, reason) in reasons {
            if count > 0 {
                let share = count as f64 / rejected_workers as f64;
                *self.task_wait_s_by_reason.entry(reason).or_default() +=
                    tasks * WAIT_LOG_INTERVAL_S * share;
            }
        }
    }

    fn add_order(&mut self, line: &LogLine) {
        match line.str_field("order") {
            "start" if line.str_field("outcome") == "Taken" => {
                *self
                    .starts_by_task
                    .entry(line.str_field("task").to_owned())
                    .or_default() += 1;
            }
            "give_way" => {
                self.filler_decisions += 1;
                self.filler_decisions_within_target +=
                    usize::from(line.u64_field("tail_percent") < TAIL_AT_TARGET_PERCENT);
                self.moved_fillers += line.u64_field("moved");
            }
            _ => {}
        }
    }
}

/// Formats the number of jobs with an outcome, and the median and 95th percentile of their ages in milliseconds.
fn job_ages_text(outcome: &str, ages: &[u64]) -> String {
    let mut ages = ages.to_vec();
    ages.sort_unstable();
    let percentile_ms = |percent: usize| {
        let last = ages.len().saturating_sub(1);
        ages.get(last * percent / 100).copied().unwrap_or(0)
    };
    format!(
        "jobs {outcome}: {}, half within {} ms, 95 of 100 within {} ms",
        ages.len(),
        percentile_ms(50),
        percentile_ms(95)
    )
}
