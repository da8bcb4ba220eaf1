//! A worker that runs the tasks of steps, as the users' platform has them.

use std::{
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_base::{
    DomainName,
    ResourceAmount, //
};
use jasminebend_dispatch::{
    EndedRun,
    FleetWorker,
    LeaseRenewal,
    OrderOutcome,
    OrderRefusal,
    RenewalReport,
    RunNumber,
    RunResult,
    RunningTask,
    StartOrder,
    TaskKey, //
};

/// The time that a stop takes.
const STOP: Duration = Duration::from_millis(40);
/// The longest lease that it grants, on its clock.
const LONGEST_LEASE: Duration = Duration::from_secs(6);
/// The most ends that are told at a time.
const ENDS_AT_A_TIME: usize = 500;

/// What a task does on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskWork {
    /// How long it runs; [`Duration::MAX`] for a task that lasts, and is at work from its start.
    pub lasts: Duration,
    /// Whether it fails at its end.
    pub fails: bool,
    /// What it takes of the worker.
    pub size: ResourceAmount,
}

/// What a worker did, seen from outside.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerDeed {
    /// A run began.
    Began(TaskKey, RunNumber),
    /// A run ended.
    Ended(TaskKey, RunNumber, RunResult),
    /// An end was acknowledged.
    Noted(TaskKey, RunResult),
}

#[derive(Clone, Debug)]
struct StepRun {
    work: TaskWork,
    began: Duration,
    stops: Option<Duration>,
}

/// A worker that runs the tasks of steps. It keeps a lease by its own clock, follows the highest token,
/// tells ends until they are acknowledged, and never runs what was stopped before it came.
#[derive(Debug)]
pub struct StepWorker {
    record: FleetWorker,
    /// How fast its clock goes, in hundredths.
    rate: u32,
    booted: Duration,
    token: u64,
    lease: Duration,
    runs: IndexMap<(TaskKey, RunNumber), StepRun>,
    highest: IndexMap<TaskKey, RunNumber>,
    ended: Vec<EndedRun>,
    ends: u64,
    deeds: Vec<(Duration, WorkerDeed)>,
}

impl StepWorker {
    /// Creates a worker that boots at `now` and whose clock goes at `rate` hundredths.
    pub fn new(id: &str, capacity: ResourceAmount, rate: u32, now: Duration) -> Self {
        Self {
            record: FleetWorker {
                id: id.into(),
                vm: None,
                pool: "pool".into(),
                address: id.to_owned(),
                domain: DomainName::from("domain-a"),
                labels: vec!["a".into(), "rack-1".into()],
                capacity,
                draining: false,
                incarnation: Some(now),
            },
            rate,
            booted: now,
            token: 0,
            lease: Duration::ZERO,
            runs: IndexMap::new(),
            highest: IndexMap::new(),
            ended: Vec::new(),
            ends: 0,
            deeds: Vec::new(),
        }
    }

    /// Returns what it says of itself.
    pub fn record(&self) -> &FleetWorker {
        &self.record
    }

    /// Returns what it says of itself, to be changed.
    pub fn record_mut(&mut self) -> &mut FleetWorker {
        &mut self.record
    }

    /// Returns what it did, with the true time of each deed.
    pub fn deeds(&self) -> &[(Duration, WorkerDeed)] {
        &self.deeds
    }

    /// Returns how many runs are there.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the processors and memory that its runs take.
    pub fn used(&self) -> ResourceAmount {
        self.runs
            .values()
            .fold(ResourceAmount::default(), |sum, run| sum + run.work.size)
    }

    /// Begins a new life under the same identity at `now`: all it knew is gone.
    pub fn reboot(&mut self, now: Duration) {
        for (task, run) in self.runs.keys().copied().collect::<Vec<_>>() {
            self.deeds
                .push((now, WorkerDeed::Ended(task, run, RunResult::Lapsed)));
        }
        let mut fresh = Self::new("", self.record.capacity, self.rate, now);
        fresh.record = FleetWorker {
            incarnation: Some(now),
            ..self.record.clone()
        };
        fresh.deeds = std::mem::take(&mut self.deeds);
        *self = fresh;
    }

    /// Starts a run.
    pub fn start(
        &mut self,
        now: Duration,
        token: u64,
        order: &StartOrder,
        deadline: Duration,
        work: TaskWork,
    ) -> OrderOutcome {
        self.settle(now);
        if let Some(refusal) = self.refuse_token(token) {
            return refusal;
        }
        let key = (order.task, order.run);
        if self.runs.contains_key(&key) {
            return OrderOutcome::Taken;
        }
        if self.clock(now) > deadline {
            return OrderOutcome::Refused(OrderRefusal::Late);
        }
        self.extend(now, deadline);
        if self.highest.get(&order.task) >= Some(&order.run) {
            return OrderOutcome::Refused(OrderRefusal::Old);
        }
        self.deeds
            .push((now, WorkerDeed::Began(order.task, order.run)));
        let run = StepRun {
            work,
            began: now,
            stops: None,
        };
        self.runs.insert(key, run);
        OrderOutcome::Taken
    }

