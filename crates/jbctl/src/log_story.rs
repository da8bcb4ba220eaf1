//! What the daemons' logs tell of one job.

use std::io::BufRead;

use derive_more::Display;
use serde_json::Value;

use crate::log_line::LogLine;

/// From which time without the store on a daemon refuses for that; milliseconds, as the daemon counts it.
const WITHOUT_STORE_MS: u64 = 300;
/// The fields that are printed before the others, or not at all.
const HEAD: [&str; 3] = ["ts", "node", "event"];

/// What the daemons' logs tell of one job: its lines of all daemons in their order, and what they say of the cause.
#[derive(Debug)]
pub struct LogStory {
    job: String,
    lines: Vec<LogLine>,
    /// Lines that are no log lines.
    pub skipped: usize,
}

/// What the lines say of a failure.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum StoryCause {
    /// A request was refused since its daemon was without the store.
    #[display(
        "refused by {node}: without the store for {without_ms} ms; nothing ran by that request"
    )]
    WithoutStore {
        /// The daemon.
        node: String,
        /// For how long, in milliseconds.
        without_ms: u64,
    },
    /// A request was refused since its daemon had no configuration yet.
    #[display("refused by {node}: it had no configuration yet; nothing ran by that request")]
    WithoutConfiguration {
        /// The daemon.
        node: String,
    },
    /// A request's outcome is not known.
    #[display("unknown at {node}: a write got no answer; {verdict}")]
    Unknown {
        /// The daemon.
        node: String,
        /// Whether it shows later that it was done.
        verdict: &'static str,
    },
    /// A step waited for room.
    #[display(
        "step {step} waited at {age_ms} ms: {missing} tasks without a place, most workers by `{reason}` ({workers})"
    )]
    Waited {
        /// The step.
        step: String,
        /// The job's age, in milliseconds.
        age_ms: u64,
        /// How many tasks.
        missing: u64,
        /// What speaks against most workers.
        reason: String,
        /// How many workers.
        workers: u64,
    },
    /// It lasts, and the owner had no room for it.
    #[display(
        "refused by {node} for want of room: it asks for {demand} thousandths of a processor, {room} are not promised to \
         long-running tasks, {short_need} of these are what short work needs; come back in {back_ms} ms"
    )]
    WithoutRoom {
        /// The owner.
        node: String,
        /// What it asks for, in thousandths of a processor.
        demand: u64,
        /// What is not promised.
        room: u64,
        /// What short work needs of it.
        short_need: u64,
        /// When there should be room.
        back_ms: u64,
    },
    /// Its runs failed.
    #[display("ended as failed: {runs} runs failed on {workers} workers")]
    Failed {
        /// How many runs.
        runs: usize,
        /// On how many workers.
        workers: usize,
    },
}

impl LogStory {
    /// Reads the lines that tell of a job.
    ///
    /// # Errors
    ///
    /// Any error of the reader.
    pub fn read<Lines>(job: &str, lines: Lines) -> std::io::Result<Self>
    where
        Lines: BufRead,
    {
        let mut story = Self {
            job: job.to_owned(),
            lines: Vec::new(),
            skipped: 0,
        };
        for line in lines.lines() {
            story.take(&line?);
        }
        story
            .lines
            .sort_by(|left, right| left.at.total_cmp(&right.at));
        Ok(story)
    }

    /// Tells whether no line names the job.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Returns the lines to print.
    pub fn texts(&self) -> Vec<String> {
        self.lines.iter().map(text).collect()
    }

    /// Returns what the lines say of the cause of a failure, in their order.
    pub fn causes(&self) -> Vec<StoryCause> {
        let mut causes = Vec::new();
        for line in &self.lines {
            let cause = match line.str("event") {
                "request" => self.request_cause(line),
                "wait" => Some(wait_cause(line)),
                "admission" if !line.flag("granted") => Some(room_cause(line)),
                "job" if line.str("outcome") == "failed" => Some(self.failure()),
                _ => None,
            };
            causes.extend(cause);
        }
        causes
    }

    fn take(&mut self, line: &str) {
        let Some(line) = LogLine::read(line) else {
            self.skipped += usize::from(!line.trim().is_empty());
            return;
        };
        if names(&line, &self.job) {
            self.lines.push(line);
        }
    }

    fn request_cause(&self, line: &LogLine) -> Option<StoryCause> {
        let node = line.str("node").to_owned();
        let outcome = line.str("outcome");
        if outcome.starts_with("Unknown") {
            let done = self.lines.iter().any(|later| {
                later.at > line.at && matches!(later.str("event"), "order" | "end" | "job")
            });
            let verdict = match done {
                true => "it was done, as later lines show",
                false => "no later line shows that it was done",
            };
            return Some(StoryCause::Unknown { node, verdict });
        }
        if !outcome.starts_with("Refused") {
            return None;
        }
        let without_ms = line.number("without_store_ms");
        if line.number("config_version") == 0 {
            return Some(StoryCause::WithoutConfiguration { node });
        }
        (without_ms >= WITHOUT_STORE_MS).then_some(StoryCause::WithoutStore { node, without_ms })
    }

    fn failure(&self) -> StoryCause {
        let failed: Vec<&str> = self
            .lines
            .iter()
            .filter(|line| line.str("event") == "end" && line.str("end") == "failed")
            .map(|line| line.str("worker"))
            .collect();
        let mut workers = failed.clone();
        workers.sort_unstable();
        workers.dedup();
        StoryCause::Failed {
            runs: failed.len(),
            workers: workers.len(),
        }
    }
}

/// Tells whether a line is about a job: its request, one of its tasks or steps, or its end.
fn names(line: &LogLine, job: &str) -> bool {
    let parts = ["task", "step"].map(|field| line.str(field).split('.').next());
    line.str("job") == job
        || line.str("path").rsplit('/').next() == Some(job)
        || parts.contains(&Some(job))
}

fn text(line: &LogLine) -> String {
    let rest = line
        .fields
        .iter()
        .filter(|(name, _)| !HEAD.contains(&name.as_str()));
    let rest: Vec<String> = rest
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    let (node, event) = (line.str("node"), line.str("event"));
    format!("{:.3} {node} {event} {}", line.at, rest.join(" "))
}

fn wait_cause(line: &LogLine) -> StoryCause {
    let (workers, reason) = line.wait_reasons().into_iter().max().unwrap_or_default();
    StoryCause::Waited {
        step: line.str("step").to_owned(),
        age_ms: line.number("job_age_ms"),
        missing: line.number("missing"),
        reason: reason.to_owned(),
        workers,
    }
}

fn room_cause(line: &LogLine) -> StoryCause {
    StoryCause::WithoutRoom {
        node: line.str("node").to_owned(),
        demand: line.number("demand"),
        room: line.number("room"),
        short_need: line.number("short_need"),
        back_ms: line.number("back_ms"),
    }
}
