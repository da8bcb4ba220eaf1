//! Log lines of all daemons about one job, and the causes of failure or delay that they show.

use std::io::BufRead;

use derive_more::Display;
use serde_json::Value;

use crate::log_line::LogLine;

/// For how long its store calls must have failed before a daemon treats the store as lost, in milliseconds. A refusal
/// after a shorter time has another reason.
const STORE_LOST_AFTER_MS: u64 = 300;
/// The fields that open a printed line by their values alone; the others follow as `name=value`.
const LEADING_FIELDS: [&str; 3] = ["ts", "node", "event"];

/// The log lines of all daemons about one job, ordered by time.
#[derive(Debug)]
pub struct JobTimeline {
    job: String,
    lines: Vec<LogLine>,
    /// The number of non-empty input lines that could not be parsed as log lines.
    pub skipped_lines: usize,
}

/// A cause of a job's failure, refusal or delay, found in its log lines.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum DiagnosedCause {
    /// A request was refused because the daemon could not reach the store.
    #[display(
        "refused by {node}: without the store for {without_ms} ms; nothing ran by that request"
    )]
    WithoutStore {
        /// The name of the daemon that refused.
        node: String,
        /// For how long the store had been unavailable, in milliseconds.
        without_ms: u64,
    },
    /// A request was refused because the daemon had not yet loaded a configuration.
    #[display("refused by {node}: it had no configuration yet; nothing ran by that request")]
    WithoutConfiguration {
        /// The name of the daemon that refused.
        node: String,
    },
    /// The daemon could not determine a request's outcome.
    #[display("unknown at {node}: a write got no answer; {verdict}")]
    Unknown {
        /// The name of the daemon that handled the request.
        node: String,
        /// The printed statement on whether later lines show that the request took effect.
        verdict: &'static str,
    },
    /// A step waited for workers with free capacity.
    #[display(
        "step {step} waited at {job_age_ms} ms: {unplaced_tasks} tasks without a place, most workers by `{reason}` ({workers})"
    )]
    Waited {
        /// The step's key, as logged.
        step: String,
        /// The job's age when the line was written, in milliseconds.
        job_age_ms: u64,
        /// How many of the step's tasks had no worker.
        unplaced_tasks: u64,
        /// The reason for which most workers were rejected, one of the fields of a `wait` line.
        reason: String,
        /// How many workers were rejected for that reason.
        workers: u64,
    },
    /// The owner did not look for workers for a step.
    #[display("step {step} waited at {job_age_ms} ms: the owner held it back, cause `{cause}`")]
    HeldBack {
        /// The step's key, as logged.
        step: String,
        /// The job's age when the line was written, in milliseconds.
        job_age_ms: u64,
        /// The cause in the `wait` line.
        cause: String,
    },
    /// A run went on although it was to be stopped.
    #[display(
        "run {run} of task {task} on {worker} had not ended {waited_ms} ms after it was to be stopped, cause `{cause}`"
    )]
    OverdueStop {
        /// The task's key, as logged.
        task: String,
        /// The run's number.
        run: u64,
        /// The worker's identity.
        worker: String,
        /// The time since the stop was planned, in milliseconds.
        waited_ms: u64,
        /// The cause in the `overdue` line.
        cause: String,
    },
    /// A task was started again by an owner that did not know that a run of it had ended as done.
    #[display(
        "task {task} was started again by {node} as run {run} after run {done_run} had ended as done; it knew of the run before: `{earlier}`"
    )]
    StartedAgain {
        /// The task's key.
        task: String,
        /// The name of the daemon that was the owner.
        node: String,
        /// The number of the second run.
        run: u64,
        /// The number of the run that had ended as done.
        done_run: u64,
        /// What the owner knew of the task's run before, as logged.
        earlier: String,
    },
    /// A run went on after its owner had given it up, so that the task may have run twice.
    #[display(
        "run {run} of task {task} on {worker} ended as `{end}` after {node} had given it up as `{loss}`; its start was meant for the \
         worker's incarnation of {intended_born_ms}, the end is listed by that of {listing_born_ms}"
    )]
    EndedAfterLoss {
        /// The name of the daemon that was the owner.
        node: String,
        /// The task's key.
        task: String,
        /// The run's number.
        run: u64,
        /// The worker's identity.
        worker: String,
        /// How the run ended.
        end: String,
        /// The cause of the loss, as logged.
        loss: String,
        /// When the incarnation began that the start was meant for, in milliseconds since the Unix epoch; 0 if unknown.
        intended_born_ms: u64,
        /// When the incarnation began that lists the end, in milliseconds since the Unix epoch; 0 if unknown.
        listing_born_ms: u64,
    },
    /// The end of a run was acknowledged without a record, since its owner did not know the job.
    #[display(
        "the end of run {run} of task {task} on {worker}, `{end}`, is on no record: {node} did not know the job"
    )]
    DroppedEnd {
        /// The name of the daemon that was the owner.
        node: String,
        /// The task's key.
        task: String,
        /// The run's number.
        run: u64,
        /// The worker's identity.
        worker: String,
        /// How the run ended.
        end: String,
    },
    /// The owner refused a long-running job for lack of free capacity.
    #[display(
        "refused by {node} for want of room: it asks for {demand_millis} thousandths of a processor, {free_millis} are not promised to \
         long-running tasks, {short_need_millis} of these are what short work needs; come back in {retry_after_ms} ms"
    )]
    WithoutFreeCapacity {
        /// The name of the daemon that was the owner.
        node: String,
        /// The CPU that the job requests, in thousandths of a core.
        demand_millis: u64,
        /// The CPU that is not promised to long-running tasks, in thousandths of a core.
        free_millis: u64,
        /// The part of that free CPU that short tasks need, in thousandths of a core.
        short_need_millis: u64,
        /// The time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// A worker crashed under a task of the job.
    #[display(
        "worker {worker} crashed at {at:.3} while it executed task {task}; crashes on record for the task: {crashes}"
    )]
    WorkerCrashed {
        /// The worker's identity.
        worker: String,
        /// When contact with it was lost, in seconds since the Unix epoch.
        at: f64,
        /// The task's key.
        task: String,
        /// The number of crashes under the task so far.
        crashes: u64,
    },
    /// The job was given up because workers crashed under one of its tasks.
    #[display("given up: {reason}")]
    GivenUp {
        /// The reason as logged and as callers are told it.
        reason: String,
    },
    /// The job ended as failed.
    #[display("ended as failed: {runs} runs failed on {workers} workers")]
    Failed {
        /// How many of its runs failed.
        runs: usize,
        /// On how many different workers they failed.
        workers: usize,
    },
}

