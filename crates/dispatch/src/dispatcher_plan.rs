//! Planning: which task starts on which worker next, and which runs are stopped.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    AdviceRequest,
    CrashFinding,
    Dispatcher,
    FillerEviction,
    OverdueStop,
    PolicyPart,
    RunLoss,
    RunNumber,
    StartOrder,
    StepKey,
    StepSpec,
    StepWait,
    SurplusRun,
    TaskKey,
    UnknownEnd,
    WaitCause,
    WorkerKey,
    WorkerOrder,
    dispatcher_placement::{
        Placement,
        PlacementSearch, //
    },
    job_state::JobState,
    run_state::RunPhase,
    service_snapshot::FillerProfile,
    step_rank::StepRank,
    unplaceable_demands::TaskDemand, //
};

/// The time after which an unanswered stop is sent again; doubles with each further attempt.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// The maximum number of times that the interval is doubled. A run may outlive its job by 2.5 s and
/// the time that a stop takes; the longest interval, 1.6 s, leaves room for one more lost stop.
const MAX_STOP_RETRY_DOUBLINGS: u32 = 2;
/// The margin beyond the maximum duration of a stop after which an answered stop is sent again.
const STOP_COMPLETION_MARGIN: Duration = Duration::from_millis(400);

/// The orders, requests and log entries that a plan results in.
#[derive(Debug, Default)]
pub struct PlanOutcome {
    /// Orders to send to workers.
    pub orders: Vec<WorkerOrder>,
    /// Requests to send to the advice service.
    pub advice_requests: Vec<AdviceRequest>,
    /// Decisions to evict fillers for a service's sake, to log.
    pub evictions: Vec<FillerEviction>,
    /// Runs that were lost together with their workers, to log.
    pub losses: Vec<RunLoss>,
    /// Runs that workers list and that are not needed, to log.
    pub surplus_runs: Vec<SurplusRun>,
    /// Ends of runs whose jobs are unknown, to log.
    pub unknown_ends: Vec<UnknownEnd>,
    /// Findings about crashes of workers under tasks, to log.
    pub crashes: Vec<CrashFinding>,
    /// Steps that wait although they should have started, to log.
    pub waits: Vec<StepWait>,
    /// Runs that go on although they were to be stopped some time ago, to log.
    pub overdue_stops: Vec<OverdueStop>,
}

impl Dispatcher {
    /// Decides which runs to stop and which tasks to start at `now`.
    pub fn plan(&mut self, now: Duration) -> PlanOutcome {
        self.last_plan_at = now;
        self.first_plan_at.get_or_insert(now);
        let orders = std::mem::take(&mut self.pending_orders);
        for order in &orders {
            if matches!(order, WorkerOrder::Stop { .. }) {
                self.order_window.record_stop_sent();
            }
        }
        let mut outcome = PlanOutcome {
            orders,
            advice_requests: Vec::new(),
            evictions: std::mem::take(&mut self.pending_evictions),
            losses: std::mem::take(&mut self.pending_losses),
            surplus_runs: std::mem::take(&mut self.pending_surplus_runs),
            unknown_ends: std::mem::take(&mut self.pending_unknown_ends),
            crashes: std::mem::take(&mut self.pending_crashes),
            waits: Vec::new(),
            overdue_stops: Vec::new(),
        };
        self.plan_stops(now, &mut outcome);
        outcome.overdue_stops = self.overdue_stops(now);
        self.plan_starts(now, &mut outcome);
        outcome
    }

    /// Records how late the process's own timers fire, the sign that this process is overloaded.
    pub fn report_timer_lag(&mut self, lag: Duration, now: Duration) {
        self.order_window.adjust_to_lag(lag, now);
    }

    /// Returns whether the last plan deferred starts and in-flight orders have since been answered,
    /// so that planning again is useful.
    pub fn can_resume_starts(&self) -> bool {
        self.starts_deferred && self.order_window.remaining() > 0
    }

    /// Returns whether a decided start is still valid when it is about to be sent: its job may have
    /// been cancelled in the meantime, or its worker may have begun to drain.
    pub fn is_start_still_valid(&self, start: &StartOrder) -> bool {
        let Some(job) = self.jobs.get(&start.task.job()) else {
            return false;
        };
        let Some(rule) = self.queue_rules.get(&job.queue) else {
            return false;
        };
        let worker = self.worker(start.worker);
        let run = worker.runs.get(&(start.task, start.run));
        !job.is_over()
            && run.is_some_and(|run| run.phase == RunPhase::Sent)
            && !worker.record.draining
            && self.is_recorded(worker)
            && worker.record.pool == rule.pool
            && !self.closed_domains.contains(&worker.record.domain)
            && worker.has_owner_token
            && !self.has_spent_tokens(worker)
    }

