//! Health of a worker, and its quarantine.

use std::time::Duration;

use crate::TaskKey;

/// The number of consecutive failed runs, of different tasks, after which a worker is quarantined:
/// with one task in twenty failing by its own fault, two in a row happen once in 400.
const FAILURES_IN_A_ROW: usize = 2;
/// The duration of a worker's first quarantine.
const FIRST_REST: Duration = Duration::from_secs(2);
/// The longest quarantine: a worker that has recovered is found within this time.
const LONGEST_REST: Duration = Duration::from_secs(8);
/// The time after a failure during which other workers are preferred.
const MEMORY: Duration = Duration::from_secs(10);

/// Health of a worker, judged by the results of its runs.
#[derive(Debug, Default)]
pub(crate) struct WorkerHealth {
    failed: Vec<TaskKey>,
    last_failure: Option<Duration>,
    rest: Option<Duration>,
    rest_until: Option<Duration>,
}

impl WorkerHealth {
    /// Records a successful run: ends the quarantine and forgets earlier failures.
    pub(crate) fn note_done(&mut self) {
        self.failed.clear();
        self.rest = None;
        self.rest_until = None;
    }

    /// Records a run that failed or got stuck.
    pub(crate) fn note_failure(&mut self, task: TaskKey, now: Duration) {
        self.last_failure = Some(now);
        if !self.failed.contains(&task) {
            self.failed.push(task);
        }
        if self.failed.len() >= FAILURES_IN_A_ROW {
            self.set_aside(now);
        }
    }

    /// Quarantines the worker, each time for twice as long as before.
    pub(crate) fn set_aside(&mut self, now: Duration) {
        let rest = self
            .rest
            .map_or(FIRST_REST, |last| (last * 2).min(LONGEST_REST));
        self.rest = Some(rest);
        self.rest_until = Some(now + rest);
    }

    /// Returns whether the worker is quarantined: nothing may be started on it.
    pub(crate) fn rests(&self, now: Duration) -> bool {
        self.rest_until.is_some_and(|until| now < until)
    }

    /// Returns when the worker's last quarantine ends or ended, if no run has succeeded since;
    /// until then one task at a time probes the worker.
    pub(crate) fn on_probation_since(&self) -> Option<Duration> {
        self.rest_until
    }

    /// Returns whether a run failed on the worker recently.
    pub(crate) fn is_doubtful(&self, now: Duration) -> bool {
        self.last_failure.is_some_and(|at| now < at + MEMORY)
    }
}
