//! A run as the shard's owner follows it.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    ResourceAmount, //
};
use jasminebend_placement::{
    ClassKey,
    LatestStart,
    WorkerKey, //
};

use crate::{
    run_phase::RunPhase,
    stop_wish::StopWish, //
};

/// A run as the shard's owner follows it. What is known here is lost with the owner; its successor
/// learns it from the workers.
#[derive(Clone, Debug)]
pub(crate) struct TaskRun {
    pub(crate) attempt: u32,
    pub(crate) worker: WorkerKey,
    pub(crate) class: ClassKey,
    pub(crate) kind: ClassKind,
    pub(crate) phase: RunPhase,
    /// Whether a start may have reached the worker.
    pub(crate) maybe_started: bool,
    pub(crate) wish: StopWish,
    /// What the pool counts for it: what was set aside, or what was measured if more.
    pub(crate) counted: ResourceAmount,
    pub(crate) used: ResourceAmount,
    pub(crate) since: Duration,
    /// The share of its speed that a throttle leaves it, in thousandths.
    pub(crate) speed_millis: u32,
    /// When a refused checkpoint may be asked for again.
    pub(crate) not_before: Duration,
    /// Whether its room is set aside; not for a run that was committed ahead.
    pub(crate) holds_room: bool,
    /// Whether it was committed ahead, to start once there is room.
    pub(crate) ahead: bool,
    /// Its latest start, if it was committed ahead.
    pub(crate) latest: LatestStart,
    /// The place that is kept for it while it leaves its worker; for services.
    pub(crate) moving_to: Option<WorkerKey>,
}

impl TaskRun {
    pub(crate) fn new(
        attempt: u32,
        worker: WorkerKey,
        class: ClassKey,
        kind: ClassKind,
        counted: ResourceAmount,
    ) -> Self {
        Self {
            attempt,
            worker,
            class,
            kind,
            phase: RunPhase::Committing,
            maybe_started: false,
            wish: StopWish::Keep,
            counted,
            used: ResourceAmount::default(),
            since: Duration::ZERO,
            speed_millis: 1000,
            not_before: Duration::ZERO,
            holds_room: true,
            ahead: false,
            latest: LatestStart(0),
            moving_to: None,
        }
    }

    /// Tells whether its worker is known, or believed, to run it.
    pub(crate) fn is_running(&self) -> bool {
        match self.phase {
            RunPhase::Committing | RunPhase::Ahead | RunPhase::ToStart | RunPhase::Starting => {
                false
            }
            RunPhase::Unheard
            | RunPhase::Unconfirmed { .. }
            | RunPhase::Running
            | RunPhase::Stopping
            | RunPhase::Settling { .. } => true,
        }
    }
}
