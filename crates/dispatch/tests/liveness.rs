//! Random days that mix kinds of jobs and faults. Once all faults have ended, every job must end, every long-running
//! task must run, and no step may wait beside free capacity.

mod common;

use std::{
    cell::RefCell,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use common::{
    CrashMode,
    Faults,
    Fleet,
    TICK,
    graph,
    ms,
    step, //
};
use jasminebend_base::{
    DomainName,
    ResourceAmount, //
};
use jasminebend_dispatch::{
    JobGraph,
    JobKey,
    JobOutcome,
    JobProgress,
    JobSchedule,
    RunResult,
    StepKey,
    StepSpec,
    TaskKey, //
};
use jasminebend_standins::{
    TaskWork,
    WorkerEvent, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// The number of seeds in a usual test run; `JASMINEBEND_DAYS` overrides it, and `JASMINEBEND_FIRST_DAY` sets the
/// first one.
const SEED_COUNT: u64 = 12;
/// The first seed of the harder days in a usual test run.
const FIRST_HARDER_SEED: u64 = 9;
/// The number of seeds whose workers answer renewals late in a usual test run.
const LATE_SEED_COUNT: u64 = 9;
/// Seeds that violate a check. 23: a gang with suspected members waits for itself. 31: a gang is executed again after its
/// end was acknowledged. 116: workers stay reserved for a gang that fits nowhere. 738: an adopted run is never given up.
const REGRESSION_SEEDS: [u64; 4] = [23, 31, 116, 738];
/// The same with more faults. 6: workers stay reserved.
const HARDER_REGRESSION_SEEDS: [u64; 1] = [6];
/// The prefix of violations beside a gang with suspected members.
const SUSPECTED_GANG: &str = "beside a suspected gang: ";
const WORKERS: usize = 8;
/// The time after the last fault in which workers become usable again: leases lapse, quarantines end.
const SETTLE_TIME: Duration = Duration::from_millis(12_000);
/// How long a step may wait beside free capacity.
const LONGEST_WAIT: Duration = Duration::from_millis(3000);
/// The time after the last fault within which every job must have ended.
const CALM_TIME: Duration = Duration::from_millis(25_000);
/// The time for which the members of an incomplete gang wait for the others.
const GANG_PATIENCE: Duration = Duration::from_millis(1500);
/// The CPU of a worker, in millicores, and its memory, in mebibytes.
const WORKER_SIZE: u64 = 4000;

/// What the tasks of the current day do.
#[derive(Default)]
struct Behaviour {
    /// The work of each step's tasks, by job and step.
    works: BTreeMap<(JobKey, u16), TaskWork>,
    /// How often each task still fails.
    failures: BTreeMap<TaskKey, u32>,
    /// How often each task still crashes its worker, and how long after its start.
    crashes: BTreeMap<TaskKey, (u32, Duration)>,
}

thread_local! {
    static BEHAVIOUR: RefCell<Behaviour> = RefCell::new(Behaviour::default());
}

fn work(task: TaskKey) -> TaskWork {
    BEHAVIOUR.with_borrow_mut(|behaviour| {
        let mut work = behaviour.works[&(task.job(), task.step.step)];
        if let Some(left) = behaviour.failures.get_mut(&task).filter(|left| **left > 0) {
            *left -= 1;
            work.fails = true;
            work.run_time = ms(100);
        }
        work
    })
}

fn crash(task: TaskKey) -> Option<Duration> {
    BEHAVIOUR.with_borrow(|behaviour| {
        let (left, after) = behaviour.crashes.get(&task)?;
        (*left > 0).then_some(*after)
    })
}

/// A job of a day and what its tasks do.
#[derive(Clone, Debug)]
struct Job {
    number: u64,
    graph: JobGraph,
    run_times: Vec<Duration>,
    /// How often tasks fail: step, index and count.
    failures: Vec<(u16, u32, u32)>,
    /// How often tasks crash their workers: step, index, count and delay.
    crashes: Vec<(u16, u32, u32, Duration)>,
    /// Whether no pool can ever execute the job.
    is_hopeless: bool,
}

#[derive(Clone, Debug)]
enum Action {
    Submit(Box<Job>),
    Cancel(u64),
    Replace,
    SuspendAndReplace(Duration),
    Suspend(Duration),
    Unreachable(usize, Duration),
    Kill(usize),
    Drain(usize),
    Leave(usize),
    Capacity(usize, u64),
    StoreAway(bool),
    CloseDomains(bool),
    Mishaps(Faults),
    Crashing(CrashMode),
    Metrics(bool),
    RefusedOrders(u32),
}

type Plan = Vec<(Duration, Action)>;

fn random_step(random: &mut StdRng, after: &[u16]) -> (StepSpec, Duration) {
    let mut spec = step(random.random_range(1..7), after);
    let cpu = [500, 1000, 1000, 2000, 3000, 4000][random.random_range(0..6)];
    spec.size = ResourceAmount::new(cpu, random.random_range(50..800));
    if cpu > 2000 {
        spec.count = spec.count.min(2);
    }
    spec.estimate = ms(random.random_range(200..2500));
    match random.random_range(0..12) {
        0 | 1 => spec.gang = true,
        2 => {
            spec.gang = true;
            spec.rack_sensitive = true;
        }
        3 => spec.rack_sensitive = true,
        4 => spec.max_per_worker = Some(random.random_range(1..3)),
        5 => spec.label = Some("b".into()),
        6 => spec.allows_copies = true,
        7 => spec.checkpoints = true,
        8 => spec.data_rack = Some("rack-1".into()),
        9 => {
            spec.filler = true;
            spec.image = Some(format!("filler-{}", random.random_range(0..2)).into());
        }
        _ => {}
    }
    (spec, ms(random.random_range(100..3000)))
}

fn long_running_step(random: &mut StdRng) -> StepSpec {
    let mut spec = step(random.random_range(1..4), &[]);
    spec.long_running = true;
    spec.size = ResourceAmount::new([500, 1000, 1000, 2000][random.random_range(0..4)], 200);
    if random.random_range(0..2) == 0 {
        spec.tail_target = Some(ms(200));
        spec.image = Some(format!("service-{}", random.random_range(0..2)).into());
    }
    match random.random_range(0..6) {
        0 => spec.max_per_worker = Some(1),
        1 => spec.label = Some("b".into()),
        2 => spec.gang = true,
        _ => {}
    }
    spec
}

fn random_job(random: &mut StdRng, number: u64, at: Duration) -> Job {
    let mut steps = Vec::new();
    let mut run_times = Vec::new();
    let kind = random.random_range(0..20);
    if kind < 5 {
        steps.push(long_running_step(random));
        run_times.push(Duration::MAX);
    } else {
        for number in 0..random.random_range(1..4u16) {
            let after: Vec<u16> = (0..number)
                .filter(|_| random.random_range(0..2) == 0)
                .collect();
            let (spec, run_time) = random_step(random, &after);
            steps.push(spec);
            run_times.push(run_time);
        }
    }
    let is_hopeless = kind == 19 || kind == 0;
    if is_hopeless {
        match random.random_range(0..3) {
            0 => steps[0].label = Some("nowhere".into()),
            1 => steps[0].size = ResourceAmount::new(5000, 100),
            _ => {
                steps[0].gang = true;
                steps[0].count = 40;
                steps[0].size = ResourceAmount::new(2000, 100);
                steps[0].filler = false;
            }
        }
    }
    let mut graph = graph(steps);
    if (15..18).contains(&kind) {
        graph.schedule = Some(JobSchedule {
            first: at + ms(random.random_range(0..3000)),
            interval: ms(random.random_range(300..4000)),
            count: random.random_range(1..4),
        });
    }
    let mut failures = Vec::new();
    let mut crashes = Vec::new();
    for (number, spec) in (0..).zip(&graph.steps) {
        match random.random_range(0..10) {
            0 | 1 => failures.push((
                number,
                random.random_range(0..spec.count),
                random.random_range(1..4),
            )),
            2 => failures.extend((0..spec.count).map(|index| (number, index, 1))),
            3 => crashes.push((
                number,
                random.random_range(0..spec.count),
                random.random_range(1..6),
                ms(random.random_range(5..900)),
            )),
            4 if !spec.gang => crashes.extend(
                (0..spec.count).map(|index| (number, index, random.random_range(1..4), ms(20))),
            ),
            _ => {}
        }
    }
    Job {
        number,
        graph,
        run_times,
        failures,
        crashes,
        is_hopeless,
    }
}

fn random_fault(random: &mut StdRng, plan: &mut Plan, at: Duration) {
    let worker = random.random_range(0..WORKERS);
    let time = ms(random.random_range(200..9000));
    match random.random_range(0..16) {
        0 => plan.push((at, Action::Replace)),
        1 => {
            plan.push((at, Action::Replace));
            plan.push((at + ms(random.random_range(0..3000)), Action::Replace));
        }
        2 => plan.push((at, Action::SuspendAndReplace(time))),
        3 => plan.push((at, Action::Suspend(time))),
        4 | 5 => plan.push((at, Action::Unreachable(worker, time))),
        6 | 7 => plan.push((at, Action::Kill(worker))),
        8 => {
            plan.push((at, Action::Drain(worker)));
            plan.push((at + time, Action::Leave(worker)));
        }
        9 | 10 => {
            plan.push((
                at,
                Action::Capacity(worker, [1333, 1333, 0][random.random_range(0..3)]),
            ));
            plan.push((at + time, Action::Capacity(worker, WORKER_SIZE)));
        }
        11 => {
            plan.push((at, Action::StoreAway(true)));
            plan.push((at + time, Action::StoreAway(false)));
        }
        12 => {
            plan.push((at, Action::CloseDomains(true)));
            plan.push((at + time, Action::CloseDomains(false)));
        }
        13 => plan.push((
            at,
            Action::Crashing(
                [
                    CrashMode::NewIdentity,
                    CrashMode::SameIdentity,
                    CrashMode::Silent,
                ][random.random_range(0..3)],
            ),
        )),
        _ => {}
    }
}

fn random_plan(seed: u64) -> Plan {
    let mut random = StdRng::seed_from_u64(seed);
    let mut plan: Plan = vec![(
        Duration::ZERO,
        Action::Mishaps(Faults {
            lost: random.random_range(0..8),
            delayed: random.random_range(0..6),
            unanswered: random.random_range(0..8),
            failed_commits: random.random_range(0..30),
        }),
    )];
    let mut at = ms(1100);
    for number in 0..random.random_range(6..20) {
        let job = random_job(&mut random, number + 1, at);
        let is_lasting = job.graph.is_long_running();
        plan.push((at, Action::Submit(Box::new(job))));
        if is_lasting && random.random_range(0..3) == 0 {
            plan.push((
                at + ms(random.random_range(0..12_000)),
                Action::Cancel(number + 1),
            ));
        }
        let fault_at = at + ms(random.random_range(0..900));
        random_fault(&mut random, &mut plan, fault_at);
        at += ms(random.random_range(50..1500));
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Returns a day with more faults, with refused orders and with metrics.
fn harder_plan(seed: u64) -> Plan {
    let mut plan = random_plan(seed);
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    let end = plan.last().map_or(Duration::ZERO, |(at, _)| *at);
    for _ in 0..random.random_range(0..12) {
        let at = ms(random.random_range(1100..end.as_millis() as u64 + 1200));
        random_fault(&mut random, &mut plan, at);
    }
    let refused_orders = [0, 2, 10][random.random_range(0..3)];
    plan.push((Duration::ZERO, Action::RefusedOrders(refused_orders)));
    plan.push((
        Duration::ZERO,
        Action::Metrics(random.random_range(0..2) == 0),
    ));
    plan.sort_by_key(|(at, _)| *at);
    plan
}

fn prompt_fleet(seed: u64) -> Fleet {
    Fleet::new(WORKERS, seed)
        .with_work(work)
        .with_crashes(crash)
}

fn late_fleet(seed: u64) -> Fleet {
    prompt_fleet(seed).with_late_answers(seed)
}

/// A day in progress.
struct Day {
    fleet: Fleet,
    jobs: BTreeMap<u64, Job>,
    /// How many of each worker's events were followed.
    followed: Vec<usize>,
    /// The tasks that some worker has completed.
    completed: BTreeSet<TaskKey>,
    /// Since when each gang has been incomplete.
    incomplete_since: BTreeMap<StepKey, Duration>,
    are_domains_closed: bool,
    /// Since when each step, or task that lasts, has waited beside free capacity.
    waits: BTreeMap<(StepKey, Option<u32>), Duration>,
    violations: Vec<String>,
}

impl Day {
    fn new(mut fleet: Fleet) -> Self {
        BEHAVIOUR.set(Behaviour::default());
        for (number, worker) in fleet.workers.iter_mut().enumerate() {
            let mut labels = vec!["a".into(), format!("rack-{}", number % 3).into()];
            if number < 4 {
                labels.push("b".into());
            }
            let record = worker.record_mut();
            record.labels = labels;
            if number % 2 == 1 {
                record.domain = DomainName::from("domain-b");
            }
            fleet.owners[0]
                .dispatcher
                .upsert_worker(worker.record().clone(), None);
        }
        Self {
            fleet,
            jobs: BTreeMap::new(),
            followed: Vec::new(),
            completed: BTreeSet::new(),
            incomplete_since: BTreeMap::new(),
            are_domains_closed: false,
            waits: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    fn act(&mut self, action: &Action) {
        let now = self.fleet.now;
        match action {
            Action::Submit(job) => self.submit(job),
            Action::Cancel(number) => self.fleet.cancel(JobKey::new(*number)),
            Action::Replace => self.replace_owner(),
            Action::SuspendAndReplace(time) => {
                self.fleet.owner().suspended_until = now + *time;
                self.replace_owner();
            }
            Action::Suspend(time) => self.fleet.owner().suspended_until = now + *time,
            Action::Unreachable(worker, time) => {
                let until = self.fleet.unreachable_until[*worker].max(now + *time);
                self.fleet.unreachable_until[*worker] = until;
            }
            Action::Kill(worker) if !self.fleet.has_left(*worker) => {
                self.fleet.kill_worker(*worker)
            }
            Action::Drain(worker) if !self.fleet.has_left(*worker) => {
                self.fleet.drain_worker(*worker)
            }
            Action::Leave(worker) if !self.fleet.has_left(*worker) => {
                self.fleet.leave_pool(*worker)
            }
            Action::Capacity(worker, cpu) if !self.fleet.has_left(*worker) => {
                self.fleet
                    .set_capacity(*worker, ResourceAmount::new(*cpu, *cpu));
            }
            Action::Kill(_) | Action::Drain(_) | Action::Leave(_) | Action::Capacity(..) => {}
            Action::StoreAway(is_away) => self.fleet.store_is_away = *is_away,
            Action::CloseDomains(are_closed) => {
                self.are_domains_closed = *are_closed;
                self.close_domains();
            }
            Action::Mishaps(faults) => self.fleet.faults = *faults,
            Action::Crashing(mode) => self.fleet.crash_mode = *mode,
            Action::RefusedOrders(rate) => self.fleet.refused_orders = *rate,
            Action::Metrics(are_reported) => self.fleet.has_metrics = *are_reported,
        }
    }

    fn submit(&mut self, job: &Job) {
        let key = JobKey::new(job.number);
        BEHAVIOUR.with_borrow_mut(|behaviour| {
            for (number, spec) in (0..).zip(&job.graph.steps) {
                let work = TaskWork {
                    run_time: job.run_times[usize::from(number)],
                    fails: false,
                    size: spec.reserved(),
                };
                behaviour.works.insert((key, number), work);
            }
            let task = |step, index| {
                StepKey {
                    job: key,
                    occurrence: 0,
                    step,
                }
                .task(index)
            };
            for &(step, index, count) in &job.failures {
                behaviour.failures.insert(task(step, index), count);
            }
            for &(step, index, count, after) in &job.crashes {
                behaviour.crashes.insert(task(step, index), (count, after));
            }
        });
        self.jobs.insert(job.number, job.clone());
        self.fleet.submit(job.number, job.graph.clone());
    }

    fn replace_owner(&mut self) {
        self.fleet.replace_owner();
        self.close_domains();
    }

    fn close_domains(&mut self) {
        let closed: BTreeSet<DomainName> = match self.are_domains_closed {
            true => [DomainName::from("domain-b")].into(),
            false => BTreeSet::new(),
        };
        for owner in &mut self.fleet.owners {
            owner.dispatcher.close_domains(closed.clone());
        }
    }

    fn spec(&self, step: StepKey) -> &StepSpec {
        &self.fleet.jobs[&step.job].0.steps[usize::from(step.step)]
    }

    fn tick(&mut self) {
        self.fleet.run_for(TICK);
        self.break_incomplete_gangs();
        self.follow_events();
    }

    /// Notes completions and crashes, and ends gangs of which a member has ended.
    fn follow_events(&mut self) {
        let mut broken = Vec::new();
        self.followed.resize(self.fleet.workers.len(), 0);
        for (worker, followed) in self.fleet.workers.iter().zip(&mut self.followed) {
            for (_, event) in &worker.events()[*followed..] {
                match event {
                    WorkerEvent::Ended(task, _, RunResult::Done) => {
                        self.completed.insert(*task);
                    }
                    WorkerEvent::Ended(task, _, _) => broken.push(task.step),
                    WorkerEvent::Crashed(tasks) => BEHAVIOUR.with_borrow_mut(|behaviour| {
                        for task in tasks {
                            if let Some((left, _)) = behaviour.crashes.get_mut(task) {
                                *left = left.saturating_sub(1);
                            }
                        }
                    }),
                    _ => {}
                }
            }
            *followed = worker.events().len();
        }
        let now = self.fleet.now;
        for step in broken {
            if self.spec(step).gang {
                for worker in &mut self.fleet.workers {
                    worker.break_gang(now, step);
                }
            }
        }
    }

    fn break_incomplete_gangs(&mut self) {
        let now = self.fleet.now;
        let mut members: BTreeMap<StepKey, u32> = BTreeMap::new();
        for worker in &self.fleet.workers {
            for task in worker.running_tasks() {
                *members.entry(task.step).or_insert(0) += 1;
            }
        }
        members.retain(|step, count| {
            let spec = self.spec(*step);
            let is_ending = (0..spec.count).any(|index| self.completed.contains(&step.task(index)));
            spec.gang && *count < spec.count && !is_ending
        });
        self.incomplete_since
            .retain(|step, _| members.contains_key(step));
        for step in members.into_keys() {
            let since = *self.incomplete_since.entry(step).or_insert(now);
            if now >= since + GANG_PATIENCE {
                for worker in &mut self.fleet.workers {
                    worker.break_gang(now, step);
                }
            }
        }
    }

    fn end_faults(&mut self) {
        let now = self.fleet.now;
        self.fleet.faults = Faults::default();
        self.fleet.refused_orders = 0;
        self.fleet.store_is_away = false;
        self.are_domains_closed = false;
        self.close_domains();
        for worker in 0..self.fleet.workers.len() {
            if self.fleet.has_left(worker) {
                continue;
            }
            if self.fleet.workers[worker].record().draining {
                self.fleet.leave_pool(worker);
                continue;
            }
            if !self.fleet.workers[worker].is_down() {
                self.fleet.unreachable_until[worker] = now;
            }
            let size = ResourceAmount::new(WORKER_SIZE, WORKER_SIZE);
            if self.fleet.workers[worker].record().capacity != size {
                self.fleet.set_capacity(worker, size);
            }
        }
        BEHAVIOUR.with_borrow_mut(|behaviour| behaviour.crashes.clear());
    }

    /// Returns whether the completion of a task is on record.
    fn is_recorded(&self, task: TaskKey) -> bool {
        let record = self.fleet.records.get(&task.job());
        let mut steps = record.iter().flat_map(|record| &record.steps);
        steps.any(|step| {
            (step.occurrence, step.step) == (task.step.occurrence, task.step.step)
                && (step.all_done || step.done.contains(&task.index))
        })
    }

    fn is_done(&self, step: StepKey) -> bool {
        (0..self.spec(step).count).all(|index| self.is_recorded(step.task(index)))
    }

    /// Returns the tasks of a job that are to run and do not.
    fn waiting_tasks(&self, job: &Job, running: &BTreeSet<TaskKey>) -> Vec<(StepKey, Vec<u32>)> {
        let key = JobKey::new(job.number);
        let now = self.fleet.now;
        let due = (0..job.graph.occurrences()).filter(|&occurrence| {
            job.graph
                .schedule
                .is_none_or(|schedule| schedule.due(occurrence) <= now)
        });
        let mut waiting = Vec::new();
        for occurrence in due {
            for (number, spec) in (0..).zip(&job.graph.steps) {
                let step = StepKey {
                    job: key,
                    occurrence,
                    step: number,
                };
                let is_open = spec.dependencies.iter().all(|&before| {
                    self.is_done(StepKey {
                        step: before,
                        ..step
                    })
                });
                if !is_open || self.is_done(step) {
                    continue;
                }
                let missing: Vec<u32> = (0..spec.count)
                    .filter(|&index| {
                        !self.is_recorded(step.task(index)) && !running.contains(&step.task(index))
                    })
                    .collect();
                if !missing.is_empty() {
                    waiting.push((step, missing));
                }
            }
        }
        waiting
    }

    /// Returns for how many tasks of a step there is free capacity.
    fn room_for(&self, spec: &StepSpec) -> u64 {
        let usable = (0..self.fleet.workers.len()).filter(|&worker| {
            let record = self.fleet.workers[worker].record();
            !self.fleet.has_left(worker)
                && self.fleet.is_reachable(worker)
                && !record.draining
                && spec
                    .label
                    .as_ref()
                    .is_none_or(|label| record.labels.contains(label))
        });
        let rooms = usable.map(|worker| {
            let worker = &self.fleet.workers[worker];
            let used = worker
                .running_tasks()
                .into_iter()
                .fold((0, 0), |(cpu, memory), task| {
                    let size = self.spec(task.step).size;
                    (cpu + size.cpu_millis, memory + size.memory_mib)
                });
            let capacity = worker.record().capacity;
            let cpu = capacity.cpu_millis.saturating_sub(used.0) / spec.size.cpu_millis;
            let memory = capacity.memory_mib.saturating_sub(used.1) / spec.size.memory_mib;
            cpu.min(memory)
                .min(u64::from(spec.max_per_worker.unwrap_or(u32::MAX)))
        });
        rooms.sum()
    }

    fn is_under_half_used(&self) -> bool {
        let (mut used, mut all) = (0, 0);
        for worker in (0..self.fleet.workers.len()).filter(|&worker| !self.fleet.has_left(worker)) {
            let worker = &self.fleet.workers[worker];
            all += worker.record().capacity.cpu_millis;
            let tasks = worker.running_tasks();
            used += tasks
                .iter()
                .map(|task| self.spec(task.step).size.cpu_millis)
                .sum::<u64>();
        }
        used * 2 < all
    }

    /// Notes which steps wait beside free capacity, and for how long.
    fn check_waits(&mut self) {
        let now = self.fleet.now;
        let workers = self.fleet.workers.iter();
        let running: BTreeSet<TaskKey> =
            workers.flat_map(|worker| worker.running_tasks()).collect();
        let mut waiting: BTreeMap<(StepKey, Option<u32>), u64> = BTreeMap::new();
        let jobs: Vec<Job> = self
            .jobs
            .values()
            .filter(|job| !job.is_hopeless)
            .cloned()
            .collect();
        for job in jobs {
            let key = JobKey::new(job.number);
            if matches!(self.fleet.progress(key), Some(JobProgress::Ended(_))) {
                continue;
            }
            let is_lasting = job.graph.is_long_running();
            if !is_lasting && running.iter().any(|task| task.job() == key) {
                continue;
            }
            for (step, missing) in self.waiting_tasks(&job, &running) {
                let spec = self.spec(step);
                if spec.gang && missing.len() < spec.count as usize {
                    continue;
                }
                let needed = if spec.gang { u64::from(spec.count) } else { 1 };
                match is_lasting && !spec.gang {
                    true => {
                        waiting.extend(missing.iter().map(|&index| ((step, Some(index)), needed)))
                    }
                    false => drop(waiting.insert((step, None), needed)),
                }
            }
        }
        let has_space = self.is_under_half_used();
        waiting.retain(|(step, _), needed| {
            has_space && self.room_for(self.spec(*step)) >= *needed * 2
        });
        self.waits.retain(|wait, _| waiting.contains_key(wait));
        for wait in waiting.into_keys() {
            let since = *self.waits.entry(wait).or_insert(now);
            if now == since + LONGEST_WAIT {
                let (step, index) = wait;
                let cause = self.likely_cause();
                self.violations.push(format!(
                    "{cause}step {step:?} task {index:?} waits beside free capacity since {since:?}: {:?}",
                    self.spec(step)
                ));
                if std::env::var("JASMINEBEND_TRACE").is_ok() && self.violations.len() == 1 {
                    println!("DUMP {:?}", self.fleet.owner().dispatcher);
                }
            }
        }
    }

    /// Returns the prefix of a violation that a gang with suspected members may explain.
    fn likely_cause(&mut self) -> &'static str {
        match self.has_suspected_gang() {
            true => SUSPECTED_GANG,
            false => "",
        }
    }

    /// Returns whether an unfinished gang has a member under which workers have crashed twice.
    fn has_suspected_gang(&mut self) -> bool {
        let mut crashes: BTreeMap<TaskKey, usize> = BTreeMap::new();
        for (_, event) in self.fleet.workers.iter().flat_map(|worker| worker.events()) {
            if let WorkerEvent::Crashed(tasks) = event {
                for task in tasks {
                    *crashes.entry(*task).or_insert(0) += 1;
                }
            }
        }
        for (key, record) in &self.fleet.records {
            for stored in &record.crashes {
                let step = StepKey {
                    job: *key,
                    occurrence: stored.occurrence,
                    step: stored.step,
                };
                let count = crashes.entry(step.task(stored.index)).or_insert(0);
                *count = (*count).max(stored.crashes.len());
            }
        }
        crashes.into_iter().any(|(task, count)| {
            let progress = self.fleet.progress(task.job());
            let is_over = matches!(progress, Some(JobProgress::Ended(_)));
            count >= 2 && !is_over && self.spec(task.step).gang
        })
    }

    fn check_end(&mut self) {
        let jobs: Vec<Job> = self.jobs.values().cloned().collect();
        let workers = self.fleet.workers.iter();
        let running: BTreeSet<TaskKey> =
            workers.flat_map(|worker| worker.running_tasks()).collect();
        for job in jobs {
            let key = JobKey::new(job.number);
            let progress = self.fleet.progress(key);
            let has_ended = matches!(progress, Some(JobProgress::Ended(_)));
            if has_ended && running.iter().any(|task| task.job() == key) {
                self.violations.push(format!("ended job {key} still runs"));
            }
            let steps = self.waiting_tasks(&job, &running);
            let has_room = steps.iter().any(|(step, _)| {
                let spec = self.spec(*step);
                self.room_for(spec) >= 2 * u64::from(if spec.gang { spec.count } else { 1 })
            });
            if !has_ended && has_room && !job.is_hopeless && !job.graph.is_long_running() {
                let cause = self.likely_cause();
                if std::env::var("JASMINEBEND_TRACE").is_ok() && self.violations.is_empty() {
                    println!("DUMP {:?}", self.fleet.owner().dispatcher);
                }
                self.violations
                    .push(format!("{cause}job {key} has not ended: {progress:?}"));
            }
        }
    }
}

fn run_plan(fleet: Fleet, plan: &Plan) -> Vec<String> {
    let mut day = Day::new(fleet);
    for (at, action) in plan {
        while day.fleet.now < *at {
            day.tick();
        }
        day.act(action);
    }
    let resumes_at = day.fleet.owner().suspended_until;
    while day.fleet.now < resumes_at {
        day.tick();
    }
    day.end_faults();
    let calm_at = day.fleet.now;
    while day.fleet.now < calm_at + CALM_TIME {
        day.tick();
        if day.fleet.now >= calm_at + SETTLE_TIME {
            day.check_waits();
        }
    }
    day.check_end();
    if std::env::var("JASMINEBEND_TRACE").is_ok() {
        for (number, worker) in day.fleet.workers.iter().enumerate() {
            for (at, event) in worker.events() {
                println!("{at:?} worker-{number} {event:?}");
            }
        }
    }
    day.violations.extend(day.fleet.check_invariants());
    day.violations
}

/// Removes the actions without which a plan still violates a check.
fn minimise(seed: u64, plan: &Plan, fleet_of: fn(u64) -> Fleet) -> Plan {
    let mut plan = plan.clone();
    let mut index = plan.len();
    while index > 0 {
        index -= 1;
        let mut shorter = plan.clone();
        shorter.remove(index);
        if run_plan(fleet_of(seed), &shorter)
            .iter()
            .any(|violation| !is_of_suspected_gang(violation))
        {
            plan = shorter;
            index = index.min(plan.len());
        }
    }
    plan
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Returns the seeds whose days violate a check.
fn failed_seeds<Seeds>(
    seeds: Seeds,
    plan_of: fn(u64) -> Plan,
    fleet_of: fn(u64) -> Fleet,
) -> Vec<u64>
where
    Seeds: Iterator<Item = u64>,
{
    // Gangs whose members are suspected can be counted apart while other causes are looked for.
    let are_gangs_apart = env_number("JASMINEBEND_GANGS_APART").is_some();
    let mut failed = Vec::new();
    let mut apart = 0;
    for seed in seeds {
        let plan = plan_of(seed);
        let violations = run_plan(fleet_of(seed), &plan);
        if violations.is_empty() {
            continue;
        }
        if are_gangs_apart
            && violations
                .iter()
                .all(|violation| is_of_suspected_gang(violation))
        {
            apart += 1;
            continue;
        }
        println!("seed {seed}: {violations:#?}");
        failed.push(seed);
        if env_number("JASMINEBEND_MINIMISE").is_some() {
            let plan = minimise(seed, &plan, fleet_of);
            println!("minimised {seed}: {:#?}", run_plan(fleet_of(seed), &plan));
            for (at, action) in &plan {
                println!("    {at:?} {action:?}");
            }
        }
    }
    println!("{apart} days with suspected gangs apart");
    failed
}

fn is_of_suspected_gang(violation: &str) -> bool {
    violation.starts_with(SUSPECTED_GANG)
}

/// Guards against steps that could run and are never started, and runs that outlive their jobs.
#[test]
fn random_days_leave_nothing_waiting() {
    let count = env_number("JASMINEBEND_DAYS").unwrap_or(SEED_COUNT);
    let first = env_number("JASMINEBEND_FIRST_DAY").unwrap_or(0);
    let failed = failed_seeds(first..first + count, random_plan, prompt_fleet);
    assert!(failed.is_empty(), "{} of {count}: {failed:?}", failed.len());
}

/// Guards against the same under more faults, refused starts and services that fillers slow down.
#[test]
fn harder_random_days_leave_nothing_waiting() {
    let count = env_number("JASMINEBEND_DAYS").unwrap_or(SEED_COUNT);
    let first = env_number("JASMINEBEND_FIRST_DAY").unwrap_or(FIRST_HARDER_SEED);
    let failed = failed_seeds(first..first + count, harder_plan, prompt_fleet);
    assert!(failed.is_empty(), "{} of {count}: {failed:?}", failed.len());
}

fn check_late_days(plan_of: fn(u64) -> Plan) {
    let count = env_number("JASMINEBEND_DAYS").unwrap_or(LATE_SEED_COUNT);
    let first = env_number("JASMINEBEND_FIRST_DAY").unwrap_or(0);
    let failed = failed_seeds(first..first + count, plan_of, late_fleet);
    assert!(failed.is_empty(), "{} of {count}: {failed:?}", failed.len());
}

/// Guards against the same while workers answer renewals as late as they may.
#[test]
fn random_days_with_late_answers_leave_nothing_waiting() {
    check_late_days(random_plan);
}

/// Guards against the same under more faults.
#[test]
fn harder_random_days_with_late_answers_leave_nothing_waiting() {
    check_late_days(harder_plan);
}

/// Guards against the faults that random days have shown.
#[test]
fn regression_days_leave_nothing_waiting() {
    let failed = failed_seeds(REGRESSION_SEEDS.into_iter(), random_plan, prompt_fleet);
    let failed_harder = failed_seeds(
        HARDER_REGRESSION_SEEDS.into_iter(),
        harder_plan,
        prompt_fleet,
    );
    assert_eq!((failed, failed_harder), (Vec::new(), Vec::new()));
}

fn behave(number: u64, step: u16, run_time: Duration, spec: &StepSpec) {
    let work = TaskWork {
        run_time,
        fails: false,
        size: spec.reserved(),
    };
    BEHAVIOUR
        .with_borrow_mut(|behaviour| behaviour.works.insert((JobKey::new(number), step), work));
}

/// Submits a job of one step whose tasks take this long.
fn submit_step(fleet: &mut Fleet, number: u64, run_time: Duration, spec: StepSpec) -> JobKey {
    behave(number, 0, run_time, &spec);
    fleet.submit(number, graph(vec![spec]))
}

fn lasting_step(count: u32, cpu_millis: u64) -> StepSpec {
    let mut spec = step(count, &[]);
    spec.long_running = true;
    spec.size = ResourceAmount::new(cpu_millis, 100);
    spec
}

fn sized_step(count: u32, cpu_millis: u64) -> StepSpec {
    let mut spec = step(count, &[]);
    spec.size = ResourceAmount::new(cpu_millis, 100);
    spec
}

const COMPLETED: Option<JobProgress> = Some(JobProgress::Ended(JobOutcome::Completed));

/// Guards against a run that is never given up: the owner adopted it and was suspended before it granted its first
/// lease, and the worker was lost meanwhile.
#[test]
fn adopted_run_is_given_up_with_a_worker_that_was_never_granted_a_lease() {
    BEHAVIOUR.set(Behaviour::default());
    let mut fleet = Fleet::new(2, 1).with_work(work);
    let job = submit_step(&mut fleet, 1, ms(3000), sized_step(1, 4000));
    fleet.run_for(ms(500));
    let worker = (0..2)
        .find(|&worker| fleet.workers[worker].run_count() == 1)
        .expect("it runs");
    fleet.replace_owner();
    // The new owner has the worker's first answer, but has not renewed its lease yet.
    fleet.run_for(ms(20));
    fleet.owner().suspended_until = fleet.now + ms(6000);
    fleet.run_for(ms(1000));
    fleet.kill_worker(worker);
    fleet.run_for(ms(30_000));
    assert_eq!(fleet.progress(job), COMPLETED);
}

/// Guards against steps that wait for good beside empty workers, which stay reserved for a gang that fits nowhere.
#[test]
fn gang_that_never_fits_does_not_keep_workers_from_others() {
    BEHAVIOUR.set(Behaviour::default());
    let mut fleet = Fleet::new(8, 1).with_work(work);
    let mut gang = lasting_step(40, 2000);
    gang.gang = true;
    submit_step(&mut fleet, 1, Duration::MAX, gang);
    // Only the two reserved workers can hold the other job.
    submit_step(&mut fleet, 2, Duration::MAX, {
        let mut spec = lasting_step(6, 1000);
        spec.max_per_worker = Some(1);
        spec
    });
    fleet.run_for(ms(7000));
    let job = submit_step(&mut fleet, 3, ms(300), sized_step(1, 4000));
    fleet.run_for(ms(25_000));
    assert_eq!(fleet.progress(job), COMPLETED);
}

/// Guards against a pool that is reserved as a whole: the limit on reserved workers counted workers that had left.
#[test]
fn workers_that_have_left_do_not_raise_the_limit_on_reserved_ones() {
    BEHAVIOUR.set(Behaviour::default());
    let mut fleet = Fleet::new(4, 1).with_work(work);
    for _ in 0..3 {
        let first = fleet.workers.len() - 4;
        for worker in first..first + 4 {
            fleet.leave_pool(worker);
        }
        fleet.run_for(ms(1000));
    }
    let mut gang = lasting_step(5, 4000);
    gang.gang = true;
    submit_step(&mut fleet, 1, Duration::MAX, gang);
    fleet.run_for(ms(7000));
    let job = submit_step(&mut fleet, 2, ms(300), sized_step(1, 1000));
    fleet.run_for(ms(25_000));
    assert_eq!(fleet.progress(job), COMPLETED);
}

/// Lets tasks of two jobs fail on every worker, so that each is quarantined.
fn quarantine_workers(fleet: &mut Fleet, number: u64) {
    let count = fleet.workers.len() as u32 * 4;
    let job = submit_step(fleet, number, ms(100), sized_step(count, 1000));
    BEHAVIOUR.with_borrow_mut(|behaviour| {
        for index in 0..count {
            let step = StepKey {
                job,
                occurrence: 0,
                step: 0,
            };
            behaviour.failures.insert(step.task(index), 3);
        }
    });
    fleet.run_for(ms(60_000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Failed))
    );
}

/// Guards against a worker that is quarantined for good: the long-running task that probes it has no target, and so
/// never counts as a success.
#[test]
fn long_running_task_without_target_ends_the_probation_of_its_worker() {
    BEHAVIOUR.set(Behaviour::default());
    let mut fleet = Fleet::new(2, 1).with_work(work);
    quarantine_workers(&mut fleet, 1);
    let mut spec = lasting_step(2, 500);
    spec.max_per_worker = Some(1);
    submit_step(&mut fleet, 2, Duration::MAX, spec);
    fleet.run_for(ms(3000));
    let job = submit_step(&mut fleet, 3, ms(300), sized_step(2, 1000));
    fleet.run_for(ms(25_000));
    assert_eq!(fleet.progress(job), COMPLETED);
}

/// Guards against a gang that waits for good: after a quarantine each worker takes one task until one has succeeded,
/// and there is no other task to succeed.
#[test]
fn gang_starts_on_workers_on_probation() {
    BEHAVIOUR.set(Behaviour::default());
    let mut fleet = Fleet::new(2, 1).with_work(work);
    quarantine_workers(&mut fleet, 1);
    let mut gang = sized_step(4, 1000);
    gang.gang = true;
    let job = submit_step(&mut fleet, 2, ms(300), gang);
    fleet.run_for(ms(25_000));
    assert_eq!(fleet.progress(job), COMPLETED);
}

/// Guards against jobs that no owner starts any more: their queue was removed from the configuration before the owner
/// was replaced.
#[test]
fn successor_finishes_jobs_of_a_removed_queue() {
    BEHAVIOUR.set(Behaviour::default());
    let mut fleet = Fleet::new(2, 1).with_work(work);
    let mut second = sized_step(1, 1000);
    second.dependencies = vec![0];
    let steps = vec![sized_step(1, 1000), second];
    for (number, spec) in (0..).zip(&steps) {
        behave(1, number, ms(1000), spec);
    }
    let job = fleet.submit(1, graph(steps));
    fleet.run_for(ms(500));
    fleet.remove_queue();
    fleet.replace_owner();
    fleet.run_for(ms(25_000));
    assert_eq!(fleet.progress(job), COMPLETED);
}

/// Guards against a gang that is executed twice: the later members' completions were acknowledged before the gang's
/// end was on record.
#[test]
fn completions_of_a_gang_are_acknowledged_once_its_end_is_on_record() {
    BEHAVIOUR.set(Behaviour::default());
    let mut fleet = Fleet::new(2, 1).with_work(work);
    let mut gang = sized_step(2, 4000);
    gang.gang = true;
    let job = submit_step(&mut fleet, 1, ms(1000), gang);
    fleet.run_for(ms(500));
    fleet.store_is_away = true;
    fleet.run_for(ms(2000));
    assert!(!fleet.records.contains_key(&job), "the store is away");
    let events = fleet.workers.iter().flat_map(|worker| worker.events());
    let acknowledged = events.filter(|(_, event)| matches!(event, WorkerEvent::Acknowledged(..)));
    assert_eq!(acknowledged.count(), 0);
}

/// Guards against a step that waits for good beside a worker with room, which stays reserved for a long-running step to
/// which other long-running tasks leave no memory.
#[test]
fn worker_without_memory_for_a_long_running_step_is_not_reserved_for_it() {
    BEHAVIOUR.set(Behaviour::default());
    let mut fleet = Fleet::new(4, 1).with_work(work);
    let mut holders = lasting_step(4, 500);
    holders.size = ResourceAmount::new(500, 3000);
    holders.max_per_worker = Some(1);
    submit_step(&mut fleet, 1, Duration::MAX, holders);
    fleet.run_for(ms(4000));
    // Leaves one worker with 3.5 cores.
    let mut blockers = lasting_step(3, 1000);
    blockers.max_per_worker = Some(1);
    submit_step(&mut fleet, 2, Duration::MAX, blockers);
    fleet.run_for(ms(4000));
    let mut never = lasting_step(1, 1000);
    never.size = ResourceAmount::new(1000, 2000);
    submit_step(&mut fleet, 3, Duration::MAX, never);
    fleet.run_for(ms(7000));
    let job = submit_step(&mut fleet, 4, ms(300), sized_step(1, 3500));
    fleet.run_for(ms(25_000));
    assert_eq!(fleet.progress(job), COMPLETED);
}
/// Guards against the same with long-running tasks that could start: the limit counted workers that had left.
#[test]
fn workers_that_have_left_do_not_raise_the_limit_on_those_reserved_for_long_running_tasks() {
    BEHAVIOUR.set(Behaviour::default());
    let mut fleet = Fleet::new(4, 1).with_work(work);
    for _ in 0..3 {
        let first = fleet.workers.len() - 4;
        for worker in first..first + 4 {
            fleet.leave_pool(worker);
        }
        fleet.run_for(ms(1000));
    }
    let mut short = sized_step(4, 1000);
    short.max_per_worker = Some(1);
    submit_step(&mut fleet, 1, Duration::MAX, short);
    fleet.run_for(ms(1000));
    submit_step(&mut fleet, 2, Duration::MAX, lasting_step(4, 4000));
    fleet.run_for(ms(7000));
    let job = submit_step(&mut fleet, 3, ms(300), sized_step(1, 1000));
    fleet.run_for(ms(25_000));
    assert_eq!(fleet.progress(job), COMPLETED);
}

/// Guards against a worker that stays reserved for a gang which its memory, the spread or long-running tasks exclude.
#[test]
fn gang_that_never_fits_reserves_no_worker_whatever_it_lacks() {
    let by_memory = StepSpec {
        size: ResourceAmount::new(1000, 2500),
        ..lasting_step(2, 1000)
    };
    let by_spread = StepSpec {
        max_per_worker: Some(1),
        ..lasting_step(2, 1000)
    };
    let by_long_running = lasting_step(2, 1000);
    let cases = [
        (by_memory, 0),
        (by_spread, 0),
        (by_long_running, 3000), //
    ];
    for (mut gang, occupied) in cases {
        BEHAVIOUR.set(Behaviour::default());
        let mut fleet = Fleet::new(1, 1).with_work(work);
        if occupied > 0 {
            submit_step(&mut fleet, 1, Duration::MAX, lasting_step(1, occupied));
            fleet.run_for(ms(1000));
        }
        gang.gang = true;
        submit_step(&mut fleet, 2, Duration::MAX, gang.clone());
        fleet.run_for(ms(7000));
        let job = submit_step(&mut fleet, 3, ms(300), sized_step(1, 1000));
        fleet.run_for(ms(25_000));
        assert_eq!(fleet.progress(job), COMPLETED, "{gang:?}");
    }
}

/// Guards against a failed job whose tasks are executed again: further failures were acknowledged before the job's end
/// was on record.
#[test]
fn failures_of_a_job_that_has_failed_are_acknowledged_once_its_end_is_on_record() {
    BEHAVIOUR.set(Behaviour::default());
    let mut fleet = Fleet::new(2, 1).with_work(work).with_attempts(1);
    let job = submit_step(&mut fleet, 1, ms(1000), sized_step(2, 4000));
    BEHAVIOUR.with_borrow_mut(|behaviour| {
        let step = StepKey {
            job,
            occurrence: 0,
            step: 0,
        };
        behaviour.failures = (0..2).map(|index| (step.task(index), 3)).collect();
    });
    fleet.store_is_away = true;
    fleet.run_for(ms(2000));
    assert!(!fleet.records.contains_key(&job), "the store is away");
    let events = fleet.workers.iter().flat_map(|worker| worker.events());
    let ended = events.clone();
    let ended = ended.filter(|(_, event)| matches!(event, WorkerEvent::Ended(..)));
    assert!(ended.count() >= 2, "both tasks have failed");
    let acknowledged = events.filter(|(_, event)| matches!(event, WorkerEvent::Acknowledged(..)));
    assert_eq!(acknowledged.count(), 0);
}

/// Returns work of which each further task takes 15 ms more.
fn staggered_work(task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(1000 + 15 * u64::from(task.index)),
        fails: false,
        size: ResourceAmount::new(4000, 100),
    }
}

/// Guards against the same while the commit that contains the end is in flight, and then fails.
#[test]
fn completions_of_a_gang_are_not_acknowledged_while_its_end_is_being_stored() {
    let mut fleet = Fleet::new(8, 1).with_work(staggered_work);
    let mut gang = sized_step(8, 4000);
    gang.gang = true;
    fleet.submit(1, graph(vec![gang]));
    fleet.run_for(ms(500));
    fleet.store_is_away = true;
    fleet.run_for(ms(2000));
    let events = fleet.workers.iter().flat_map(|worker| worker.events());
    // A run that was stopped has no result to lose.
    let acknowledged =
        events.filter(|(_, event)| matches!(event, WorkerEvent::Acknowledged(_, RunResult::Done)));
    assert_eq!(acknowledged.count(), 0);
}
