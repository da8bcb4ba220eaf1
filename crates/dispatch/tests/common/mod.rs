//! A fleet of workers and its owners under a clock of its own, with messages that are delayed, lost or
//! late, so that a story of a failure is a few calls.

#![expect(dead_code, reason = "each test file uses a part of it")]

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    AcceptedJob,
    DispatchSettings,
    Dispatcher,
    FleetConfiguration,
    HoldOrder,
    HoldReport,
    JobGraph,
    JobKey,
    JobProgress,
    OrderEnd,
    OrderRefusal,
    ProgressRecord,
    QueueRule,
    RunEnd,
    StepSpec,
    TaskKey,
    WorkerKey,
    WorkerOrder, //
};
use jasminebend_standins::{
    StepWorker,
    TaskWork,
    WorkerDeed, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

pub(crate) const TICK: Duration = Duration::from_millis(10);
const WAY: Duration = Duration::from_millis(2);
const TIMEOUT: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(700);
const COMMIT: Duration = Duration::from_millis(6);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A step of tasks with 1 core each.
pub(crate) fn step(count: u32, after: &[u16]) -> StepSpec {
    StepSpec {
        count,
        size: ResourceAmount::new(1000, 100),
        estimate: ms(500),
        after: after.to_vec(),
        ..StepSpec::default()
    }
}

pub(crate) fn graph(steps: Vec<StepSpec>) -> JobGraph {
    JobGraph {
        payload: "payload".into(),
        steps,
        schedule: None,
    }
}

pub(crate) fn configuration(attempts: u32) -> Arc<FleetConfiguration> {
    let rule = QueueRule {
        name: "queue".into(),
        host: "host".to_owned(),
        prefix: "/queue/".to_owned(),
        pool: "pool".into(),
        priority: 0,
        attempts,
        stretch: 2.0,
        allowance: ms(1000),
        advice: None,
    };
    let mut queues = IndexMap::new();
    queues.insert(Arc::clone(&rule.name), rule);
    Arc::new(FleetConfiguration {
        version: 1,
        queues,
        pools: IndexMap::new(),
        body_limit: 1 << 20,
    })
}

/// What goes wrong with messages, each as a share of them in hundredths.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Orders that are lost.
    pub(crate) lost: u32,
    /// Orders that are carried out 2 to 12 s later, without an answer.
    pub(crate) late: u32,
    /// Orders whose answer is lost.
    pub(crate) unanswered: u32,
    /// Commits that fail; half of them were done.
    pub(crate) commits: u32,
}

#[derive(Clone, Debug)]
enum Event {
    Order(usize, WorkerOrder, Duration),
    OrderAnswer(usize, WorkerOrder, OrderEnd),
    Hold(usize, WorkerKey, HoldOrder, Duration),
    HoldAnswer(usize, WorkerKey, Duration, Result<HoldReport, OrderEnd>),
    CommitAnswer(usize, Vec<(JobKey, ProgressRecord)>, bool),
    Attend(usize, WorkerKey),
}

pub(crate) struct Owner {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) deposed: bool,
    pub(crate) frozen_until: Duration,
    confirmed: Duration,
    acted: Duration,
    committing: bool,
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) workers: Vec<StepWorker>,
    /// Until when each worker reaches nobody.
    pub(crate) cut_until: Vec<Duration>,
    left: Vec<bool>,
    pub(crate) owners: Vec<Owner>,
    pub(crate) faults: Faults,
    /// What is on record.
    pub(crate) records: IndexMap<JobKey, ProgressRecord>,
    pub(crate) jobs: IndexMap<JobKey, (JobGraph, bool)>,
    pub(crate) work: fn(TaskKey) -> TaskWork,
    pub(crate) attempts: u32,
    pub(crate) broken: Vec<String>,
    events: BTreeMap<(Duration, u64), Event>,
    count: u64,
    random: StdRng,
}

fn plain_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        lasts: ms(300),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

impl Fleet {
    /// Creates a fleet of workers with 4 cores each, and its first owner.
    pub(crate) fn new(workers: usize, seed: u64) -> Self {
        let start = ms(1000);
        let workers: Vec<StepWorker> = (0..workers)
            .map(|number| {
                let rate = if number % 2 == 0 { 98 } else { 100 };
                StepWorker::new(
                    &format!("worker-{number}"),
                    ResourceAmount::new(4000, 4000),
                    rate,
                    start,
                )
            })
            .collect();
        let mut fleet = Self {
            now: start,
            cut_until: vec![Duration::ZERO; workers.len()],
            left: vec![false; workers.len()],
            workers,
            owners: Vec::new(),
            faults: Faults::default(),
            records: IndexMap::new(),
            jobs: IndexMap::new(),
            work: plain_work,
            attempts: 3,
            broken: Vec::new(),
            events: BTreeMap::new(),
            count: 0,
            random: StdRng::seed_from_u64(seed),
        };
        fleet.replace_owner();
        fleet
    }