    /// Sends the pending stops that were not sent yet or are due again.
    fn plan_stops(&mut self, now: Duration, outcome: &mut PlanOutcome) {
        let stops: Vec<(WorkerKey, TaskKey, RunNumber)> =
            self.pending_stops.iter().copied().collect();
        let stop = self.settings.max_stop_duration;
        for (worker, task, run) in stops {
            let state = &mut self.workers[worker.index()];
            let silent = state.unanswered > 0;
            let Some(state) = state.runs.get_mut(&(task, run)) else {
                self.pending_stops.swap_remove(&(worker, task, run));
                continue;
            };
            let retry_after = match state.phase {
                RunPhase::Stopping(Some(_)) => stop + STOP_COMPLETION_MARGIN,
                _ => {
                    STOP_RETRY_INTERVAL
                        * 2u32.pow(
                            state
                                .stop_attempts
                                .min(MAX_STOP_RETRY_DOUBLINGS + 1)
                                .saturating_sub(1),
                        )
                }
            };
            // Stops are not repeated to a worker that does not answer lease renewals: that would
            // keep a small VM too busy to process the answers of the others.
            let is_deferred = state
                .stop_sent_at
                .is_some_and(|sent| silent || now < sent + retry_after);
            if is_deferred || self.order_window.remaining_stops() == 0 {
                continue;
            }
            self.order_window.record_stop_sent();
            state.stop_sent_at = Some(now);
            state.stop_attempts += 1;
            state.stops_in_flight += 1;
            if !state.is_stopping() {
                state.phase = RunPhase::Stopping(None);
            }
            outcome.orders.push(WorkerOrder::Stop { worker, task, run });
        }
    }

    /// Starts pending tasks by the rank of their steps, then starved fillers.
    fn plan_starts(&mut self, now: Duration, outcome: &mut PlanOutcome) {
        let settled = self.is_takeover_complete();
        if settled {
            self.settle_inherited_starts(now);
        }
        let mut ranked: Vec<(StepRank, StepKey)> = Vec::with_capacity(self.pending_steps.len());
        let mut closed = Vec::new();
        let mut held_back = Vec::new();
        for &step in &self.pending_steps {
            match self.jobs.get(&step.job) {
                Some(job) if job.is_over() => closed.push(step),
                Some(_) if self.commits.is_frozen(step.job) => closed.push(step),
                Some(job) if !settled && job.may_be_inherited(step.occurrence, step.step) => {
                    held_back.push((self.step_rank(job, step, now), step));
                }
                Some(job) => ranked.push((self.step_rank(job, step, now), step)),
                None => closed.push(step),
            }
        }
        for step in closed {
            self.pending_steps.swap_remove(&step);
        }
        for (rank, step) in held_back {
            self.explain_wait(step, &rank, WaitCause::Takeover, &mut outcome.waits, now);
        }
        ranked.sort_unstable();
        self.refresh_snapshots(now);
        self.plan_count += 1;
        self.starts_deferred = false;
        self.unplaceable.remove_expired(now);
        self.reserved_workers.clear();
        let mut starved: Vec<(Duration, StepKey)> = Vec::new();
        for (rank, step) in ranked {
            if self.order_window.remaining() == 0 {
                self.starts_deferred = true;
                return;
            }
            let missing = self.plan_step(step, now, outcome);
            if missing > 0 && !self.step_spec(step).is_some_and(|spec| spec.gang) {
                starved.extend(self.starved_since(step, now).map(|since| (since, step)));
            }
            if missing > 0 {
                let cause = match self.has_queue_rule(step) {
                    true => WaitCause::Worker,
                    false => WaitCause::Queue,
                };
                self.explain_wait(step, &rank, cause, &mut outcome.waits, now);
            }
            if missing > 0 && rank.is_urgent(now) {
                self.reserve_workers(step, missing, now);
            }
        }
        self.start_starved_fillers(starved, now, outcome);
    }

