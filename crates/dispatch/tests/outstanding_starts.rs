//! Starts that a worker left unanswered, and may carry out after it has restarted.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

mod common;

use std::time::Duration;

use common::{
    configuration,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    AcceptedJob,
    DispatchSettings,
    Dispatcher,
    JobKey,
    OrderOutcome,
    RunResult,
    StartOrder,
    StepSpec,
    StepWait,
    TaskKey,
    WorkerKey,
    WorkerOrder, //
};
use jasminebend_standins::{
    SimulatedWorker,
    TaskWork,
    WorkerEvent, //
};

const TOKEN: u64 = 256;
const BEGIN: Duration = Duration::from_millis(100_000);
/// The time between two calls to a worker.
const TURN: Duration = Duration::from_millis(50);
/// The time within which an owner starts a task that may start.
const START_TIME: Duration = Duration::from_millis(1000);

/// A start that its worker has received and not answered.
struct LateStart {
    worker: usize,
    token: u64,
    start: StartOrder,
    deadline: Duration,
}

/// An owner and its workers.
struct Scene {
    now: Duration,
    owner: Dispatcher,
    workers: Vec<SimulatedWorker>,
    keys: Vec<WorkerKey>,
    is_silent: Vec<bool>,
    /// The task of which starts are left unanswered.
    unanswered_index: u32,
    /// The number of its next starts that are.
    unanswered_count: u32,
    run_time: Duration,
    late: Vec<LateStart>,
    waits: Vec<StepWait>,
    /// Tasks with two runs at a time.
    doubled: Vec<TaskKey>,
}

impl Scene {
    /// Creates a scene whose workers have room for this many tasks each.
    fn new(rooms: &[u64]) -> Self {
        let settings = DispatchSettings::default();
        let mut owner = Dispatcher::new(TOKEN, settings).with_former_token(None);
        owner.set_configuration(configuration(3));
        let workers: Vec<SimulatedWorker> = (0..)
            .zip(rooms)
            .map(|(number, room)| {
                let id = format!("w{number}");
                let mut worker = SimulatedWorker::new(&id, capacity(*room), 100, ms(1000));
                worker.set_max_lease(settings.max_lease_duration);
                worker
            })
            .collect();
        let records = workers.iter().map(|worker| worker.record().clone());
        let keys = records.map(|record| owner.upsert_worker(record, None));
        let mut scene = Self {
            now: BEGIN,
            keys: keys.collect(),
            owner,
            is_silent: vec![false; workers.len()],
            workers,
            unanswered_index: 0,
            unanswered_count: 0,
            run_time: ms(60_000),
            late: Vec::new(),
            waits: Vec::new(),
            doubled: Vec::new(),
        };
        scene.turn_for(ms(1000));
        scene
    }

    fn add_job(&mut self, number: u64, spec: StepSpec) {
        let job = accepted(spec, self.now, false);
        self.owner.add_job(JobKey::new(number), job);
    }

    /// Replaces the owner by one that knows its jobs, each of which has one step like this.
    fn replace_owner(&mut self, jobs: u64, spec: &StepSpec) {
        let mut owner =
            Dispatcher::new(2 * TOKEN, DispatchSettings::default()).with_former_token(Some(TOKEN));
        owner.set_configuration(configuration(3));
        let until = self.now + owner.inherited_orders_lifetime(true);
        for worker in &self.workers {
            owner.upsert_worker(worker.record().clone(), Some(until));
        }
        for number in 1..=jobs {
            owner.add_job(JobKey::new(number), accepted(spec.clone(), self.now, true));
        }
        self.owner = owner;
    }

    /// Adds a job of which one start is left unanswered; returns the worker that has received it.
    fn add_job_with_late_start(&mut self, spec: StepSpec, index: u32) -> usize {
        self.unanswered_index = index;
        self.unanswered_count = 1;
        self.add_job(1, spec);
        self.turn();
        self.late[0].worker
    }

    /// Lets a worker accept no more tasks, so that the start is not repeated.
    fn drain(&mut self, worker: usize) {
        self.workers[worker].record_mut().draining = true;
        self.list(worker);
    }

    /// Lets the registry list a worker as it is now.
    fn list(&mut self, worker: usize) {
        let record = self.workers[worker].record().clone();
        self.owner.upsert_worker(record, None);
    }

