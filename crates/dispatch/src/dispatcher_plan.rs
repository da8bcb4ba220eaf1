//! Planning: which task starts on which worker next, and which runs are stopped.

use std::{
    cmp::Ordering,
    sync::Arc,
    time::Duration, //
};

use crate::{
    AdviceWish,
    DecisionNote,
    Dispatcher,
    PolicyPart,
    RunNumber,
    StartOrder,
    StepKey,
    StepSpec,
    TaskKey,
    WaitNote,
    WorkerKey,
    WorkerOrder,
    dispatcher_advice::TICKET_MARGIN,
    hopeless_demand::TaskDemand,
    job_state::JobState,
    place_score::{
        PlaceScore,
        PlaceSeeker, //
    },
    run_state::{
        RunPhase,
        RunState, //
    },
    service_view::{
        FillerProfile,
        ServiceView, //
    },
    step_rank::StepRank,
    worker_state::WorkerState, //
};

/// The time after which an unanswered stop is sent again; doubles with each further attempt.
const STOP_AGAIN: Duration = Duration::from_millis(400);
/// The maximum number of times that the interval is doubled; renewals soon show when a worker is
/// back.
const MOST_DOUBLINGS: u32 = 3;
/// The margin beyond the maximum duration of a stop after which an answered stop is sent again.
const STOP_SLACK: Duration = Duration::from_millis(400);
/// The maximum number of steps for which one plan explains the wait: each explanation scans all
/// workers.
const MOST_WAITS: usize = 4;

/// The orders, requests and log entries that a plan results in.
#[derive(Debug, Default)]
pub struct PlanOutcome {
    /// Orders to send to workers.
    pub orders: Vec<WorkerOrder>,
    /// Requests to send to the advice service.
    pub advice: Vec<AdviceWish>,
    /// Decisions to log: fillers throttled or evicted for a service's sake.
    pub notes: Vec<DecisionNote>,
    /// Steps that wait although they should have started, to log.
    pub waits: Vec<WaitNote>,
}

/// The parameters by which one plan searches workers for the tasks of a step.
pub(crate) struct StepSearch {
    pub(crate) demand: TaskDemand,
    pub(crate) profile: FillerProfile,
    /// Whether the step's job has had no run for too long and accepts the least harmful worker.
    pub(crate) starves: bool,
    /// The last plan in which no worker had capacity for the demand, if that result is still valid;
    /// workers unchanged since are skipped.
    pub(crate) tried: Option<u64>,
}

impl Dispatcher {
    /// Decides which runs to stop and which tasks to start at `now`.
    pub fn plan(&mut self, now: Duration) -> PlanOutcome {
        self.planned = now;
        self.acting_since.get_or_insert(now);
        let orders = std::mem::take(&mut self.decided);
        for order in &orders {
            if matches!(order, WorkerOrder::Stop { .. }) {
                self.window.note_sent();
            }
        }
        let mut outcome = PlanOutcome {
            orders,
            advice: Vec::new(),
            notes: std::mem::take(&mut self.notes),
            waits: Vec::new(),
        };
        self.plan_stops(now, &mut outcome);
        self.plan_starts(now, &mut outcome);
        outcome
    }

    /// Records how late the process's own timers fire, the sign that this process is overloaded.
    pub fn note_lag(&mut self, lag: Duration, now: Duration) {
        self.window.note_lag(lag, now);
    }

    /// Returns whether the last plan deferred starts and in-flight orders have since been answered,
    /// so that planning again is useful.
    pub fn holds_back(&self) -> bool {
        self.held_back && self.window.room() > 0
    }

    /// Returns whether a decided start is still valid when it is about to be sent: its job may have
    /// been cancelled in the meantime, or its worker may have begun to drain.
    pub fn still_wants(&self, start: &StartOrder) -> bool {
        let Some(job) = self.jobs.get(&start.task.job()) else {
            return false;
        };
        let Some(rule) = self.rules.get(&job.queue) else {
            return false;
        };
        let worker = self.worker(start.worker);
        let run = worker.runs.get(&(start.task, start.run));
        !job.is_over()
            && run.is_some_and(|run| run.phase == RunPhase::Sent)
            && !worker.record.draining
            && worker.record.pool == rule.pool
            && !self.closed.contains(&worker.record.domain)
            && worker.fenced
    }

