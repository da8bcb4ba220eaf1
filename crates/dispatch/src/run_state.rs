//! The owner's view of a run.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::ResourceAmount;

use crate::{
    StepSpec,
    TaskKey,
    WorkKind,
    crash_history::EARLY_CRASH_WINDOW,
    load_estimate::LoadEstimate, //
};

/// The least time without progress after which a run counts as stuck.
const STUCK_TASK_TIMEOUT: Duration = Duration::from_millis(1000);
/// The divisor of the task's estimate for this time where that is longer. Progress is reported in hundredths, so that a task may
/// take ten times its estimate.
const STUCK_ESTIMATE_DIVISOR: u32 = 10;

/// Phase of a run as far as the owner knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunPhase {
    /// The start was sent; no answer has come yet.
    Sent,
    /// The start got no answer: the run may be executing, or begin later.
    Unsure,
    /// The worker confirmed at this time that the run is executing.
    Running(Duration),
    /// The run was ordered to stop. The worker first confirmed the order at this time, if it has.
    Stopping(Option<Duration>),
}

/// The owner's view of a run. Its capacity stays reserved until the worker can no longer execute
/// it.
#[derive(Clone, Debug)]
pub(crate) struct RunState {
    pub(crate) task: TaskKey,
    pub(crate) phase: RunPhase,
    /// Whether the outcome of the start is not known yet.
    pub(crate) is_start_under_way: bool,
    pub(crate) kind: WorkKind,
    /// The capacity that the run reserves.
    pub(crate) reserved: ResourceAmount,
    /// The CPU that a filler declares to use beside the reserved CPU, in millicores; 0 for other
    /// runs.
    pub(crate) filler_cpu: u64,
    /// The run's image; tasks of one image are assumed to behave alike.
    pub(crate) image: Option<Arc<str>>,
    /// The target of the tail latency, if the run serves requests.
    pub(crate) target: Option<Duration>,
    /// When the run was placed on its worker.
    pub(crate) placed_at: Duration,
    /// When the worker last listed the run; `None` if it has not yet.
    pub(crate) last_listed_at: Option<Duration>,
    /// Whether the worker has certainly begun to execute the run.
    pub(crate) has_begun: bool,
    /// Whether the worker listed the run when no renewal of a former owner could wait there any more, so that only this owner
    /// hears of its end.
    pub(crate) is_heard_alone: bool,
    /// Whether a former owner started the run, so that its age is unknown.
    pub(crate) is_adopted: bool,
    /// Whether crashes are on record for the task, which the run may refute.
    pub(crate) may_clear_crashes: bool,
    /// Whether the worker has restarted since it last listed the run.
    pub(crate) is_orphaned: bool,
    /// The progress last reported, in percent.
    pub(crate) percent: u32,
    /// When `percent` last changed.
    pub(crate) last_progress_at: Duration,
    /// The time without progress after which the run counts as stuck.
    pub(crate) stuck_after: Duration,
    /// The metric last reported: for services the tail latency in milliseconds, for others the CPU
    /// used in millicores.
    pub(crate) metric: Option<u64>,
    /// The estimated load without fillers, if the run serves requests.
    pub(crate) load: Option<LoadEstimate>,
    /// The throttle factor last ordered, in percent; 100 is unthrottled, `u32::MAX` unknown.
    pub(crate) throttle_percent: u32,
    /// Until when a throttle order without an answer may still take effect, after later ones; `None` if there is none.
    pub(crate) throttle_uncertain_until: Option<Duration>,
    /// When a stop was first planned.
    pub(crate) stop_requested_at: Option<Duration>,
    /// When the stop was last logged as overdue.
    pub(crate) stop_reported_at: Option<Duration>,
    /// When a stop was last sent.
    pub(crate) stop_sent_at: Option<Duration>,
    /// The number of stops sent.
    pub(crate) stop_attempts: u32,
    /// The number of stops whose outcome is not known.
    pub(crate) stops_in_flight: u32,
    /// The number of these that were sent before a restart of the worker was known.
    pub(crate) former_stops: u32,
}

