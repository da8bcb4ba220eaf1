//! The simulated fleet: setup, control and invariant checks.

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
    FleetWorker,
    JobGraph,
    JobKey,
    JobProgress,
    OverdueStop,
    ProgressRecord,
    RunResult,
    StepWait,
    TaskKey,
    WorkerKey, //
};
use jasminebend_standins::{
    CrashRule,
    SimulatedWorker,
    TaskWork,
    WorkerEvent, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    configuration,
    fleet_messages::Event,
    late_learning::LateLearning,
    lease_lapses::LeaseLapses,
    ms, //
};

/// The resolution of the simulated time.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// The time after which the registry no longer lists a worker that has crashed.
const REGISTRY_EXPIRY: Duration = Duration::from_millis(3300);
/// For how long starts may still rely on a capacity that has shrunk.
const SHRINK_GRACE: Duration = Duration::from_millis(4500);
/// The longest time that stopping a run takes, by deployment.
const STOP_BOUNDS: [Duration; 3] = [
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(900),
];
/// The number of fencing tokens of an owner.
const TOKENS_PER_OWNER: u64 = 256;
/// The wall-clock time at the simulated time zero; the workers began at about the wall-clock time zero.
const WALL_ORIGIN: Duration = Duration::from_secs(100);
/// How far the owners' wall clocks are ahead of the workers', in turn, beside [`MAX_CLOCK_SKEW`].
const CLOCK_SKEWS: [Duration; 3] = [
    Duration::from_secs(5),
    Duration::from_secs(10),
    Duration::ZERO,
];
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// The least time between two writes of the list of workers for a successor.
const RECORDING_INTERVAL: Duration = Duration::from_millis(100);
/// The time after which a worker that has crashed is back.
const CRASH_DOWNTIME: Duration = Duration::from_millis(4000);

/// How a worker crashes and comes back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CrashMode {
    /// Its address refuses connections, and it is back under another identity.
    NewIdentity,
    /// Its address refuses connections, and it is back as another incarnation of itself.
    SameIdentity,
    /// It leaves calls unanswered, and is back under another identity.
    Silent,
}

/// Rates of message faults, each in percent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Orders that are lost.
    pub(crate) lost: u32,
    /// Orders that are executed 2 to 12 s late and not answered.
    pub(crate) delayed: u32,
    /// Orders whose answer is lost.
    pub(crate) unanswered: u32,
    /// Commits that fail; half of these are stored nevertheless.
    pub(crate) failed_commits: u32,
}

/// An owner and the state of its process.
pub(crate) struct Owner {
    pub(crate) dispatcher: Dispatcher,
    /// Whether a worker rejected the owner for a newer one.
    pub(crate) deposed: bool,
    /// Until when the owner's process does not run.
    pub(crate) suspended_until: Duration,
    /// When the owner took over.
    pub(super) claimed_at: Duration,
    /// When the owner's ownership was last confirmed.
    pub(super) last_confirmed_at: Duration,
    /// Whether a commit of the owner is in flight.
    pub(super) committing: bool,
}

