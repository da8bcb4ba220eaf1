//! What the dispatcher decides: which task goes where next.

use std::{
    cmp::Ordering,
    sync::Arc,
    time::Duration, //
};

use crate::{
    AdviceWish,
    DecisionNote,
    Dispatcher,
    RunNumber,
    StartOrder,
    StepKey,
    StepSpec,
    TaskKey,
    WaitNote,
    WorkerKey,
    WorkerOrder,
    hopeless_demand::TaskDemand,
    job_state::JobState,
    place_score::PlaceScore,
    run_state::{
        RunPhase,
        RunState, //
    },
    worker_state::WorkerState, //
};

/// After how long a stop that got no answer is sent again; each further time after twice as long.
const STOP_AGAIN: Duration = Duration::from_millis(400);
/// How often that time is doubled at the most: a worker that is back is heard by its renewals.
const MOST_DOUBLINGS: u32 = 3;
/// How long after its longest time a stop that was answered is sent again.
const STOP_SLACK: Duration = Duration::from_millis(400);
/// After how long advice that did not come is asked for again.
const ADVICE_AGAIN: Duration = Duration::from_millis(1500);
/// How many workers advice is asked about at a time.
const ADVICE_WORKERS: usize = 30;
/// How long a ticket must still hold when a start is sent with it: the start takes a moment.
const TICKET_MARGIN: Duration = Duration::from_millis(300);
/// For how many steps a plan notes why they wait: each is a look at all workers.
const MOST_WAITS: usize = 4;
/// How many times its objective a job may take until nobody waits for it any more; from the users'
/// pages.
const HOPELESS: f64 = 3.0;
/// After how long what lasts comes before what comes and goes: the users allow 6 s without a run. Earlier, quotes lose
/// by it (0.67 to 0.51 of their worth on full pools) and services win nothing.
const LASTING_WAIT: Duration = Duration::from_millis(5000);
/// How long before a step's latest start room begins to be kept for it: what runs there ends within about that time.
const PRESSING: Duration = Duration::from_millis(1000);

/// What a plan asks for.
#[derive(Debug, Default)]
pub struct PlanOutcome {
    /// Orders to workers.
    pub orders: Vec<WorkerOrder>,
    /// Advice to ask for.
    pub advice: Vec<AdviceWish>,
    /// What was decided beside them.
    pub notes: Vec<DecisionNote>,
    /// Steps that wait although they should have started.
    pub waits: Vec<WaitNote>,
}

/// The rank of a step: the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct StepRank {
    priority: u32,
    lateness: Lateness,
    /// Whether nothing of the job has started: what is begun is finished first.
    fresh: bool,
    latest_start: Duration,
}

/// Whether a job can still be in time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Lateness {
    /// It can be in time.
    InTime,
    /// It will be late.
    Late,
    /// Nobody waits for it any more.
    Hopeless,
}

impl StepRank {
    /// Tells whether a step should start soon, and is not given up.
    fn is_pressing(&self, now: Duration) -> bool {
        self.latest_start <= now + PRESSING && self.lateness != Lateness::Hopeless
    }
}