impl JobTimeline {
    /// Reads the log lines of all daemons, in any order, and keeps those about one job, given by its identifier.
    ///
    /// # Errors
    ///
    /// Returns any error of the reader.
    pub fn read<Lines>(job: &str, lines: Lines) -> std::io::Result<Self>
    where
        Lines: BufRead,
    {
        let mut timeline = Self {
            job: job.to_owned(),
            lines: Vec::new(),
            skipped_lines: 0,
        };
        for line in lines.lines() {
            timeline.add_line(&line?);
        }
        timeline
            .lines
            .sort_by(|left, right| left.timestamp_s.total_cmp(&right.timestamp_s));
        Ok(timeline)
    }

    /// Returns whether no line is about the job.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the printed form of each line, ordered by time.
    pub fn formatted_lines(&self) -> Vec<String> {
        self.lines.iter().map(format_line).collect()
    }

    /// Returns the causes that the lines show, ordered by time.
    pub fn causes(&self) -> Vec<DiagnosedCause> {
        let mut causes = Vec::new();
        for line in &self.lines {
            let cause = match line.str_field("event") {
                "request" => self.request_cause(line),
                "wait" => Some(wait_cause(line)),
                "overdue" => Some(overdue_cause(line)),
                "order" => self.repeated_start_cause(line),
                "end" => self.late_end_cause(line),
                "unknown_end" if line.str_field("outcome") == "dropped" => {
                    Some(dropped_end_cause(line))
                }
                "admission" if !line.is_true("granted") => Some(admission_cause(line)),
                "crash" if line.str_field("verdict") == "confirmed" => Some(crash_cause(line)),
                "job" if line.str_field("outcome") == "failed" => Some(self.failure_cause(line)),
                _ => None,
            };
            causes.extend(cause);
        }
        causes
    }