    pub(crate) fn with_work(mut self, work: fn(TaskKey) -> TaskWork) -> Self {
        self.work = work;
        self
    }

    pub(crate) fn with_attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        let configuration = configuration(attempts);
        self.owner().dispatcher.configure(configuration);
        self
    }

    pub(crate) fn owner(&mut self) -> &mut Owner {
        self.owners.last_mut().expect("there is an owner")
    }

    /// Has a new owner take over from what is on record. The former one learns of it from the workers.
    pub(crate) fn replace_owner(&mut self) {
        let token = self.owners.len() as u64 + 1;
        let mut dispatcher = Dispatcher::new(token, DispatchSettings::default());
        dispatcher.configure(configuration(self.attempts));
        let keys: Vec<WorkerKey> = self
            .workers
            .iter()
            .map(|worker| {
                let until = self.now + dispatcher.inheritance(false);
                dispatcher.list_worker(worker.record().clone(), (token > 1).then_some(until))
            })
            .collect();
        for (&key, (graph, cancelled)) in &self.jobs {
            dispatcher.add_job(key, accepted(graph, self.now, true));
            if *cancelled {
                dispatcher.cancel_job(key);
            }
        }
        for (&key, record) in &self.records {
            dispatcher.restore(key, record);
        }
        self.owners.push(Owner {
            dispatcher,
            deposed: false,
            frozen_until: Duration::ZERO,
            confirmed: self.now,
            acted: self.now,
            committing: false,
        });
        let owner = self.owners.len() - 1;
        for key in keys {
            self.push(Duration::ZERO, Event::Attend(owner, key));
        }
    }

    pub(crate) fn submit(&mut self, number: u64, graph: JobGraph) -> JobKey {
        let key = JobKey::new(number);
        self.jobs.insert(key, (graph.clone(), false));
        let now = self.now;
        for owner in &mut self.owners {
            owner.dispatcher.add_job(key, accepted(&graph, now, false));
        }
        key
    }

    pub(crate) fn cancel(&mut self, key: JobKey) {
        if let Some((_, cancelled)) = self.jobs.get_mut(&key) {
            *cancelled = true;
        }
        for owner in &mut self.owners {
            owner.dispatcher.cancel_job(key);
        }
    }

    pub(crate) fn progress(&mut self, key: JobKey) -> Option<JobProgress> {
        self.owner().dispatcher.progress(key)
    }

    /// Has a worker leave for good: nothing listens at its address any more.
    pub(crate) fn leave(&mut self, worker: usize) {
        self.workers[worker].reboot(self.now);
        self.left[worker] = true;
        self.cut_until[worker] = Duration::MAX;
    }

    /// Lets time pass.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.carry_events();
            for owner in 0..self.owners.len() {
                self.act(owner);
            }
        }
    }

    /// Returns how often a task began.
    pub(crate) fn begins(&self, key: JobKey) -> usize {
        let deeds = self.workers.iter().flat_map(|worker| worker.deeds());
        deeds
            .filter(|(_, deed)| matches!(deed, WorkerDeed::Began(task, _) if task.job() == key))
            .count()
    }

    /// Looks at what the workers did: no task ran twice at a time, and none began after its end was noted.
    pub(crate) fn check(&mut self) -> Vec<String> {
        let now = self.now;
        for worker in &mut self.workers {
            worker.settle(now);
        }
        let mut deeds: Vec<(Duration, &WorkerDeed)> = Vec::new();
        for worker in &self.workers {
            deeds.extend(worker.deeds().iter().map(|(at, deed)| (*at, deed)));
        }
        deeds.sort_by_key(|(at, _)| *at);
        let mut running: IndexMap<TaskKey, u32> = IndexMap::new();
        let mut noted: IndexMap<TaskKey, Duration> = IndexMap::new();
        let mut broken = std::mem::take(&mut self.broken);
        for (at, deed) in deeds {
            match deed {
                WorkerDeed::Began(task, run) => {
                    let count = running.entry(*task).or_insert(0);
                    *count += 1;
                    if *count > 1 {
                        broken.push(format!("{task} runs twice at {at:?}, run {run}"));
                    }
                    if noted.contains_key(task) {
                        broken.push(format!("{task} began at {at:?} after its end was noted"));
                    }
                }
                WorkerDeed::Ended(task, ..) => {
                    let count = running.entry(*task).or_insert(1);
                    *count = count.saturating_sub(1);
                }
                WorkerDeed::Noted(task, RunEnd::Done) => {
                    noted.entry(*task).or_insert(at);
                }
                WorkerDeed::Noted(..) => {}
            }
        }
        broken
    }

    fn act(&mut self, owner: usize) {
        let now = self.now;
        let state = &mut self.owners[owner];
        if state.deposed || now < state.frozen_until || !self.confirm(owner) {
            return;
        }
        let state = &mut self.owners[owner];
        if now > state.acted + PAUSE {
            state.dispatcher.note_pause();
        }
        state.acted = now;
        state.dispatcher.note_lapses(now);
        // The fleet's time of day is its clock.
        state.dispatcher.begin_due(now, now);
        let outcome = state.dispatcher.plan(now);
        for order in outcome.orders {
            self.send(owner, order);
        }
        let state = &mut self.owners[owner];
        if !state.committing {
            let records = state.dispatcher.take_commit(45);
            if !records.is_empty() {
                state.committing = true;
                self.commit(owner, records);
            }
        }
    }

    /// Tells whether an owner may act: it reads its row again and again, and a former owner can't any more.
    fn confirm(&mut self, owner: usize) -> bool {
        let now = self.now;
        let current = owner + 1 == self.owners.len();
        let state = &mut self.owners[owner];
        if current {
            state.confirmed = now;
        }
        now < state.confirmed + DispatchSettings::default().unconfirmed
    }

    fn commit(&mut self, owner: usize, records: Vec<(JobKey, ProgressRecord)>) {
        let current = owner + 1 == self.owners.len();
        let fails = self.draw(self.faults.commits);
        let done = current && (!fails || self.draw(50));
        if done {
            for (key, record) in &records {
                self.records.insert(*key, record.clone());
            }
        }
        self.push(COMMIT, Event::CommitAnswer(owner, records, done && !fails));
    }

    fn send(&mut self, owner: usize, order: WorkerOrder) {
        let now = self.now;
        let worker = worker_of(&order);
        let dispatcher = &mut self.owners[owner].dispatcher;
        let deadline = dispatcher.order_deadline(worker, now).unwrap_or_default();
        if now < self.cut_until[worker.place()] || self.draw(self.faults.lost) {
            self.push(TIMEOUT, Event::OrderAnswer(owner, order, OrderEnd::Unknown));
            return;
        }
        if self.draw(self.faults.late) {
            let later = ms(self.random.random_range(2000..12_000));
            self.push(
                TIMEOUT,
                Event::OrderAnswer(owner, order.clone(), OrderEnd::Unknown),
            );
            self.push(
                later,
                Event::Order(usize::MAX, relabel(order, owner, now), deadline),
            );
            return;
        }
        self.push(WAY, Event::Order(owner, order, deadline));
    }

    fn carry_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let event = entry.remove();
            self.carry(event);
        }
    }

    fn carry(&mut self, event: Event) {
        let now = self.now;
        if let Some(owner) = owner_of(&event)
            && now < self.owners[owner].frozen_until
        {
            // What came while the owner was frozen is seen when it wakes.
            let wait = self.owners[owner].frozen_until.saturating_sub(now);
            self.push(wait, event);
            return;
        }
        match event {
            Event::Order(owner, order, deadline) => self.carry_order(owner, order, deadline),
            Event::OrderAnswer(owner, order, end) => self.answer(owner, order, end),
            Event::Attend(owner, key) => self.attend(owner, key),
            Event::Hold(owner, key, order, sent) => {
                let cut = now < self.cut_until[key.place()];
                let answer = match cut {
                    true if self.left[key.place()] => Err(OrderEnd::Refused(OrderRefusal::Closed)),
                    true => Err(OrderEnd::Unknown),
                    false => self.workers[key.place()].hold(now, owner as u64 + 1, order),
                };
                let wait = if cut { TIMEOUT } else { WAY };
                self.push(wait, Event::HoldAnswer(owner, key, sent, answer));
            }
            Event::HoldAnswer(owner, key, sent, answer) => {
                self.hear(owner, key, sent, answer);
            }
            Event::CommitAnswer(owner, _, known) => {
                let state = &mut self.owners[owner];
                state.committing = false;
                match known {
                    true => state.dispatcher.note_committed(),
                    false => state.dispatcher.note_uncommitted(),
                }
            }
        }
    }

    /// Carries an order out. One that comes late has its owner's token and no answer.
    fn carry_order(&mut self, owner: usize, order: WorkerOrder, deadline: Duration) {
        let now = self.now;
        let (token, sent) = match owner {
            usize::MAX => unlabel(&order),
            owner => (owner as u64 + 1, now),
        };
        let place = worker_of(&order).place();
        // The worker that keeps an order for later takes it with it when it dies.
        if self.workers[place].record().born > Some(sent) {
            return;
        }
        let work = self.work;
        let worker = &mut self.workers[place];
        let end = match &order {
            WorkerOrder::Start(start) => {
                worker.start(now, token, start, deadline, work(start.task))
            }
            WorkerOrder::Stop { task, run, .. } => worker.stop(now, token, *task, *run),
            WorkerOrder::Pace { .. } => OrderEnd::Taken,
        };
        let capacity = worker.record().capacity;
        if !worker.used().fits_in(capacity) {
            let used = worker.used();
            self.broken
                .push(format!("worker-{place} holds {used:?} at {now:?}"));
        }
        if owner == usize::MAX {
            return;
        }
        match self.draw(self.faults.unanswered) {
            true => self.push(TIMEOUT, Event::OrderAnswer(owner, order, OrderEnd::Unknown)),
            false => self.push(WAY, Event::OrderAnswer(owner, order, end)),
        }
    }

    fn answer(&mut self, owner: usize, order: WorkerOrder, end: OrderEnd) {
        let now = self.now;
        let state = &mut self.owners[owner];
        state.deposed |= end == OrderEnd::Refused(OrderRefusal::Fenced);
        match order {
            WorkerOrder::Start(start) => {
                state
                    .dispatcher
                    .start_ended(start.worker, start.task, start.run, end, now);
            }
            WorkerOrder::Stop { worker, task, run } => {
                state.dispatcher.stop_ended(worker, task, run, end, now);
            }
            WorkerOrder::Pace { .. } => {}
        }
    }

    fn attend(&mut self, owner: usize, key: WorkerKey) {
        if self.owners[owner].deposed {
            return;
        }
        let now = self.now;
        let confirmed = self.confirm(owner);
        let order = self.owners[owner]
            .dispatcher
            .hold_order(key, confirmed, now);
        self.push(WAY, Event::Hold(owner, key, order, now));
    }

    fn hear(
        &mut self,
        owner: usize,
        key: WorkerKey,
        sent: Duration,
        answer: Result<HoldReport, OrderEnd>,
    ) {
        let now = self.now;
        let state = &mut self.owners[owner];
        match answer {
            Ok(report) => {
                state.dispatcher.hold_answered(key, sent, report, now);
                self.push(ms(50), Event::Attend(owner, key));
            }
            Err(OrderEnd::Refused(OrderRefusal::Fenced)) => state.deposed = true,
            Err(end) => {
                state.dispatcher.hold_unanswered(key, end);
                self.push(ms(200), Event::Attend(owner, key));
            }
        }
    }

    fn draw(&mut self, hundredths: u32) -> bool {
        hundredths > 0 && self.random.random_range(0..100) < hundredths
    }

    fn push(&mut self, wait: Duration, event: Event) {
        self.count += 1;
        self.events.insert((self.now + wait, self.count), event);
    }
}