    fn plan_stops(&mut self, now: Duration, outcome: &mut PlanOutcome) {
        let wanted: Vec<(WorkerKey, TaskKey, RunNumber)> = self.stops.iter().copied().collect();
        let stop = self.settings.stop;
        for (worker, task, run) in wanted {
            let state = &mut self.workers[worker.place()];
            let silent = state.unanswered > 0;
            let Some(state) = state.runs.get_mut(&(task, run)) else {
                self.stops.swap_remove(&(worker, task, run));
                continue;
            };
            let again = match state.phase {
                RunPhase::Stopping(Some(_)) => stop + STOP_SLACK,
                _ => {
                    STOP_AGAIN
                        * 2u32.pow(state.stop_tries.min(MOST_DOUBLINGS + 1).saturating_sub(1))
                }
            };
            // Stops are not repeated to a worker that does not answer lease renewals: that would
            // keep a small VM too busy to process the answers of the others.
            let waits = state
                .stop_sent
                .is_some_and(|sent| silent || now < sent + again);
            if waits || self.window.room() == 0 {
                continue;
            }
            self.window.note_sent();
            state.stop_sent = Some(now);
            state.stop_tries += 1;
            if !state.is_stopping() {
                state.phase = RunPhase::Stopping(None);
            }
            outcome.orders.push(WorkerOrder::Stop { worker, task, run });
        }
    }