    /// Adds a line if it is about the job; counts it as skipped if it can't be parsed.
    fn add_line(&mut self, line: &str) {
        let Some(line) = LogLine::parse(line) else {
            self.skipped_lines += usize::from(!line.trim().is_empty());
            return;
        };
        if is_about_job(&line, &self.job) {
            self.lines.push(line);
        }
    }

    /// Returns the cause that a request's outcome shows, `None` if the request was accepted or its refusal has another
    /// reason.
    fn request_cause(&self, line: &LogLine) -> Option<DiagnosedCause> {
        let node = line.str_field("node").to_owned();
        let outcome = line.str_field("outcome");
        if outcome.starts_with("Unknown") {
            let took_effect = self.lines.iter().any(|later| {
                later.timestamp_s > line.timestamp_s
                    && matches!(later.str_field("event"), "order" | "end" | "job")
            });
            let verdict = match took_effect {
                true => "it was done, as later lines show",
                false => "no later line shows that it was done",
            };
            return Some(DiagnosedCause::Unknown { node, verdict });
        }
        if !outcome.starts_with("Refused") {
            return None;
        }
        let without_ms = line.u64_field("without_store_ms");
        if line.u64_field("config_version") == 0 {
            return Some(DiagnosedCause::WithoutConfiguration { node });
        }
        (without_ms >= STORE_LOST_AFTER_MS)
            .then_some(DiagnosedCause::WithoutStore { node, without_ms })
    }

    /// Returns the cause that a start shows whose task had ended as done, unless its owner knew that: a long-running task starts
    /// again however it ends.
    fn repeated_start_cause(&self, line: &LogLine) -> Option<DiagnosedCause> {
        let earlier = line.str_field("earlier");
        if line.str_field("order") != "start" || matches!(earlier, "" | "ended_done") {
            return None;
        }
        let is_done = |end: &&LogLine| {
            matches!(end.str_field("event"), "end" | "unknown_end")
                && end.str_field("end") == "done"
                && end.str_field("task") == line.str_field("task")
                && end.timestamp_s <= line.timestamp_s
        };
        let done = self.lines.iter().find(is_done)?;
        Some(DiagnosedCause::StartedAgain {
            task: line.str_field("task").to_owned(),
            node: line.str_field("node").to_owned(),
            run: line.u64_field("run"),
            done_run: done.u64_field("run"),
            earlier: earlier.to_owned(),
        })
    }

    /// Returns the cause that the end of a run shows which had been given up.
    fn late_end_cause(&self, line: &LogLine) -> Option<DiagnosedCause> {
        let is_same_run = |other: &&LogLine| {
            ["task", "worker"]
                .iter()
                .all(|field| other.str_field(field) == line.str_field(field))
                && other.u64_field("run") == line.u64_field("run")
                && other.timestamp_s <= line.timestamp_s
        };
        let mut run_lines = self.lines.iter().filter(is_same_run);
        let loss = run_lines.find(|other| other.str_field("event") == "loss")?;
        let mut run_lines = self.lines.iter().filter(is_same_run);
        let start = run_lines.find(|other| other.str_field("order") == "start");
        Some(DiagnosedCause::EndedAfterLoss {
            node: loss.str_field("node").to_owned(),
            task: line.str_field("task").to_owned(),
            run: line.u64_field("run"),
            worker: line.str_field("worker").to_owned(),
            end: line.str_field("end").to_owned(),
            loss: loss.str_field("cause").to_owned(),
            intended_born_ms: start.map_or(0, |start| start.u64_field("worker_born_ms")),
            listing_born_ms: line.u64_field("worker_born_ms"),
        })
    }

