//! Health of a worker, and its quarantine.

use std::time::Duration;

use crate::TaskKey;

/// The number of consecutive failed runs, of different tasks, after which a worker is quarantined:
/// with one task in twenty failing by its own fault, two in a row happen once in 400.
const QUARANTINE_FAILURE_COUNT: usize = 2;
/// The duration of a worker's first quarantine.
const INITIAL_QUARANTINE: Duration = Duration::from_secs(2);
/// The longest quarantine: a worker that has recovered is found within this time.
const MAX_QUARANTINE: Duration = Duration::from_secs(8);
/// The time after a failure during which other workers are preferred.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);

/// Health of a worker, judged by the results of its runs.
#[derive(Debug, Default)]
pub(crate) struct WorkerHealth {
    /// The tasks that failed since the last success, each once.
    failed_tasks: Vec<TaskKey>,
    last_failure: Option<Duration>,
    /// The duration of the last quarantine, if no run has succeeded since.
    last_quarantine: Option<Duration>,
    /// The end of the last quarantine, if no run has succeeded or gone on well since.
    quarantined_until: Option<Duration>,
}

impl WorkerHealth {
    /// Records a successful run: ends the quarantine and forgets earlier failures.
    pub(crate) fn record_success(&mut self) {
        self.failed_tasks.clear();
        self.last_quarantine = None;
        self.quarantined_until = None;
    }

    /// Ends the probation if the run that was placed at `placed_at` and goes on well is its probe. The next failure counts
    /// as if the probation lasted.
    pub(crate) fn end_probation(&mut self, placed_at: Duration) {
        if self
            .quarantined_until
            .is_some_and(|until| placed_at >= until)
        {
            self.quarantined_until = None;
        }
    }

    /// Records a run that failed or got stuck.
    pub(crate) fn record_failure(&mut self, task: TaskKey, now: Duration) {
        self.last_failure = Some(now);
        if !self.failed_tasks.contains(&task) {
            self.failed_tasks.push(task);
        }
        if self.failed_tasks.len() >= QUARANTINE_FAILURE_COUNT {
            self.quarantine(now);
        }
    }

    /// Quarantines the worker, each time for twice as long as before. What fails during a quarantine began before it, and
    /// does not prolong it.
    pub(crate) fn quarantine(&mut self, now: Duration) {
        if self.is_quarantined(now) {
            return;
        }
        let quarantine = self
            .last_quarantine
            .map_or(INITIAL_QUARANTINE, |last| (last * 2).min(MAX_QUARANTINE));
        self.last_quarantine = Some(quarantine);
        self.quarantined_until = Some(now + quarantine);
    }

    /// Returns whether the worker is quarantined: nothing may be started on it.
    pub(crate) fn is_quarantined(&self, now: Duration) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }

    /// Returns when the worker's last quarantine ends or ended, if no run has succeeded or gone on
    /// well since. After the quarantine, and until then, one task at a time probes the worker.
    pub(crate) fn probation_since(&self) -> Option<Duration> {
        self.quarantined_until
    }

    /// Returns whether a run failed on the worker recently.
    pub(crate) fn failed_recently(&self, now: Duration) -> bool {
        self.last_failure
            .is_some_and(|at| now < at + FAILURE_MEMORY)
    }
}
