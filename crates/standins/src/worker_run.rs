//! One run in progress on a stand-in worker.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ClassName,
    ResourceAmount, //
};
use jasminebend_ports::{
    RunCompletion,
    TaskAttempt,
    TaskOrder,
    WorkerTask, //
};

use crate::TaskPayload;

/// The speed of a run that is not throttled, in thousandths.
pub(crate) const FULL_SPEED_MILLIS: u32 = 1000;

/// One run in progress on a stand-in worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRun {
    pub(crate) attempt: TaskAttempt,
    pub(crate) class: ClassName,
    pub(crate) kind: ClassKind,
    pub(crate) reserved: ResourceAmount,
    pub(crate) payload: TaskPayload,
    /// The throttle factor, in thousandths of full speed.
    pub(crate) speed_millis: u32,
    /// The work done, in seconds of a run without interference and throttling.
    pub(crate) done_seconds: f64,
    /// When the run fails, on a worker that fails every task; otherwise `None`.
    pub(crate) fails_at: Option<Duration>,
    /// When the resource usage was last measured.
    pub(crate) measured_at: Duration,
    /// The index of the run in the ledger.
    pub(crate) ledger_index: usize,
}

impl WorkerRun {
    pub(crate) fn new(
        order: &TaskOrder,
        now: Duration,
        done_seconds: f64,
        ledger_index: usize,
    ) -> Self {
        Self {
            attempt: order.attempt,
            class: order.class.clone(),
            kind: order.kind,
            reserved: order.reserved,
            payload: TaskPayload::from_text(&order.payload),
            speed_millis: FULL_SPEED_MILLIS,
            done_seconds,
            fails_at: None,
            measured_at: now,
            ledger_index,
        }
    }

    pub(crate) fn with_failure_at(mut self, fails_at: Option<Duration>) -> Self {
        self.fails_at = fails_at;
        self
    }

    pub(crate) fn to_task(&self, ended: Option<RunCompletion>) -> WorkerTask {
        WorkerTask {
            attempt: self.attempt,
            class: self.class.clone(),
            reserved: self.reserved,
            speed_millis: self.speed_millis,
            ended,
        }
    }

    /// Returns when the run completes at this slowdown, given the work done at `now`. Returns `None` for services and
    /// for runs throttled to zero, which do not complete by themselves.
    pub(crate) fn completes_at(&self, now: Duration, slowdown: f64) -> Option<Duration> {
        if self.fails_at.is_some() {
            return self.fails_at;
        }
        let speed = self.speed(slowdown);
        if self.kind == ClassKind::Service || speed <= 0.0 {
            return None;
        }
        let left = (self.payload.work_seconds() - self.done_seconds).max(0.0);
        let left = Duration::try_from_secs_f64(left / speed).ok()?;
        now.checked_add(left)
    }

    pub(crate) fn advance(&mut self, step: Duration, slowdown: f64) {
        self.done_seconds += step.as_secs_f64() * self.speed(slowdown);
    }

    /// Returns the event of the run's completion: finished or failed.
    pub(crate) fn completion_event(&self) -> RunCompletion {
        match (self.fails_at, self.payload.fails) {
            (Some(_), _) => RunCompletion::Failed { code: 1 },
            (None, Some(code)) => RunCompletion::Failed { code },
            (None, None) => RunCompletion::Finished {
                result: format!("done {}/{}", self.attempt.job, self.attempt.index),
            },
        }
    }

    pub(crate) fn progress_millis(&self) -> Option<u32> {
        if self.kind == ClassKind::Service {
            return None;
        }
        let work = self.payload.work_seconds().max(f64::EPSILON);
        // CAST: the value is between 0 and 1000.
        Some((self.done_seconds / work * 1000.0).clamp(0.0, 1000.0) as u32)
    }

    fn speed(&self, slowdown: f64) -> f64 {
        f64::from(self.speed_millis) / f64::from(FULL_SPEED_MILLIS) / slowdown
    }
}