    /// Returns the reason for which the job was given up, or counts its failed runs and their workers.
    fn failure_cause(&self, line: &LogLine) -> DiagnosedCause {
        let is_given_up = |line: &LogLine| line.is_true("gives_up");
        if self.lines.iter().any(is_given_up) {
            return DiagnosedCause::GivenUp {
                reason: line.str_field("reason").to_owned(),
            };
        }
        let failed_on_workers: Vec<&str> = self
            .lines
            .iter()
            .filter(|line| line.str_field("event") == "end" && line.str_field("end") == "failed")
            .map(|line| line.str_field("worker"))
            .collect();
        let mut workers = failed_on_workers.clone();
        workers.sort_unstable();
        workers.dedup();
        DiagnosedCause::Failed {
            runs: failed_on_workers.len(),
            workers: workers.len(),
        }
    }
}

/// Returns whether a line is about a job: names it, a request for it, or one of its tasks or steps.
fn is_about_job(line: &LogLine, job: &str) -> bool {
    let part_keys = ["task", "step"].map(|field| line.str_field(field).split('.').next());
    line.str_field("job") == job
        || line.str_field("path").rsplit('/').next() == Some(job)
        || part_keys.contains(&Some(job))
}

/// Formats a line as time, daemon, event and the other fields.
fn format_line(line: &LogLine) -> String {
    let other_fields = line
        .fields
        .iter()
        .filter(|(name, _)| !LEADING_FIELDS.contains(&name.as_str()));
    let other_fields: Vec<String> = other_fields
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    let (node, event) = (line.str_field("node"), line.str_field("event"));
    format!(
        "{:.3} {node} {event} {}",
        line.timestamp_s,
        other_fields.join(" ")
    )
}

/// Returns the cause in a `wait` line, with the reason for which most workers were rejected.
fn wait_cause(line: &LogLine) -> DiagnosedCause {
    let cause = line.str_field("cause");
    if !matches!(cause, "" | "worker") {
        return DiagnosedCause::HeldBack {
            step: line.str_field("step").to_owned(),
            job_age_ms: line.u64_field("job_age_ms"),
            cause: cause.to_owned(),
        };
    }
    let (workers, reason) = line
        .rejection_counts()
        .into_iter()
        .max()
        .unwrap_or_default();
    DiagnosedCause::Waited {
        step: line.str_field("step").to_owned(),
        job_age_ms: line.u64_field("job_age_ms"),
        unplaced_tasks: line.u64_field("missing"),
        reason: reason.to_owned(),
        workers,
    }
}

/// Returns the cause in an `overdue` line.
fn overdue_cause(line: &LogLine) -> DiagnosedCause {
    DiagnosedCause::OverdueStop {
        task: line.str_field("task").to_owned(),
        run: line.u64_field("run"),
        worker: line.str_field("worker").to_owned(),
        waited_ms: line.u64_field("waited_ms"),
        cause: line.str_field("cause").to_owned(),
    }
}

/// Returns the cause in an `unknown_end` line.
fn dropped_end_cause(line: &LogLine) -> DiagnosedCause {
    DiagnosedCause::DroppedEnd {
        node: line.str_field("node").to_owned(),
        task: line.str_field("task").to_owned(),
        run: line.u64_field("run"),
        worker: line.str_field("worker").to_owned(),
        end: line.str_field("end").to_owned(),
    }
}

/// Returns the cause in a `crash` line.
fn crash_cause(line: &LogLine) -> DiagnosedCause {
    DiagnosedCause::WorkerCrashed {
        worker: line.str_field("worker").to_owned(),
        at: line.f64_field("at"),
        task: line.str_field("task").to_owned(),
        crashes: line.u64_field("crashes"),
    }
}

/// Returns the cause in an `admission` line that refused the job.
fn admission_cause(line: &LogLine) -> DiagnosedCause {
    DiagnosedCause::WithoutFreeCapacity {
        node: line.str_field("node").to_owned(),
        demand_millis: line.u64_field("demand"),
        free_millis: line.u64_field("room"),
        short_need_millis: line.u64_field("short_need"),
        retry_after_ms: line.u64_field("back_ms"),
    }
}
