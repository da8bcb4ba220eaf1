//! The fleet as a test sees it.

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
    JobGraph,
    JobKey,
    JobProgress,
    ProgressRecord,
    RunEnd,
    TaskKey,
    WorkerKey, //
};
use jasminebend_standins::{
    StepWorker,
    TaskWork,
    WorkerDeed, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};

use super::{
    configuration,
    fleet_messages::Event,
    ms, //
};

pub(crate) const TICK: Duration = Duration::from_millis(10);

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

pub(crate) struct Owner {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) deposed: bool,
    pub(crate) frozen_until: Duration,
    pub(super) confirmed: Duration,
    pub(super) acted: Duration,
    pub(super) committing: bool,
}

pub(crate) struct Fleet {
    pub(crate) now: Duration,
    pub(crate) workers: Vec<StepWorker>,
    /// Until when each worker reaches nobody.
    pub(crate) cut_until: Vec<Duration>,
    pub(super) left: Vec<bool>,
    pub(crate) owners: Vec<Owner>,
    pub(crate) faults: Faults,
    /// What is on record.
    pub(crate) records: IndexMap<JobKey, ProgressRecord>,
    pub(crate) jobs: IndexMap<JobKey, (JobGraph, bool)>,
    pub(crate) work: fn(TaskKey) -> TaskWork,
    pub(crate) attempts: u32,
    pub(crate) broken: Vec<String>,
    pub(super) events: BTreeMap<(Duration, u64), Event>,
    pub(super) count: u64,
    pub(super) random: StdRng,
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
}

fn accepted(graph: &JobGraph, now: Duration, inherited: bool) -> AcceptedJob {
    AcceptedJob {
        queue: "queue".into(),
        graph: Arc::new(graph.clone()),
        accepted: now,
        inherited,
    }
}
