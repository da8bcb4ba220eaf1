//! Explanations, for the log, of why steps wait and which stops are overdue.

use std::time::Duration;

use crate::{
    Dispatcher,
    OverdueStop,
    RejectionCounts,
    StepKey,
    StepWait,
    StopDelay,
    WaitCause,
    WorkerKey,
    dispatcher_placement::fits_labels,
    job_state::StepState,
    placement_score::{
        PlacementContext,
        PlacementRejection,
        PlacementScore, //
    },
    run_state::{
        RunPhase,
        RunState, //
    },
    service_snapshot::FillerProfile,
    step_rank::StepRank,
    worker_state::WorkerState, //
};

/// The minimum interval between two explanations of why the same step waits, or of the same overdue
/// stop.
const EXPLANATION_INTERVAL: Duration = Duration::from_millis(2000);
/// The interval for the steps of expired jobs: on a full pool there are many of these.
const EXPIRED_EXPLANATION_INTERVAL: Duration = Duration::from_secs(10);
/// The time without a confirmed end after which a stop counts as overdue.
const OVERDUE_STOP_TIME: Duration = Duration::from_millis(2000);
/// The maximum number of steps for which one plan explains the wait: each explanation scans all
/// workers.
const MAX_EXPLANATIONS_PER_PLAN: usize = 4;

impl Dispatcher {
    /// Adds to `waits` why a step waits that should have started, unless that was explained a short
    /// time ago.
    pub(crate) fn explain_wait(
        &mut self,
        step: StepKey,
        rank: &StepRank,
        cause: WaitCause,
        waits: &mut Vec<StepWait>,
        now: Duration,
    ) {
        let interval = match (rank.is_urgent(now), rank.is_expired()) {
            (true, _) => EXPLANATION_INTERVAL,
            (false, true) => EXPIRED_EXPLANATION_INTERVAL,
            (false, false) => return,
        };
        let job = self.jobs.get_mut(&step.job);
        let state = job.and_then(|job| job.step_mut(step.occurrence, step.step));
        let Some(state) = state.filter(|_| waits.len() < MAX_EXPLANATIONS_PER_PLAN) else {
            return;
        };
        let is_recent = |explained: Duration| now < explained + interval;
        if state.wait_explained_at.is_some_and(is_recent) {
            return;
        }
        state.wait_explained_at = Some(now);
        let missing_tasks = state.tasks.iter().filter(|task| task.is_pending()).count();
        let rejections = match cause {
            WaitCause::Worker => self.count_rejections(step, now),
            WaitCause::Takeover | WaitCause::Queue => None,
        };
        waits.push(StepWait {
            step,
            cause,
            missing_tasks,
            rejections: rejections.unwrap_or_default(),
        });
    }

    /// Returns the stops whose runs should have ended by now, unless they were returned a short time
    /// ago.
    pub(crate) fn overdue_stops(&mut self, now: Duration) -> Vec<OverdueStop> {
        let has_free_orders = self.order_window.remaining_stops() > 0;
        let mut overdue = Vec::new();
        for &(worker, task, run) in &self.pending_stops {
            let state = &mut self.workers[worker.index()];
            let is_silent = state.unanswered > 0;
            let last_answer_at = state.last_answer_at;
            let Some(run_state) = state.runs.get_mut(&(task, run)) else {
                continue;
            };
            let requested_at = *run_state.stop_requested_at.get_or_insert(now);
            let reported_at = run_state.stop_reported_at;
            let is_due = now >= requested_at + OVERDUE_STOP_TIME
                && reported_at.is_none_or(|at| now >= at + EXPLANATION_INTERVAL);
            if !is_due {
                continue;
            }
            run_state.stop_reported_at = Some(now);
            overdue.push(OverdueStop {
                worker,
                task,
                run,
                requested_at,
                attempts: run_state.stop_attempts,
                delay: match is_silent {
                    true => StopDelay::SilentWorker,
                    false => stop_delay(run_state, last_answer_at, has_free_orders),
                },
            });
        }
        overdue
    }

    /// Returns the number of runs that were ordered to stop and have not ended.
    pub fn pending_stop_count(&self) -> usize {
        self.pending_stops.len()
    }