    fn turn(&mut self) {
        self.now += TURN;
        let now = self.now;
        for worker in 0..self.workers.len() {
            self.renew(worker);
        }
        self.owner.expire_leases(now);
        if !self.owner.take_records_to_commit(10).is_empty() {
            self.owner.confirm_commit();
        }
        let outcome = self.owner.plan(now);
        self.waits.extend(outcome.waits);
        for order in outcome.orders {
            self.carry_out(order);
        }
        self.note_doubled();
    }

    fn turn_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.turn();
        }
    }

    fn renew(&mut self, worker: usize) {
        let (key, now) = (self.keys[worker], self.now);
        let token = self.owner.worker_token(key);
        let renewal = self.owner.next_renewal(key, true, now);
        self.workers[worker].advance_to(now);
        if self.is_silent[worker] {
            let unknown = OrderOutcome::Unknown;
            self.owner.handle_renewal_failure(key, unknown, now);
            return;
        }
        let report = self.workers[worker].renew_lease(now, token, renewal);
        self.owner
            .handle_renewal_report(key, now, report.unwrap(), now);
    }

    fn carry_out(&mut self, order: WorkerOrder) {
        let now = self.now;
        match order {
            WorkerOrder::Start(start) => {
                let (key, task, run) = (start.worker, start.task, start.run);
                let outcome = self.start(start);
                self.owner
                    .handle_start_outcome(key, task, run, outcome, now);
            }
            WorkerOrder::Stop { worker, task, run } => {
                let token = self.owner.worker_token(worker);
                let index = worker.index();
                let outcome = match self.is_silent[index] {
                    true => OrderOutcome::Unknown,
                    false => self.workers[index].stop(now, token, task, run),
                };
                self.owner
                    .handle_stop_outcome(worker, task, run, outcome, now);
            }
            WorkerOrder::Throttle { .. } => {}
        }
    }

    fn start(&mut self, start: StartOrder) -> OrderOutcome {
        let worker = start.worker.index();
        let late = LateStart {
            worker,
            token: self.owner.worker_token(start.worker),
            deadline: self
                .owner
                .grant_order_deadline(start.worker, self.now)
                .unwrap(),
            start,
        };
        if self.unanswered_count > 0 && late.start.task.index == self.unanswered_index {
            self.unanswered_count -= 1;
            self.late.push(late);
            return OrderOutcome::Unknown;
        }
        match self.is_silent[worker] {
            true => OrderOutcome::Unknown,
            false => self.carry_out_start(&late),
        }
    }

    fn carry_out_start(&mut self, late: &LateStart) -> OrderOutcome {
        let work = TaskWork {
            run_time: self.run_time,
            fails: false,
            size: ResourceAmount::new(1000, 100),
        };
        let worker = &mut self.workers[late.worker];
        worker.start(self.now, late.token, &late.start, late.deadline, work)
    }

    /// Lets the workers carry out the starts that they have left unanswered.
    fn carry_out_late_starts(&mut self) {
        for late in std::mem::take(&mut self.late) {
            self.carry_out_start(&late);
        }
        self.note_doubled();
    }

    fn note_doubled(&mut self) {
        let mut tasks = self.running_tasks();
        tasks.sort_unstable();
        for pair in tasks.windows(2) {
            if pair[0] == pair[1] && !self.doubled.contains(&pair[0]) {
                self.doubled.push(pair[0]);
            }
        }
    }

    fn running_tasks(&self) -> Vec<TaskKey> {
        let workers = self.workers.iter();
        workers.flat_map(SimulatedWorker::running_tasks).collect()
    }

    fn run_count(&self) -> usize {
        self.running_tasks().len()
    }

    fn event_count(&self, is_counted: impl Fn(&WorkerEvent) -> bool) -> usize {
        let events = self.workers.iter().flat_map(SimulatedWorker::events);
        events.filter(|(_, event)| is_counted(event)).count()
    }
}

fn accepted(spec: StepSpec, accepted: Duration, inherited: bool) -> AcceptedJob {
    AcceptedJob {
        queue: "queue".into(),
        rule: None,
        graph: graph(vec![spec]).into(),
        accepted,
        inherited,
    }
}

fn capacity(tasks: u64) -> ResourceAmount {
    ResourceAmount::new(tasks * 1000, tasks * 1000)
}