/// The workers, owners, stored records and messages in flight of a simulated fleet.
pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) workers: Vec<SimulatedWorker>,
    /// The time until which each worker is unreachable.
    pub(crate) unreachable_until: Vec<Duration>,
    /// When the incarnation of each worker began that the registry knows.
    registered: Vec<Option<Duration>>,
    /// How long after its restart the registry holds a worker's new incarnation.
    pub(crate) registration_delay: Duration,
    /// The workers that are on record for a successor; `None` while the owner's knowledge counts as recorded.
    recorded_workers: Option<Vec<FleetWorker>>,
    /// Whether each worker has left for good.
    pub(super) has_left: Vec<bool>,
    /// The workers that are cut off from the store, with the time at which their entries expire, and until when.
    cut_off: Vec<(usize, Duration, Duration)>,
    /// Since when each worker is down after a crash.
    down_since: Vec<Option<Duration>>,
    /// Whether the registry lists each worker.
    listed: Vec<bool>,
    /// What may run on each worker: its capacity, or for a while after it has shrunk the former one.
    tolerated: Vec<(Duration, ResourceAmount)>,
    /// Whether workers that are unreachable refuse connections while they run.
    pub(crate) refuses_while_unreachable: bool,
    pub(crate) crash_mode: CrashMode,
    crash_rule: CrashRule,
    pub(crate) owners: Vec<Owner>,
    pub(crate) faults: Faults,
    /// Orders that an unwell worker refuses, in percent.
    pub(crate) refused_orders: u32,
    /// Whether the store is away: no commit is stored.
    pub(crate) store_is_away: bool,
    /// The stored progress records.
    pub(crate) records: IndexMap<JobKey, ProgressRecord>,
    /// The submitted jobs, and whether each was cancelled.
    pub(crate) jobs: IndexMap<JobKey, (JobGraph, bool)>,
    pub(crate) work: fn(TaskKey) -> TaskWork,
    pub(crate) attempts: u32,
    /// Whether workers report metrics: services are slower the more fillers run beside them.
    pub(crate) has_metrics: bool,
    /// Whether workers answer a renewal only when a run ends or the renewal's wait is over.
    pub(crate) delays_renewals: bool,
    /// The settings of the owners.
    pub(crate) settings: DispatchSettings,
    /// Whether the configuration no longer contains the queue.
    queue_is_removed: bool,
    /// Violations found while messages were delivered.
    pub(crate) violations: Vec<String>,
    /// The log entries about waiting steps.
    pub(crate) waits: Vec<StepWait>,
    /// The log entries about overdue stops.
    pub(crate) overdue_stops: Vec<OverdueStop>,
    /// The jobs that owners have yet to learn of; `None` while each owner learns of a job as it is submitted.
    pub(super) late_learning: Option<LateLearning>,
    pub(super) lease_lapses: LeaseLapses,
    /// Messages in flight by their time of delivery and a sequence number.
    pub(super) events: BTreeMap<(Duration, u64), Event>,
    pub(super) event_count: u64,
    pub(super) random: StdRng,
}

/// Returns work of one core for 300 ms.
fn default_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(300),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

impl Fleet {
    /// Creates a fleet of workers with 4 cores each, and its first owner. The clocks of every other
    /// worker are 2% slow.
    pub(crate) fn new(workers: usize, seed: u64) -> Self {
        let start = ms(1000);
        let settings = DispatchSettings::default();
        let workers: Vec<SimulatedWorker> = (0..workers)
            .map(|number| {
                let rate = if number % 2 == 0 { 98 } else { 100 };
                let mut worker = SimulatedWorker::new(
                    &format!("worker-{number}"),
                    ResourceAmount::new(4000, 4000),
                    rate,
                    start,
                );
                worker.set_wall_origin(WALL_ORIGIN);
                worker.set_max_lease(settings.max_lease_duration);
                worker
            })
            .collect();
        let mut fleet = Self {
            now: start,
            unreachable_until: vec![Duration::ZERO; workers.len()],
            registered: workers
                .iter()
                .map(|worker| worker.record().incarnation)
                .collect(),
            registration_delay: Duration::ZERO,
            recorded_workers: None,
            has_left: vec![false; workers.len()],
            cut_off: Vec::new(),
            down_since: vec![None; workers.len()],
            listed: vec![true; workers.len()],
            tolerated: vec![(Duration::ZERO, ResourceAmount::default()); workers.len()],
            refuses_while_unreachable: false,
            crash_mode: CrashMode::NewIdentity,
            crash_rule: |_| None,
            workers,
            owners: Vec::new(),
            faults: Faults::default(),
            refused_orders: 0,
            store_is_away: false,
            records: IndexMap::new(),
            jobs: IndexMap::new(),
            work: default_work,
            attempts: 3,
            has_metrics: false,
            delays_renewals: false,
            settings,
            queue_is_removed: false,
            violations: Vec::new(),
            waits: Vec::new(),
            overdue_stops: Vec::new(),
            late_learning: None,
            lease_lapses: LeaseLapses::default(),
            events: BTreeMap::new(),
            event_count: 0,
            random: StdRng::seed_from_u64(seed),
        };
        fleet.replace_owner();
        fleet
    }