    /// Stops a run.
    pub fn stop(
        &mut self,
        now: Duration,
        token: u64,
        task: TaskKey,
        run: RunNumber,
    ) -> OrderOutcome {
        self.settle(now);
        if let Some(refusal) = self.refuse_token(token) {
            return refusal;
        }
        match self.runs.get_mut(&(task, run)) {
            Some(state) => drop(state.stops.get_or_insert(now + STOP)),
            None => self.note_highest(task, run),
        }
        OrderOutcome::Taken
    }

    /// Renews the lease and tells what runs and has ended.
    ///
    /// # Errors
    ///
    /// The refusal of a token that is too low.
    pub fn hold(
        &mut self,
        now: Duration,
        token: u64,
        order: LeaseRenewal,
    ) -> Result<RenewalReport, OrderOutcome> {
        self.settle(now);
        if let Some(refusal) = self.refuse_token(token) {
            return Err(refusal);
        }
        if let Some(deadline) = order.deadline {
            self.extend(now, deadline);
        }
        let noted = self
            .ended
            .extract_if(.., |end| end.number <= order.acknowledged);
        let noted = noted.map(|end| (now, WorkerDeed::Noted(end.task, end.result)));
        self.deeds.extend(noted);
        let running = self.runs.iter().map(|(&(task, run), state)| RunningTask {
            task,
            run,
            checkpoint: None,
            progress_percent: percent(state, now),
            metric: None,
        });
        Ok(RenewalReport {
            clock: self.clock(now),
            incarnation: self.record.incarnation,
            running: running.collect(),
            completions: self.ended.iter().take(ENDS_AT_A_TIME).cloned().collect(),
        })
    }

    /// Brings its runs up to `now`.
    pub fn settle(&mut self, now: Duration) {
        let lapse = self.true_time(self.lease);
        let mut over: Vec<(Duration, (TaskKey, RunNumber), RunResult)> = Vec::new();
        for (&key, run) in &self.runs {
            let natural = run.began.saturating_add(run.work.lasts);
            let how = if run.work.fails {
                RunResult::Failed
            } else {
                RunResult::Done
            };
            let ends = [
                (natural, how),
                (run.stops.unwrap_or(Duration::MAX), RunResult::Stopped),
                (lapse, RunResult::Lapsed),
            ];
            let first = ends.into_iter().min_by_key(|(at, _)| *at);
            if let Some((at, how)) = first
                && at <= now
            {
                over.push((at, key, how));
            }
        }
        over.sort_by_key(|(at, ..)| *at);
        for (at, (task, run), how) in over {
            self.end(at, task, run, how);
        }
    }

    fn end(&mut self, at: Duration, task: TaskKey, run: RunNumber, result: RunResult) {
        self.runs.swap_remove(&(task, run));
        self.note_highest(task, run);
        self.ends += 1;
        self.ended.push(EndedRun {
            number: self.ends,
            task,
            run,
            result,
            checkpoint: None::<Arc<str>>,
        });
        self.deeds.push((at, WorkerDeed::Ended(task, run, result)));
    }

    fn refuse_token(&mut self, token: u64) -> Option<OrderOutcome> {
        if token < self.token {
            return Some(OrderOutcome::Refused(OrderRefusal::Fenced));
        }
        self.token = token;
        None
    }

    fn note_highest(&mut self, task: TaskKey, run: RunNumber) {
        let highest = self.highest.entry(task).or_insert(run);
        *highest = (*highest).max(run);
    }

    fn extend(&mut self, now: Duration, deadline: Duration) {
        let longest = self.clock(now) + LONGEST_LEASE;
        self.lease = self.lease.max(deadline.min(longest));
    }

    fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.booted) * self.rate / 100
    }

    fn true_time(&self, clock: Duration) -> Duration {
        self.booted + clock * 100 / self.rate
    }
}

fn percent(run: &StepRun, now: Duration) -> u32 {
    if run.work.lasts == Duration::MAX {
        return 100;
    }
    let share =
        now.saturating_sub(run.began).as_secs_f64() / run.work.lasts.as_secs_f64().max(0.001);
    // CAST: It saturates.
    (share * 100.0).min(100.0) as u32
}