    fn plan_starts(&mut self, now: Duration, outcome: &mut PlanOutcome) {
        let settled = self.is_settled();
        let mut ranked: Vec<(StepRank, StepKey)> = Vec::with_capacity(self.open.len());
        let mut closed = Vec::new();
        for &step in &self.open {
            match self.jobs.get(&step.job) {
                Some(job) if job.is_over() => closed.push(step),
                Some(job) if !settled && job.inherits(step.occurrence, step.step) => {}
                Some(job) => ranked.push((self.rank(job, step, now), step)),
                None => closed.push(step),
            }
        }
        for step in closed {
            self.open.swap_remove(&step);
        }
        ranked.sort_unstable();
        self.renew_views(now);
        self.plans += 1;
        self.held_back = false;
        self.hopeless.forget(now);
        self.kept.clear();
        let mut starved: Vec<(Duration, StepKey)> = Vec::new();
        for (rank, step) in ranked {
            if self.window.room() == 0 {
                self.held_back = true;
                return;
            }
            let missing = self.plan_step(step, now, outcome);
            if missing > 0 {
                starved.extend(self.starved_since(step, now).map(|since| (since, step)));
            }
            if missing > 0 && rank.is_pressing(now) {
                if outcome.waits.len() < MOST_WAITS {
                    outcome.waits.extend(self.note_wait(step, missing, now));
                }
                self.keep_room(step, missing, now);
            }
        }
        self.start_starved(starved, now, outcome);
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
            self.open.swap_remove(&step);
            return 0;
        }
        let Some(rule) = self.rules.get(&job.queue) else {
            return 0;
        };
        let pool = Arc::clone(&rule.pool);
        let advice = rule.advice;
        if advice.is_some() {
            self.wish_advice(step, spec, &pool, now, outcome);
        }
        if spec.gang && pending.len() < state_len(&self.jobs, step) {
            return 0;
        }
        let demand = TaskDemand::new(spec, &pool, advice.is_some());
        let remembers = self.settings.switches.has(PolicyPart::HopelessDemands);
        let tried = self.hopeless.last_plan(&demand, now).filter(|_| remembers);
        if tried == Some(self.plans) {
            return pending.len();
        }
        let gang_run = spec.gang.then(|| self.next_run());
        let search = StepSearch {
            profile: self.filler_profile(spec),
            starves: false,
            tried,
            demand,
        };
        let mut placed: Vec<(u32, WorkerKey, RunNumber)> = Vec::with_capacity(pending.len());
        let room = match spec.gang {
            true => pending.len(),
            false => self.window.room(),
        };
        for &index in pending.iter().take(room) {
            let found = self.find_place(step.task(index), spec, &search, now);
            let Some(worker) = found else {
                // If a gang's later member fits nowhere, that proves nothing: the members placed
                // before it hold capacity that is given back below.
                if !spec.gang || placed.is_empty() {
                    self.hopeless.note(&search.demand, self.plans, now);
                }
                break;
            };
            let run = gang_run.unwrap_or_else(|| self.next_run());
            self.place(step.task(index), worker, run, spec, now);
            placed.push((index, worker, run));
        }
        if spec.gang && placed.len() < pending.len() {
            for (index, worker, run) in placed {
                self.take_back(step.task(index), worker, run, now);
            }
            return pending.len();
        }
        let missing = pending.len() - placed.len();
        for (index, worker, run) in placed {
            self.window.note_sent();
            let order = self.start_order(step.task(index), worker, run, &graph.payload, spec.gang);
            outcome.orders.push(WorkerOrder::Start(order));
        }
        missing
    }

    /// Returns the known effects of a step's image on services; empty unless the step is a filler.
    pub(crate) fn filler_profile(&self, spec: &StepSpec) -> FillerProfile {
        FillerProfile::new(&self.harm, spec.image.as_ref().filter(|_| spec.filler))
    }

    /// Builds the start order of a placed run and marks its job as started.
    pub(crate) fn start_order(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        run: RunNumber,
        payload: &Arc<str>,
        gang: bool,
    ) -> StartOrder {
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

    /// Reserves a run's capacity on its worker and attaches the run to its task.
    pub(crate) fn place(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        run: RunNumber,
        spec: &StepSpec,
        now: Duration,
    ) {
        let rack = self.worker(worker).record.rack().cloned();
        let state = RunState::new(task, spec, RunPhase::Sent, now);
        let held = self.worker_mut(worker);
        held.add(run, state);
        self.workers[worker.place()].view = ServiceView::new(self.worker(worker), &self.harm, now);
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step_state) = job.step_mut(step.occurrence, step.step)
        {
            step_state.note_placed(worker);
            if step_state.rack.is_none() {
                step_state.rack = rack;
            }
            if let Some(state) = step_state.tasks.get_mut(task.index as usize) {
                state.runs.push((worker, run));
                job.note_run();
            }
        }
    }

    /// Undoes the placement of a run whose start was not sent.
    fn take_back(&mut self, task: TaskKey, worker: WorkerKey, run: RunNumber, now: Duration) {
        self.worker_mut(worker).drop_run(task, run, now);
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step_state) = job.step_mut(step.occurrence, step.step)
        {
            step_state.note_left(worker);
            step_state.rack = None;
            if let Some(state) = step_state.tasks.get_mut(task.index as usize) {
                state.runs.retain(|&held| held != (worker, run));
                job.note_run_over(now);
            }
        }
    }

    /// Returns the worker with the best score for a task, or `None` if no worker qualifies.
    pub(crate) fn find_place(
        &self,
        task: TaskKey,
        spec: &StepSpec,
        search: &StepSearch,
        now: Duration,
    ) -> Option<WorkerKey> {
        let step = task.step;
        let demand = &search.demand;
        let state = self.jobs.get(&step.job)?.step(step.occurrence, step.step)?;
        let failed_on = state.tasks.get(task.index as usize)?.failed_on;
        let seeker = PlaceSeeker {
            step_rack: state.rack.as_ref(),
            starves: search.starves,
            ..self.seeker(spec, &search.profile, now)
        };
        let mut best: Option<(PlaceScore, WorkerKey)> = None;
        for (place, worker) in self.workers.iter().enumerate() {
            if search.tried.is_some_and(|plan| worker.changed < plan) {
                continue;
            }
            let fits = demand.reserved.fits_in(worker.free());
            if !fits || !self.is_usable(worker, &demand.pool, now) {
                continue;
            }
            let key = WorkerKey::new(place);
            if !spec.filler && self.kept.contains(&key) {
                continue;
            }
            if !fits_labels(worker, spec) {
                continue;
            }
            if state.is_crowded(key, spec) {
                continue;
            }
            if demand.ticketed && !holds_ticket(state.tickets.get(&key), now) {
                continue;
            }
            let trusted = failed_on != Some(key) && !worker.health.is_doubtful(now);
            let score = PlaceScore::new(worker, seeker, trusted);
            let Ok(score) = score else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(known, _)| score.cmp(known) == Ordering::Greater)
            {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the request by which workers are scored for a step.
    pub(crate) fn seeker<'a>(
        &'a self,
        spec: &'a StepSpec,
        profile: &'a FillerProfile,
        now: Duration,
    ) -> PlaceSeeker<'a> {
        PlaceSeeker {
            spec,
            step_rack: None,
            harm: &self.harm,
            profile,
            starves: false,
            switches: self.settings.switches,
            now,
        }
    }

    /// Returns whether tasks of a pool may be started on a worker.
    pub(crate) fn is_usable(&self, worker: &WorkerState, pool: &Arc<str>, now: Duration) -> bool {
        // Runs placed before the quarantine do not count as its probe: a service's run would never
        // end.
        let probes = worker
            .health
            .on_probation_since()
            .is_some_and(|since| worker.runs.values().any(|run| run.placed >= since));
        worker.listed
            && worker.fenced
            && worker.unanswered == 0
            && worker.clock.is_known()
            && !worker.record.draining
            && !worker.upkeep
            && worker.record.pool == *pool
            && !self.closed.contains(&worker.record.domain)
            && !(self.settings.switches.has(PolicyPart::WorkerRests)
                && (worker.health.rests(now) || probes))
    }
}

fn state_len(jobs: &indexmap::IndexMap<crate::JobKey, JobState>, step: StepKey) -> usize {
    jobs.get(&step.job)
        .and_then(|job| job.step(step.occurrence, step.step))
        .map_or(0, |state| state.tasks.len())
}

/// Returns whether a ticket is still valid for long enough to start a run with it.
fn holds_ticket(ticket: Option<&(Arc<str>, Duration)>, now: Duration) -> bool {
    ticket.is_some_and(|(_, until)| now + TICKET_MARGIN < *until)
}

/// Returns whether a worker has the label that a step requires.
pub(crate) fn fits_labels(worker: &WorkerState, spec: &StepSpec) -> bool {
    spec.label
        .as_ref()
        .is_none_or(|label| worker.record.labels.contains(label))
}