impl Dispatcher {
    /// Decides what to do at `now`.
    pub fn plan(&mut self, now: Duration) -> PlanOutcome {
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

    /// Takes note of how late the process's own timers are: by them it knows that it has more to do than it can.
    pub fn note_lag(&mut self, lag: Duration, now: Duration) {
        self.window.note_lag(lag, now);
    }

    /// Tells whether starts were held back until orders that are under way are answered.
    pub fn holds_back(&self) -> bool {
        self.held_back && self.window.room() > 0
    }

    /// Tells whether the start of a run is still wanted: between its decision and its sending its job may have been
    /// cancelled, or its worker may have begun to leave.
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

    /// Takes in tickets for the tasks of a step; those that are not named may not run it.
    pub fn advice_answered(
        &mut self,
        step: StepKey,
        tickets: Vec<(Arc<str>, Arc<str>)>,
        until: Duration,
    ) {
        let keyed: Vec<(WorkerKey, Arc<str>)> = tickets
            .into_iter()
            .filter_map(|(id, ticket)| Some((self.worker_key(&id)?, ticket)))
            .collect();
        if let Some(state) = self.jobs.get_mut(&step.job)
            && let Some(state) = state.step_mut(step.occurrence, step.step)
        {
            for (key, ticket) in keyed {
                state.tickets.insert(key, (ticket, until));
            }
        }
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
            // Who does not answer its renewals is not asked again and again: that would keep a small VM too busy to
            // hear the others.
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
        self.plans += 1;
        self.held_back = false;
        self.hopeless.forget(now);
        self.kept.clear();
        for (rank, step) in ranked {
            if self.window.room() == 0 {
                self.held_back = true;
                return;
            }
            let missing = self.plan_step(step, now, outcome);
            if missing > 0 && rank.is_pressing(now) {
                if outcome.waits.len() < MOST_WAITS {
                    outcome.waits.extend(self.note_wait(step, missing, now));
                }
                self.keep_room(step, missing, now);
            }
        }
    }

    fn rank(&self, job: &JobState, step: StepKey, now: Duration) -> StepRank {
        let rule = self.rules.get(&job.queue);
        let priority = rule.map_or(u32::MAX, |rule| rule.priority);
        if job.graph.lasts() {
            let waiting = job.waits_since(step.occurrence, step.step);
            let starves = now >= waiting + LASTING_WAIT;
            // What stays for good waits behind what comes and goes: it would fill the pool, and keep out all else.
            // It does not wait for long: its own callers do without it.
            return StepRank {
                priority,
                lateness: Lateness::InTime,
                fresh: !starves,
                latest_start: if starves { waiting } else { Duration::MAX },
            };
        }
        let longest = job.chains.iter().max().copied().unwrap_or_default();
        let objective = rule.map_or(longest, |rule| {
            longest.mul_f64(rule.stretch.max(1.0)) + rule.allowance
        });
        let begun = job.graph.schedule.map_or(job.accepted, |schedule| {
            let due = schedule.due(step.occurrence);
            due.saturating_sub(self.clock_origin)
        });
        let left = job
            .chains
            .get(usize::from(step.step))
            .copied()
            .unwrap_or_default();
        let ready = now + left;
        let lateness = match () {
            () if ready > begun + objective.mul_f64(HOPELESS) => Lateness::Hopeless,
            () if ready > begun + objective => Lateness::Late,
            () => Lateness::InTime,
        };
        StepRank {
            priority,
            lateness,
            fresh: !job.started,
            latest_start: (begun + objective).saturating_sub(left),
        }
    }

    /// Places what it can of a step; returns how many of its tasks are left without a place.
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
        let tried = self.hopeless.last_plan(&demand, now);
        if tried == Some(self.plans) {
            return pending.len();
        }
        let gang_run = spec.gang.then(|| self.next_run());
        let mut placed: Vec<(u32, WorkerKey, RunNumber)> = Vec::with_capacity(pending.len());
        let room = match spec.gang {
            true => pending.len(),
            false => self.window.room(),
        };
        for &index in pending.iter().take(room) {
            let found = self.find_place(step.task(index), spec, &demand, tried, now);
            let Some(worker) = found else {
                // What members of a gang took is given back if it has no room for all of them.
                if !spec.gang || placed.is_empty() {
                    self.hopeless.note(&demand, self.plans, now);
                }
                break;
            };
            let run = gang_run.unwrap_or_else(|| self.next_run());
            self.place(step.task(index), worker, run, spec, now);
            placed.push((index, worker, run));
        }
        if spec.gang && placed.len() < pending.len() {
            for (index, worker, run) in placed {
                self.take_back(step.task(index), worker, run);
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

    fn start_order(
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
                // All members of a gang go on from one member's checkpoint.
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

    fn place(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        run: RunNumber,
        spec: &StepSpec,
        now: Duration,
    ) {
        let rack = self.worker(worker).record.rack().cloned();
        let state = RunState {
            task,
            phase: RunPhase::Sent,
            reserved: spec.reserved(),
            filler_cpu: if spec.filler { spec.size.cpu_millis } else { 0 },
            image: spec.image.clone(),
            target: spec.target,
            placed: now,
            percent: 0,
            moved: now,
            figure: None,
            load: None,
            pace: 100,
            stop_sent: None,
            stop_tries: 0,
        };
        self.worker_mut(worker).add(run, state);
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
            }
        }
    }

    /// Takes back a place that was only planned.
    fn take_back(&mut self, task: TaskKey, worker: WorkerKey, run: RunNumber) {
        self.worker_mut(worker).drop_run(task, run);
        let step = task.step;
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(step_state) = job.step_mut(step.occurrence, step.step)
        {
            step_state.note_left(worker);
            step_state.rack = None;
            if let Some(state) = step_state.tasks.get_mut(task.index as usize) {
                state.runs.retain(|&held| held != (worker, run));
            }
        }
    }

    fn wish_advice(
        &mut self,
        step: StepKey,
        spec: &StepSpec,
        pool: &Arc<str>,
        now: Duration,
        outcome: &mut PlanOutcome,
    ) {
        let Some(state) = self
            .jobs
            .get(&step.job)
            .and_then(|job| job.step(step.occurrence, step.step))
        else {
            return;
        };
        let asked = state.advice_asked;
        let fresh = state.tickets.iter().filter(|(key, (_, until))| {
            now + TICKET_MARGIN < *until && self.is_usable(self.worker(**key), pool, now)
        });
        let enough = fresh.count() * 2 >= state.tasks.iter().filter(|task| !task.done).count();
        if enough || asked.is_some_and(|at| now < at + ADVICE_AGAIN) {
            return;
        }
        let known = &state.tickets;
        let mut candidates: Vec<(i64, WorkerKey)> = (0..self.workers.len())
            .map(WorkerKey::new)
            .filter(|key| {
                let worker = self.worker(*key);
                let held = known.get(key).is_some_and(|(_, until)| now < *until);
                !held && self.is_usable(worker, pool, now) && fits_labels(worker, spec)
            })
            .map(|key| (self.worker(key).idle_cpu(), key))
            .collect();
        candidates.sort_unstable_by(|left, right| right.cmp(left));
        let workers = candidates
            .into_iter()
            .take(ADVICE_WORKERS)
            .map(|(_, key)| Arc::clone(&self.worker(key).record.id))
            .collect();
        outcome.advice.push(AdviceWish { step, workers });
        if let Some(job) = self.jobs.get_mut(&step.job)
            && let Some(state) = job.step_mut(step.occurrence, step.step)
        {
            state.advice_asked = Some(now);
        }
    }

    fn find_place(
        &self,
        task: TaskKey,
        spec: &StepSpec,
        demand: &TaskDemand,
        tried: Option<u64>,
        now: Duration,
    ) -> Option<WorkerKey> {
        let step = task.step;
        let state = self.jobs.get(&step.job)?.step(step.occurrence, step.step)?;
        let failed_on = state.tasks.get(task.index as usize)?.failed_on;
        let mut best: Option<(PlaceScore, WorkerKey)> = None;
        for (place, worker) in self.workers.iter().enumerate() {
            if tried.is_some_and(|plan| worker.changed < plan) {
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
            let score =
                PlaceScore::new(worker, spec, &self.harm, state.rack.as_ref(), trusted, now);
            let Some(score) = score else {
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

    /// Tells whether anything may be started on a worker.
    pub(crate) fn is_usable(&self, worker: &WorkerState, pool: &Arc<str>, now: Duration) -> bool {
        // What runs on from before its rest is no probe: of services it would never end.
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
            && !worker.health.rests(now)
            && !probes
    }
}

fn state_len(jobs: &indexmap::IndexMap<crate::JobKey, JobState>, step: StepKey) -> usize {
    jobs.get(&step.job)
        .and_then(|job| job.step(step.occurrence, step.step))
        .map_or(0, |state| state.tasks.len())
}

fn holds_ticket(ticket: Option<&(Arc<str>, Duration)>, now: Duration) -> bool {
    ticket.is_some_and(|(_, until)| now + TICKET_MARGIN < *until)
}

pub(crate) fn fits_labels(worker: &WorkerState, spec: &StepSpec) -> bool {
    spec.label
        .as_ref()
        .is_none_or(|label| worker.record.labels.contains(label))
}