/// Guards against two runs of a task: a worker had left two starts of it unanswered, and carried both out after it had restarted.
#[test]
fn starts_that_are_carried_out_together_execute_one_run() {
    for starts in 1..=3 {
        let mut scene = Scene::new(&[2, 2]);
        let worker = scene.add_job_with_late_start(step(1, &[]), 0);
        scene.unanswered_count = starts;
        scene.turn_for(ms(1000));
        scene.workers[worker].restart(scene.now);
        scene.list(worker);
        scene.is_silent[worker] = true;
        scene.turn_for(ms(3000));
        scene.carry_out_late_starts();
        assert_eq!(scene.run_count(), 1, "carried out");
        scene.turn_for(ms(40_000));
        assert_eq!(scene.doubled, Vec::new());
        assert_eq!(scene.run_count(), 1, "started elsewhere once it is safe");
    }
}

/// Guards against a task that waits for its worker although the worker has carried its only unanswered start out.
#[test]
fn task_whose_unanswered_start_was_carried_out_starts_elsewhere_at_once() {
    let mut scene = Scene::new(&[2, 2]);
    let worker = scene.add_job_with_late_start(step(1, &[]), 0);
    scene.carry_out_late_starts();
    scene.turn_for(ms(300));
    let step = scene.running_tasks()[0].step;
    scene.workers[worker].break_gang(scene.now, step);
    scene.drain(worker);
    scene.turn_for(START_TIME);
    assert_eq!(scene.run_count(), 1);
}

/// Guards against a task that waits although its worker refuses the start.
#[test]
fn task_starts_elsewhere_once_the_next_incarnation_refuses_its_start() {
    let mut scene = Scene::new(&[2, 2]);
    let worker = scene.add_job_with_late_start(step(1, &[]), 0);
    scene.drain(worker);
    scene.turn_for(ms(1000));
    scene.workers[worker].restart(scene.now);
    scene.turn_for(START_TIME);
    scene.carry_out_late_starts();
    assert_eq!(scene.run_count(), 1);
}

/// Guards against a task that waits for a worker which is not known to have restarted, and whose lease has lapsed.
#[test]
fn task_starts_elsewhere_once_the_lease_of_its_worker_has_lapsed() {
    let mut scene = Scene::new(&[2, 2]);
    let worker = scene.add_job_with_late_start(step(1, &[]), 0);
    scene.drain(worker);
    scene.turn_for(ms(500));
    scene.is_silent[worker] = true;
    scene.turn_for(DispatchSettings::default().lease_duration + START_TIME);
    assert_eq!(scene.run_count(), 1);
}

/// Guards against copies that wait although they may run beside each other.
#[test]
fn task_with_copies_starts_elsewhere_at_once() {
    let mut scene = Scene::new(&[2, 2]);
    let mut spec = step(1, &[]);
    spec.allows_copies = true;
    let worker = scene.add_job_with_late_start(spec, 0);
    scene.drain(worker);
    scene.turn_for(START_TIME);
    assert_eq!(scene.run_count(), 1);
}

/// Guards against two runs of a task: the owner was replaced after a worker had left a start unanswered, and the worker restarted
/// and carried that out.
#[test]
fn late_start_of_a_former_owner_executes_no_second_run() {
    let mut scene = Scene::new(&[2, 2]);
    let spec = step(1, &[]);
    let worker = scene.add_job_with_late_start(spec.clone(), 0);
    scene.drain(worker);
    scene.replace_owner(1, &spec);
    scene.turn_for(ms(4000));
    scene.workers[worker].restart(scene.now);
    scene.list(worker);
    scene.is_silent[worker] = true;
    scene.turn_for(ms(3000));
    scene.carry_out_late_starts();
    scene.turn_for(ms(40_000));
    assert_eq!(scene.doubled, Vec::new());
    assert_eq!(scene.run_count(), 1);
}

/// Guards against a task that begins again after its end was acknowledged: a worker had left a start of it unanswered and confirmed
/// its stop, so that the task was done elsewhere, and carried the start out after it had restarted.
#[test]
fn late_start_of_a_stopped_run_begins_no_task_that_is_done() {
    let mut scene = Scene::new(&[2, 2]);
    scene.run_time = ms(300);
    let worker = scene.add_job_with_late_start(step(1, &[]), 0);
    scene.drain(worker);
    scene.turn_for(ms(2000));
    let is_noted =
        |event: &WorkerEvent| matches!(event, WorkerEvent::Acknowledged(_, RunResult::Done));
    assert_eq!(scene.event_count(is_noted), 1, "done elsewhere");
    scene.workers[worker].restart(scene.now);
    // The renewal that tells of the restart carries the former incarnation's token.
    scene.now += TURN;
    scene.renew(worker);
    scene.carry_out_late_starts();
    let has_begun = |event: &WorkerEvent| matches!(event, WorkerEvent::Started(..));
    assert_eq!(scene.event_count(has_begun), 1);
}