fn accepted(graph: &JobGraph, now: Duration, inherited: bool) -> AcceptedJob {
    AcceptedJob {
        queue: "queue".into(),
        graph: Arc::new(graph.clone()),
        accepted: now,
        inherited,
    }
}

fn worker_of(order: &WorkerOrder) -> WorkerKey {
    match order {
        WorkerOrder::Start(start) => start.worker,
        WorkerOrder::Stop { worker, .. } | WorkerOrder::Pace { worker, .. } => *worker,
    }
}

fn owner_of(event: &Event) -> Option<usize> {
    match event {
        Event::OrderAnswer(owner, ..)
        | Event::HoldAnswer(owner, ..)
        | Event::CommitAnswer(owner, ..)
        | Event::Attend(owner, ..) => Some(*owner),
        Event::Order(..) | Event::Hold(..) => None,
    }
}

/// Hides the token and the time of a late order in its payload; it has nobody to answer to.
fn relabel(order: WorkerOrder, owner: usize, now: Duration) -> WorkerOrder {
    match order {
        WorkerOrder::Start(mut start) => {
            start.payload = format!("{} {}", owner + 1, now.as_millis()).into();
            WorkerOrder::Start(start)
        }
        other => other,
    }
}

/// Returns a late order's token and time. A stop's are not kept: it is refused once an owner was heard.
fn unlabel(order: &WorkerOrder) -> (u64, Duration) {
    let WorkerOrder::Start(start) = order else {
        return (0, Duration::ZERO);
    };
    let mut parts = start
        .payload
        .split(' ')
        .map(|part| part.parse().unwrap_or(0));
    (parts.next().unwrap_or(0), ms(parts.next().unwrap_or(0)))
}