    /// Places as many pending tasks of a step as possible; returns the number left without a
    /// worker.
    fn plan_step(&mut self, step: StepKey, now: Duration, outcome: &mut PlanOutcome) -> usize {
        let Some(job) = self.jobs.get(&step.job) else {
            return 0;
        };
        let graph = Arc::clone(&job.graph);
        let Some(spec) = graph.steps.get(usize::from(step.step)) else {
            return 0;
        };
        let Some(state) = job.step(step.occurrence, step.step) else {
            return 0;
        };
        let pending: Vec<u32> = (0..)
            .zip(&state.tasks)
            .filter(|(_, task)| task.is_pending())
            .map(|(index, _)| index)
            .collect();
        if pending.is_empty() {
            self.pending_steps.swap_remove(&step);
            return 0;
        }
        let Some(rule) = self.queue_rules.get(&job.queue) else {
            return pending.len();
        };
        let pool = Arc::clone(&rule.pool);
        let advice = rule.advice;
        if advice.is_some() {
            self.request_advice(step, spec, &pool, now, outcome);
        }
        if spec.gang && pending.len() < step_task_count(&self.jobs, step) {
            return 0;
        }
        let demand = TaskDemand::new(spec, &pool, advice.is_some());
        let is_starving = self.is_starving_gang(step, &pool, now);
        let switches = self.settings.switches;
        let uses_cache = switches.has(PolicyPart::UnplaceableDemandCache) && !is_starving;
        let last_failed_plan = self
            .unplaceable
            .last_plan(&demand, now)
            .filter(|_| uses_cache);
        if last_failed_plan == Some(self.plan_count) {
            return pending.len();
        }
        let search = PlacementSearch {
            profile: self.filler_profile(spec),
            is_starving,
            shares_isolation: false,
            last_failed_plan,
            demand,
        };
        let placed = match spec.gang {
            true => self.place_gang(step, spec, &pending, search, now),
            false => self.place_tasks(step, spec, &pending, &search, now),
        };
        for placement in &placed {
            self.order_window.record_start_sent();
            let order = self.start_order(placement, &graph.payload, spec.gang);
            outcome.orders.push(WorkerOrder::Start(order));
        }
        pending.len() - placed.len()
    }

    /// Places pending tasks of a step that is no gang until no worker is found for one.
    fn place_tasks(
        &mut self,
        step: StepKey,
        spec: &StepSpec,
        pending: &[u32],
        search: &PlacementSearch,
        now: Duration,
    ) -> Vec<Placement> {
        let limit = self.order_window.remaining();
        let mut placed = Vec::with_capacity(pending.len());
        for &index in pending.iter().take(limit) {
            let task = step.task(index);
            let Some(worker) = self.find_worker(task, spec, search, now) else {
                if self.awaits_isolation(task, now) {
                    continue;
                }
                self.unplaceable
                    .insert(&search.demand, self.plan_count, now);
                break;
            };
            if !self.may_start_on(task, worker, now) {
                continue;
            }
            let run = self.next_run();
            placed.push(self.place_run(task, worker, run, spec, now));
        }
        placed
    }

    /// Returns whether the rule of a step's queue is known.
    fn has_queue_rule(&self, step: StepKey) -> bool {
        let job = self.jobs.get(&step.job);
        job.is_some_and(|job| self.queue_rules.contains_key(&job.queue))
    }

    /// Returns the known effects of a step's image on services; empty unless the step is a filler.
    pub(crate) fn filler_profile(&self, spec: &StepSpec) -> FillerProfile {
        FillerProfile::new(
            &self.interference,
            spec.image.as_ref().filter(|_| spec.filler),
        )
    }

    /// Builds the start order of a placed run and marks its job as started.
    pub(crate) fn start_order(
        &mut self,
        placement: &Placement,
        payload: &Arc<str>,
        gang: bool,
    ) -> StartOrder {
        let Placement {
            task, worker, run, ..
        } = *placement;
        self.begin_start(task, worker);
        let step = task.step;
        let mut checkpoint = None;
        let mut ticket = None;
        if let Some(job) = self.jobs.get_mut(&step.job) {
            job.started = true;
            if let Some(state) = job.step_mut(step.occurrence, step.step) {
                ticket = state.tickets.get(&worker).map(|(ticket, _)| ticket.clone());
                // All members of a gang resume from one member's checkpoint.
                let from = if gang { 0 } else { task.index as usize };
                checkpoint = match gang {
                    true => state.tasks.iter().find_map(|task| task.checkpoint.clone()),
                    false => state
                        .tasks
                        .get(from)
                        .and_then(|task| task.checkpoint.clone()),
                };
            }
        }
        StartOrder {
            worker,
            task,
            run,
            payload: Arc::clone(payload),
            checkpoint,
            ticket,
        }
    }
}

/// Returns the number of a step's tasks.
fn step_task_count(jobs: &indexmap::IndexMap<crate::JobKey, JobState>, step: StepKey) -> usize {
    jobs.get(&step.job)
        .and_then(|job| job.step(step.occurrence, step.step))
        .map_or(0, |state| state.tasks.len())
}
