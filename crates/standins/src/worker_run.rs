//! A run in progress on a stand-in worker.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ClassName,
    ResourceAmount, //
};
use jasminebend_ports::{
    TaskAttempt,
    TaskEvent,
    TaskOrder,
    WorkerTask, //
};

use crate::TaskPayload;

pub(crate) const FULL_SPEED: u32 = 1000;

/// A run in progress on a stand-in worker.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRun {
    pub(crate) attempt: TaskAttempt,
    pub(crate) class: ClassName,
    pub(crate) kind: ClassKind,
    pub(crate) reserved: ResourceAmount,
    pub(crate) payload: TaskPayload,
    pub(crate) speed_millis: u32,
    /// The work done, in seconds of a run alone and unthrottled.
    pub(crate) done_seconds: f64,
    /// When it fails, on a worker that fails every task.
    pub(crate) doomed: Option<Duration>,
    pub(crate) measured: Duration,
    pub(crate) ledger_place: usize,
}

impl WorkerRun {
    pub(crate) fn new(order: &TaskOrder, now: Duration, done_seconds: f64, place: usize) -> Self {
        Self {
            attempt: order.attempt,
            class: order.class.clone(),
            kind: order.kind,
            reserved: order.reserved,
            payload: TaskPayload::from_text(&order.payload),
            speed_millis: FULL_SPEED,
            done_seconds,
            doomed: None,
            measured: now,
            ledger_place: place,
        }
    }

    pub(crate) fn with_doom(mut self, doomed: Option<Duration>) -> Self {
        self.doomed = doomed;
        self
    }

    pub(crate) fn to_task(&self, ended: Option<TaskEvent>) -> WorkerTask {
        WorkerTask {
            attempt: self.attempt,
            class: self.class.clone(),
            reserved: self.reserved,
            speed_millis: self.speed_millis,
            ended,
        }
    }

    /// Returns when the run ends by itself at this slowdown, given the work done at `now`.
    pub(crate) fn ends_at(&self, now: Duration, slowdown: f64) -> Option<Duration> {
        if self.doomed.is_some() {
            return self.doomed;
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

    /// Returns how the run ends by itself.
    pub(crate) fn own_end(&self) -> TaskEvent {
        match (self.doomed, self.payload.fails) {
            (Some(_), _) => TaskEvent::Failed { code: 1 },
            (None, Some(code)) => TaskEvent::Failed { code },
            (None, None) => TaskEvent::Finished {
                result: format!("done {}/{}", self.attempt.job, self.attempt.index),
            },
        }
    }

    pub(crate) fn progress_millis(&self) -> Option<u32> {
        if self.kind == ClassKind::Service {
            return None;
        }
        let work = self.payload.work_seconds().max(f64::EPSILON);
        // CAST: the share is between 0 and 1000.
        Some((self.done_seconds / work * 1000.0).clamp(0.0, 1000.0) as u32)
    }

    fn speed(&self, slowdown: f64) -> f64 {
        f64::from(self.speed_millis) / f64::from(FULL_SPEED) / slowdown
    }
}