impl RunState {
    /// Creates the state of a new run of a step's task.
    pub(crate) fn new(task: TaskKey, spec: &StepSpec, phase: RunPhase, now: Duration) -> Self {
        Self {
            task,
            phase,
            is_start_under_way: phase == RunPhase::Sent,
            kind: spec.kind(),
            reserved: spec.reserved(),
            filler_cpu: if spec.filler { spec.size.cpu_millis } else { 0 },
            image: spec.image.clone(),
            target: spec.tail_target,
            placed_at: now,
            last_listed_at: None,
            has_begun: false,
            is_heard_alone: false,
            is_adopted: false,
            may_clear_crashes: false,
            is_orphaned: false,
            percent: 0,
            last_progress_at: now,
            stuck_after: STUCK_TASK_TIMEOUT.max(spec.estimate / STUCK_ESTIMATE_DIVISOR),
            metric: None,
            load: None,
            throttle_percent: 100,
            throttle_uncertain_until: None,
            stop_requested_at: None,
            stop_reported_at: None,
            stop_sent_at: None,
            stop_attempts: 0,
            stops_in_flight: 0,
            former_stops: 0,
        }
    }

    /// Returns the CPU that the run reserves, in millicores, if it serves requests, else 0.
    pub(crate) fn service_cpu(&self) -> u64 {
        self.target.map_or(0, |_| self.reserved.cpu_millis)
    }

    /// Returns the CPU that the run reserves, in millicores, if its task is long-running, else 0.
    pub(crate) fn long_running_cpu(&self) -> u64 {
        match self.kind {
            WorkKind::LongRunning => self.reserved.cpu_millis,
            WorkKind::Short | WorkKind::Filler => 0,
        }
    }

    /// Returns whether the worker has not yet listed the run for so long that the run's start can't
    /// have crashed it.
    pub(crate) fn is_early(&self) -> bool {
        let listed_for = self
            .last_listed_at
            .map_or(Duration::ZERO, |at| at.saturating_sub(self.placed_at));
        !self.is_adopted && listed_for < EARLY_CRASH_WINDOW
    }

    /// Returns whether the worker certainly began to execute the run, and was not ordered to stop it.
    pub(crate) fn has_certainly_begun(&self) -> bool {
        self.has_begun && !self.is_stopping()
    }

    /// Returns whether the run was ordered to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping(_))
    }

    /// Returns whether the worker confirmed the order to stop the run, which as far as is known has not begun.
    pub(crate) fn was_stopped_unbegun(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping(Some(_))) && !self.has_begun
    }

    /// Records the outcome of a stop; returns whether the stop was sent before a restart of the worker was known, so that
    /// a former incarnation may have answered.
    pub(crate) fn record_stop_outcome(&mut self) -> bool {
        self.stops_in_flight = self.stops_in_flight.saturating_sub(1);
        let is_former = self.former_stops > 0;
        self.former_stops = self.former_stops.saturating_sub(1);
        is_former
    }

    /// Records that the worker confirmed at `now` that the run was ordered to stop. Only the first confirmation counts:
    /// with the time of a repeated one, a report that takes longer than the repetition could never show that the run is
    /// gone.
    pub(crate) fn confirm_stop(&mut self, now: Duration) {
        if !matches!(self.phase, RunPhase::Stopping(Some(_))) {
            self.phase = RunPhase::Stopping(Some(now));
        }
    }

    /// Records that the worker has restarted. Its new incarnation does not know of a stop, and would still execute a start
    /// that is under way.
    pub(crate) fn forget_stop(&mut self) {
        if self.is_stopping() && !self.has_begun {
            self.phase = RunPhase::Stopping(None);
            self.former_stops = self.stops_in_flight;
        }
    }

    /// Returns whether the worker has confirmed that the run is executing.
    pub(crate) fn is_confirmed(&self) -> bool {
        matches!(self.phase, RunPhase::Running(_))
    }

    pub(crate) fn is_filler(&self) -> bool {
        self.filler_cpu > 0
    }
}