    pub(crate) fn with_work(mut self, work: fn(TaskKey) -> TaskWork) -> Self {
        self.work = work;
        self
    }

    /// Lets some tasks crash the workers that execute them.
    pub(crate) fn with_crashes(mut self, rule: CrashRule) -> Self {
        self.crash_rule = rule;
        for worker in &mut self.workers {
            worker.set_crash_rule(rule);
        }
        self
    }

    /// Lets workers answer renewals as late as they may.
    pub(crate) fn with_delayed_renewals(mut self) -> Self {
        self.delays_renewals = true;
        self
    }

    /// Lets workers answer renewals as late as they may, and bounds stops as deployments do: each seed has one of the bounds.
    pub(crate) fn with_late_answers(self, seed: u64) -> Self {
        let bounds = STOP_BOUNDS.len() as u64;
        // CAST: Less than the number of bounds.
        let max_stop_duration = STOP_BOUNDS[(seed % bounds) as usize];
        self.with_delayed_renewals()
            .with_settings(DispatchSettings {
                max_stop_duration,
                ..DispatchSettings::default()
            })
    }

    /// Replaces the first owner by one with these settings, which all later owners have too.
    pub(crate) fn with_settings(mut self, settings: DispatchSettings) -> Self {
        self.settings = settings;
        for worker in &mut self.workers {
            worker.set_max_lease(settings.max_lease_duration);
        }
        self.owners.clear();
        self.events.clear();
        self.replace_owner();
        self
    }