    /// Returns the numbers of orders in flight and of orders that may be.
    pub fn order_usage(&self) -> (usize, usize) {
        self.order_window.usage()
    }

    /// Returns the number of a job's current runs.
    pub fn job_run_count(&self, key: crate::JobKey) -> u32 {
        self.jobs.get(&key).map_or(0, |job| job.run_count)
    }

    /// Counts the workers that are rejected for the first pending task of a step, by reason.
    fn count_rejections(&self, step: StepKey, now: Duration) -> Option<RejectionCounts> {
        let job = self.jobs.get(&step.job)?;
        let spec = self.step_spec(step)?;
        let pool = &self.queue_rules.get(&job.queue)?.pool;
        let state = job.step(step.occurrence, step.step)?;
        let profile = FillerProfile::new(&self.interference, spec.image.as_ref());
        let context = self.placement_context(spec, &profile, now);
        let mut rejections = RejectionCounts::default();
        for (index, worker) in self.workers.iter().enumerate() {
            let key = WorkerKey::new(index);
            let is_unsuitable = worker.record.pool != *pool
                || !fits_labels(worker, spec)
                || state.is_at_spread_limit(key, spec);
            let size = spec.reserved();
            let free = worker.free_capacity();
            let reason = match () {
                () if is_unsuitable => &mut rejections.unsuitable,
                () if self.is_leaving(worker) => &mut rejections.leaving,
                () if is_unanswered(worker) => &mut rejections.unanswered,
                () if !self.is_recorded(worker) => &mut rejections.unrecorded,
                () if !self.is_usable(worker, pool, now) => &mut rejections.quarantined,
                () if size.cpu_millis > free.cpu_millis => &mut rejections.processors,
                () if !size.fits_in(free) => &mut rejections.memory,
                () if !spec.filler && self.reserved_workers.contains(&key) => {
                    &mut rejections.reserved
                }
                () if is_isolated(worker, state, step, now) => &mut rejections.isolated,
                () => score_rejection(worker, context, &mut rejections),
            };
            *reason += 1;
        }
        Some(rejections)
    }

    fn is_leaving(&self, worker: &WorkerState) -> bool {
        !worker.listed
            || worker.record.draining
            || worker.in_maintenance
            || self.closed_domains.contains(&worker.record.domain)
    }
}

fn is_unanswered(worker: &WorkerState) -> bool {
    !worker.has_owner_token || worker.unanswered > 0 || !worker.clock.is_known()
}

/// Returns whether isolation keeps a step's first pending task from a worker.
fn is_isolated(worker: &WorkerState, state: &StepState, step: StepKey, now: Duration) -> bool {
    let mut tasks = (0..).zip(&state.tasks);
    tasks
        .find(|(_, task)| task.is_pending())
        .is_some_and(|(index, task)| {
            worker.isolated_suspect(step.task(index), now).is_some()
                || task.crashes.needs_isolation(now) && !worker.can_isolate(now)
        })
}

fn score_rejection<'a>(
    worker: &WorkerState,
    context: PlacementContext<'_>,
    rejections: &'a mut RejectionCounts,
) -> &'a mut usize {
    match PlacementScore::new(worker, context, true) {
        Err(PlacementRejection::Busy) => &mut rejections.busy,
        Err(PlacementRejection::Shielded) => &mut rejections.shielded,
        Err(PlacementRejection::Learning) => &mut rejections.learning,
        Err(PlacementRejection::Harm) => &mut rejections.interference,
        Ok(_) => &mut rejections.other,
    }
}

/// Returns why a run on a worker that last answered at `last_answer_at` has not ended although it was to be stopped.
fn stop_delay(
    run: &RunState,
    last_answer_at: Option<Duration>,
    has_free_orders: bool,
) -> StopDelay {
    let is_listed = run.last_listed_at.is_some() && run.last_listed_at == last_answer_at;
    match run.phase {
        RunPhase::Stopping(Some(_)) if is_listed => StopDelay::Ending,
        RunPhase::Stopping(Some(_)) => StopDelay::Unlisted,
        _ if run.stop_attempts == 0 && !has_free_orders => StopDelay::OrderLimit,
        _ => StopDelay::Unanswered,
    }
}
