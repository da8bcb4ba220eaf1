//! The state of a run that a shard's owner tracks.

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
    stop_request::StopRequest, //
};

/// The state of a run (one attempt of a task) that a shard's owner tracks. It is not stored: a new
/// owner asks the workers for it.
#[derive(Clone, Debug)]
pub(crate) struct TaskRun {
    pub(crate) attempt: u32,
    pub(crate) worker: WorkerKey,
    pub(crate) class: ClassKey,
    pub(crate) kind: ClassKind,
    pub(crate) phase: RunPhase,
    /// Whether a start may have reached the worker.
    pub(crate) maybe_started: bool,
    /// The strongest request to end the run.
    pub(crate) stop_request: StopRequest,
    /// Capacity that the pool counts for the run: the reservation, or the measured use if that is
    /// larger.
    pub(crate) reservation: ResourceAmount,
    /// Last measured use; zero before the first measurement.
    pub(crate) used: ResourceAmount,
    /// Time since which the run is known to run; zero if it was never seen running.
    pub(crate) running_since: Duration,
    /// Speed that the throttle allows, in thousandths of full speed.
    pub(crate) speed_millis: u32,
    /// Earliest time of the next checkpoint attempt after a failed one.
    pub(crate) checkpoint_not_before: Duration,
    /// Whether capacity is reserved for the run; not for a waiting pre-committed one.
    pub(crate) holds_capacity: bool,
    /// Whether the run was committed before its worker had free capacity.
    pub(crate) precommitted: bool,
    /// Latest start of a pre-committed run; zero for other runs.
    pub(crate) latest_start: LatestStart,
    /// The worker on which capacity is reserved while this run of a service is stopped to move
    /// there.
    pub(crate) move_target: Option<WorkerKey>,
}

impl TaskRun {
    pub(crate) fn new(
        attempt: u32,
        worker: WorkerKey,
        class: ClassKey,
        kind: ClassKind,
        reservation: ResourceAmount,
    ) -> Self {
        Self {
            attempt,
            worker,
            class,
            kind,
            phase: RunPhase::Committing,
            maybe_started: false,
            stop_request: StopRequest::Continue,
            reservation,
            used: ResourceAmount::default(),
            running_since: Duration::ZERO,
            speed_millis: 1000,
            checkpoint_not_before: Duration::ZERO,
            holds_capacity: true,
            precommitted: false,
            latest_start: LatestStart(0),
            move_target: None,
        }
    }

    /// Returns whether the worker runs this run, or may be running it.
    pub(crate) fn is_running(&self) -> bool {
        match self.phase {
            RunPhase::Committing
            | RunPhase::Precommitted
            | RunPhase::ReadyToStart
            | RunPhase::Starting => false,
            RunPhase::Unverified
            | RunPhase::Unconfirmed { .. }
            | RunPhase::Running
            | RunPhase::Stopping
            | RunPhase::AwaitingOutcome { .. } => true,
        }
    }
}