    pub(crate) fn with_attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        let configuration = configuration(attempts);
        self.owner().dispatcher.set_configuration(configuration);
        self
    }

    pub(crate) fn owner(&mut self) -> &mut Owner {
        self.owners.last_mut().expect("there is an owner")
    }

    /// Replaces the owner by one that takes over from the stored records. The former owner learns
    /// of it only from the workers.
    pub(crate) fn replace_owner(&mut self) {
        let former_token = self.owners.last().map(|former| former.dispatcher.token());
        let token = former_token.unwrap_or(0) + TOKENS_PER_OWNER;
        let mut dispatcher = Dispatcher::new(token, self.settings).with_former_token(former_token);
        dispatcher.set_configuration(self.configuration());
        dispatcher.note_wall(self.wall_of(self.owners.len()), self.now);
        let until = self.now + dispatcher.inherited_orders_lifetime(false);
        let inherited = former_token.is_some().then_some(until);
        let mut keys: Vec<WorkerKey> = Vec::with_capacity(self.workers.len());
        let recorded = self.recorded_workers.clone();
        if recorded.is_some() {
            dispatcher.require_recorded_workers();
        }
        let recorded = recorded.unwrap_or_else(|| self.workers_of_last_owner());
        for index in 0..self.workers.len() {
            let entry = self.entry(index);
            // The former owner's record of the worker comes first, then that of the registry.
            let mut recorded = recorded.iter();
            let recorded = recorded.find(|recorded| recorded.id == entry.id);
            keys.push(dispatcher.upsert_worker(recorded.unwrap_or(&entry).clone(), inherited));
            dispatcher.finish_recording(recorded.map(std::slice::from_ref).unwrap_or_default());
            match self.listed[index] {
                true => drop(dispatcher.upsert_worker(entry, inherited)),
                false => dispatcher.mark_unlisted(&entry.id),
            }
        }
        let unread = self.unread_jobs(self.owners.len());
        for (&key, (graph, cancelled)) in &self.jobs {
            if !unread.contains(&key) {
                dispatcher.add_job(key, accepted(graph, self.now, true));
            }
            if *cancelled {
                dispatcher.cancel_job(key);
            }
        }
        for (&key, record) in &self.records {
            dispatcher.restore_job(key, record);
        }
        self.owners.push(Owner {
            dispatcher,
            deposed: false,
            suspended_until: Duration::ZERO,
            claimed_at: self.now,
            last_confirmed_at: self.now,
            committing: false,
        });
        let owner = self.owners.len() - 1;
        self.delay_first_contacts(owner);
        for key in keys {
            self.push(Duration::ZERO, Event::RenewalDue(owner, key));
        }
    }

    pub(crate) fn submit(&mut self, number: u64, graph: JobGraph) -> JobKey {
        let key = JobKey::new(number);
        self.jobs.insert(key, (graph.clone(), false));
        if self.late_learning.is_some() {
            self.announce_late(key);
            return key;
        }
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

    /// Removes a worker for good: nothing listens at its address any more.
    pub(crate) fn remove_worker(&mut self, worker: usize) {
        self.workers[worker].restart(self.now);
        self.has_left[worker] = true;
        self.unreachable_until[worker] = Duration::MAX;
    }

    /// Removes the queue from the configuration; its jobs continue.
    pub(crate) fn remove_queue(&mut self) {
        self.queue_is_removed = true;
        let configuration = self.configuration();
        for owner in &mut self.owners {
            owner
                .dispatcher
                .set_configuration(Arc::clone(&configuration));
        }
    }

    fn configuration(&self) -> Arc<FleetConfiguration> {
        match self.queue_is_removed {
            true => Arc::new(FleetConfiguration::default()),
            false => configuration(self.attempts),
        }
    }

    /// Lets a worker announce that it will leave; it accepts no more tasks.
    pub(crate) fn drain_worker(&mut self, worker: usize) {
        self.workers[worker].record_mut().draining = true;
        self.announce_entry(worker);
    }

    /// Lets a worker leave for good; another one with its labels joins.
    pub(crate) fn leave_pool(&mut self, worker: usize) {
        self.remove_worker(worker);
        self.listed[worker] = false;
        let id = self.workers[worker].record().id.clone();
        for owner in &mut self.owners {
            owner.dispatcher.mark_unlisted(&id);
        }
        let labels = self.workers[worker].record().labels.clone();
        self.add_worker(labels);
    }

    /// Cuts a worker off from the owners and the store until `until`; the registry drops its entry meanwhile.
    pub(crate) fn cut_worker_off(&mut self, worker: usize, until: Duration) {
        self.unreachable_until[worker] = until;
        self.cut_off
            .push((worker, self.now + REGISTRY_EXPIRY, until));
    }

    /// Updates the registry's entries of the workers that are cut off from the store.
    fn follow_cuts(&mut self) {
        let now = self.now;
        for (worker, expires_at, until) in std::mem::take(&mut self.cut_off) {
            if self.workers[worker].is_down() || self.has_left[worker] {
                continue;
            }
            if now < until {
                if self.listed[worker] && now >= expires_at {
                    self.unlist_worker(worker);
                }
                self.cut_off.push((worker, expires_at, until));
                continue;
            }
            self.list_worker(worker);
        }
    }

    /// Lists a worker in the registry, as it is now.
    pub(crate) fn list_worker(&mut self, worker: usize) {
        self.listed[worker] = true;
        self.registered[worker] = self.workers[worker].record().incarnation;
        self.announce_entry(worker);
    }

    /// Returns what the registry holds of a worker.
    fn entry(&self, worker: usize) -> FleetWorker {
        FleetWorker {
            incarnation: self.registered[worker],
            ..self.workers[worker].record().clone()
        }
    }

    /// Lets the owners know what the registry holds of a worker.
    fn announce_entry(&mut self, worker: usize) {
        let entry = self.entry(worker);
        for owner in &mut self.owners {
            owner.dispatcher.upsert_worker(entry.clone(), None);
        }
    }

    /// Updates the registry's entries of the workers that have restarted.
    fn register_restarts(&mut self) {
        for worker in 0..self.workers.len() {
            let incarnation = self.workers[worker].record().incarnation;
            let is_due = self.now >= self.workers[worker].booted_at() + self.registration_delay;
            let is_known = self.registered[worker] == incarnation;
            if is_due && !is_known && self.is_reachable(worker) && !self.store_is_away {
                self.list_worker(worker);
            }
        }
    }

    /// Returns the wall-clock time of an owner.
    pub(super) fn wall_of(&self, owner: usize) -> Duration {
        let skew = CLOCK_SKEWS[owner % CLOCK_SKEWS.len()];
        (self.now + WALL_ORIGIN + skew).saturating_sub(MAX_CLOCK_SKEW)
    }

    /// Lets runs start only on workers that are on record for a successor, with their incarnation.
    pub(crate) fn with_recorded_workers(mut self) -> Self {
        self.owner().dispatcher.require_recorded_workers();
        self.recorded_workers = Some(Vec::new());
        self
    }

    fn workers_of_last_owner(&self) -> Vec<FleetWorker> {
        let Some(former) = self.owners.last() else {
            return Vec::new();
        };
        let keys = (0..former.dispatcher.worker_count()).map(WorkerKey::new);
        keys.map(|key| former.dispatcher.worker_record(key).clone())
            .collect()
    }

    /// Puts the workers of the current owner on record for a successor, at intervals.
    pub(super) fn record_workers(&mut self) {
        let interval = RECORDING_INTERVAL.as_millis();
        let is_due = self.now.as_millis().is_multiple_of(interval);
        if self.recorded_workers.is_none() || self.store_is_away || !is_due {
            return;
        }
        let records = self.owner().dispatcher.begin_recording();
        self.owner().dispatcher.finish_recording(&records);
        self.recorded_workers = Some(records);
    }

    /// Drops a worker from the registry.
    pub(crate) fn unlist_worker(&mut self, worker: usize) {
        self.listed[worker] = false;
        let id = self.workers[worker].record().id.clone();
        for owner in &mut self.owners {
            owner.dispatcher.mark_unlisted(&id);
        }
    }

    /// Returns whether a worker has left for good.
    pub(crate) fn has_left(&self, worker: usize) -> bool {
        self.has_left[worker]
    }

    /// Advances the time tick by tick, delivering messages and running all owners.
    pub(crate) fn run_for(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.lease_lapses.follow(&self.workers, self.now);
            self.deliver_due_events();
            self.learn_due_jobs();
            self.follow_crashes();
            self.follow_cuts();
            self.register_restarts();
            for owner in 0..self.owners.len() {
                self.run_owner(owner);
            }
        }
    }

    /// Changes a worker's capacity; the registry shows it at once.
    pub(crate) fn set_capacity(&mut self, worker: usize, capacity: ResourceAmount) {
        let former = self.workers[worker].record().capacity;
        let (until, tolerated) = self.tolerated[worker];
        // A capacity that shrinks twice is tolerated as it was before the first time.
        let tolerated = match self.now < until && former.fits_in(tolerated) {
            true => tolerated,
            false => former,
        };
        self.tolerated[worker] = (self.now + SHRINK_GRACE, tolerated);
        self.workers[worker].record_mut().capacity = capacity;
        self.announce_entry(worker);
    }

    /// Returns whether what a worker executes exceeds what a start may bring it to.
    pub(super) fn is_overfull(&self, worker: usize) -> bool {
        let (until, tolerated) = self.tolerated[worker];
        let used = self.workers[worker].used();
        let capacity = self.workers[worker].record().capacity;
        let is_tolerated = self.now < until && used.fits_in(tolerated);
        !used.fits_in(capacity) && !is_tolerated
    }

    /// Crashes a worker from outside.
    pub(crate) fn kill_worker(&mut self, worker: usize) {
        let now = self.now;
        self.workers[worker].advance_to(now);
        self.workers[worker].crash(now);
    }

    /// Removes workers that have crashed from the registry, and lets them come back.
    fn follow_crashes(&mut self) {
        let now = self.now;
        for worker in 0..self.workers.len() {
            self.workers[worker].advance_to(now);
            if !self.workers[worker].is_down() || self.has_left[worker] {
                continue;
            }
            self.unreachable_until[worker] = Duration::MAX;
            if self.down_since[worker].is_none() {
                self.break_gangs_of(worker);
            }
            let down_for = now - *self.down_since[worker].get_or_insert(now);
            if self.listed[worker] && down_for >= REGISTRY_EXPIRY {
                self.unlist_worker(worker);
            }
            if down_for >= CRASH_DOWNTIME {
                self.recover_worker(worker);
            }
        }
    }

    /// Ends the gangs of which members ran on a worker that has just crashed.
    fn break_gangs_of(&mut self, worker: usize) {
        let now = self.now;
        let Some((_, WorkerEvent::Crashed(tasks))) = self.workers[worker].events().last() else {
            return;
        };
        let is_gang = |task: &&TaskKey| {
            let job = self.jobs.get(&task.job());
            job.is_some_and(|(graph, _)| graph.steps[usize::from(task.step.step)].gang)
        };
        for task in tasks.clone().iter().filter(is_gang) {
            for other in &mut self.workers {
                other.break_gang(now, task.step);
            }
        }
    }

    fn recover_worker(&mut self, worker: usize) {
        let now = self.now;
        match self.crash_mode {
            CrashMode::SameIdentity => {
                self.workers[worker].restart(now);
                self.unreachable_until[worker] = now;
                self.down_since[worker] = None;
            }
            CrashMode::NewIdentity | CrashMode::Silent => {
                self.has_left[worker] = true;
                let rack = self.workers[worker].record().labels.clone();
                self.add_worker(rack);
            }
        }
    }

    /// Adds an empty worker with these labels.
    fn add_worker(&mut self, labels: Vec<Arc<str>>) {
        let number = self.workers.len();
        let capacity = ResourceAmount::new(4000, 4000);
        let mut worker = SimulatedWorker::new(&format!("worker-{number}"), capacity, 100, self.now);
        worker.set_crash_rule(self.crash_rule);
        worker.set_max_lease(self.settings.max_lease_duration);
        worker.set_wall_origin(WALL_ORIGIN);
        worker.record_mut().labels = labels;
        let record = worker.record().clone();
        self.workers.push(worker);
        self.registered.push(record.incarnation);
        self.unreachable_until.push(Duration::ZERO);
        self.has_left.push(false);
        self.down_since.push(None);
        self.listed.push(true);
        self.tolerated
            .push((Duration::ZERO, ResourceAmount::default()));
        for owner in 0..self.owners.len() {
            let dispatcher = &mut self.owners[owner].dispatcher;
            let key = dispatcher.upsert_worker(record.clone(), None);
            self.push(Duration::ZERO, Event::RenewalDue(owner, key));
        }
    }

    /// Returns whether a worker can be called.
    pub(crate) fn is_reachable(&self, worker: usize) -> bool {
        self.unreachable_until[worker] <= self.now && !self.workers[worker].is_down()
    }

    /// Distributes the workers over this many racks.
    pub(crate) fn spread_over_racks(&mut self, racks: usize) {
        for number in 0..self.workers.len() {
            let rack = format!("rack-{}", number % racks);
            self.workers[number].record_mut().labels = vec!["a".into(), rack.into()];
            self.announce_entry(number);
        }
    }

    /// Returns how many crashes are on record for a task.
    pub(crate) fn recorded_crashes(&self, task: TaskKey) -> usize {
        let record = self.records.get(&task.job());
        let tasks = record.iter().flat_map(|record| &record.crashes);
        let of_task = tasks.filter(|stored| {
            (stored.occurrence, stored.step, stored.index)
                == (task.step.occurrence, task.step.step, task.index)
        });
        of_task.map(|stored| stored.crashes.len()).sum()
    }

    /// Returns whether the record of a task says that it is about to start or has started.
    pub(crate) fn is_start_announced(&self, task: TaskKey) -> bool {
        let record = self.records.get(&task.job());
        let mut tasks = record.iter().flat_map(|record| &record.crashes);
        tasks.any(|stored| stored.index == task.index && stored.started_on.is_some())
    }

    /// Returns the tasks of which a run had begun less than a second before it was lost beside a
    /// task that crashed its worker, leaving out the task's first crashes.
    pub(crate) fn runs_lost_beside(&self, task: TaskKey, first_crashes: usize) -> Vec<TaskKey> {
        let events = self.workers.iter().flat_map(|worker| worker.events());
        let crashes = events.filter_map(|(at, event)| match event {
            WorkerEvent::Crashed(tasks) if tasks.contains(&task) => Some((*at, tasks)),
            _ => None,
        });
        let mut crashes: Vec<(Duration, &Vec<TaskKey>)> = crashes.collect();
        crashes.sort_unstable();
        let later = crashes.into_iter().skip(first_crashes);
        let lost = later.flat_map(|(at, tasks)| tasks.iter().map(move |task| (at, *task)));
        lost.filter(|(at, lost)| {
            let started_at = self.starts_of(*lost).into_iter().rfind(|start| start <= at);
            *lost != task && started_at.is_some_and(|start| *at < start + ms(1000))
        })
        .map(|(_, lost)| lost)
        .collect()
    }

    /// Returns how many workers crashed while they executed a task, before `until`.
    pub(crate) fn crash_count(&self, task: TaskKey, until: Duration) -> usize {
        let events = self.workers.iter().flat_map(|worker| worker.events());
        events
            .filter(|(at, event)| {
                *at < until && matches!(event, WorkerEvent::Crashed(tasks) if tasks.contains(&task))
            })
            .count()
    }

    /// Returns when runs of a task began, in their order.
    pub(crate) fn starts_of(&self, task: TaskKey) -> Vec<Duration> {
        let events = self.workers.iter().flat_map(|worker| worker.events());
        let mut starts: Vec<Duration> = events
            .filter(|(_, event)| matches!(event, WorkerEvent::Started(of, _) if *of == task))
            .map(|(at, _)| *at)
            .collect();
        starts.sort_unstable();
        starts
    }

    /// Returns how many runs of a job's tasks began.
    pub(crate) fn begin_count(&self, key: JobKey) -> usize {
        let events = self.workers.iter().flat_map(|worker| worker.events());
        events
            .filter(
                |(_, event)| matches!(event, WorkerEvent::Started(task, _) if task.job() == key),
            )
            .count()
    }

    /// Returns the violations of the invariants by what the workers did: no task runs twice at a
    /// time, and none begins after its completion was recorded.
    pub(crate) fn check_invariants(&mut self) -> Vec<String> {
        let now = self.now;
        for worker in &mut self.workers {
            worker.advance_to(now);
        }
        let mut events: Vec<(Duration, &WorkerEvent)> = Vec::new();
        for worker in &self.workers {
            events.extend(worker.events().iter().map(|(at, event)| (*at, event)));
        }
        events.sort_by_key(|(at, _)| *at);
        let mut running: IndexMap<TaskKey, u32> = IndexMap::new();
        let mut noted: IndexMap<TaskKey, Duration> = IndexMap::new();
        let mut violations = std::mem::take(&mut self.violations);
        for (at, event) in events {
            match event {
                WorkerEvent::Started(task, run) => {
                    let count = running.entry(*task).or_insert(0);
                    *count += 1;
                    if *count > 1 {
                        violations.push(format!("{task} runs twice at {at:?}, run {run}"));
                    }
                    if noted.contains_key(task) {
                        violations.push(format!("{task} began at {at:?} after its end was noted"));
                    }
                }
                WorkerEvent::Ended(task, ..) => {
                    let count = running.entry(*task).or_insert(1);
                    *count = count.saturating_sub(1);
                }
                WorkerEvent::Acknowledged(task, RunResult::Done) => {
                    noted.entry(*task).or_insert(at);
                }
                WorkerEvent::Acknowledged(..) | WorkerEvent::Crashed(_) => {}
            }
        }
        violations
    }
}

pub(super) fn accepted(graph: &JobGraph, now: Duration, inherited: bool) -> AcceptedJob {
    AcceptedJob {
        queue: "queue".into(),
        rule: configuration(3).queues.get("queue").cloned(),
        graph: Arc::new(graph.clone()),
        accepted: now,
        inherited,
    }
}
