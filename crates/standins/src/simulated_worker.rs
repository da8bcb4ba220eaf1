//! A simulated worker of the fleet's step-and-task model, driven by explicit times.

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
    StepKey,
    TaskKey, //
};

/// The time that a run takes to end after a stop order.
const STOP_DURATION: Duration = Duration::from_millis(40);
/// The longest lease that the worker accepts unless a test sets another.
const MAX_LEASE: Duration = Duration::from_secs(6);
/// The maximum number of completions in one renewal report.
const MAX_COMPLETIONS_PER_REPORT: usize = 500;

/// How long a simulated task runs, whether it fails, and which resources it uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskWork {
    /// The run time; [`Duration::MAX`] for a long-running task, which reports 100 percent progress from its start.
    pub run_time: Duration,
    /// Whether the task fails when its run time is over.
    pub fails: bool,
    /// The resources that the task uses on the worker.
    pub size: ResourceAmount,
}

/// An event on a worker, recorded for the checks of a test.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEvent {
    /// A run started.
    Started(TaskKey, RunNumber),
    /// A run ended.
    Ended(TaskKey, RunNumber, RunResult),
    /// The completion of a run was acknowledged by the owner.
    Acknowledged(TaskKey, RunResult),
    /// The worker crashed while it executed these tasks.
    Crashed(Vec<TaskKey>),
}

#[derive(Clone, Debug)]
struct StepRun {
    work: TaskWork,
    started: Duration,
    /// When the run ends because of a stop order; `None` without one.
    stops_at: Option<Duration>,
}

/// How long after its start a task crashes the worker that executes it; `None` for a task that does not.
pub type CrashRule = fn(TaskKey) -> Option<Duration>;

/// A simulated worker of the fleet's step-and-task model. It measures its lease on its own clock, rejects orders whose
/// fencing token is lower than the highest it has seen, reports each completion until it is acknowledged, and never
/// starts a run that was stopped before its start order arrived.
#[derive(Debug)]
pub struct SimulatedWorker {
    record: FleetWorker,
    /// The rate of the worker's clock, in hundredths of the true rate.
    clock_rate_percent: u32,
    /// The true time at which the incarnation began.
    booted_at: Duration,
    /// The wall-clock time since 1970 at the true time zero.
    wall_origin: Duration,
    /// The reading of the worker's clock when the incarnation began.
    clock_origin: Duration,
    /// The highest fencing token seen.
    token: u64,
    /// When the lease lapses, on the worker's clock.
    lease_end: Duration,
    /// How long after the lapse of its lease the worker ends its runs.
    lapse_delay: Duration,
    /// The longest lease that the worker accepts, on its own clock.
    max_lease: Duration,
    runs: IndexMap<(TaskKey, RunNumber), StepRun>,
    /// For each task, the highest run that ended or was stopped here.
    highest_runs: IndexMap<TaskKey, RunNumber>,
    /// The completions that are not acknowledged yet.
    completions: Vec<EndedRun>,
    /// The number of the latest completion.
    completion_count: u64,
    /// The highest number that was acknowledged. Completions up to it are never reported, also those that come later.
    acknowledged: u64,
    /// Returns how long after its start a task crashes the worker; `None` for most tasks.
    crash_rule: CrashRule,
    /// Whether the worker has crashed and was not restarted yet.
    down: bool,
    /// All events with the true time of each.
    events: Vec<(Duration, WorkerEvent)>,
}

impl SimulatedWorker {
    /// Creates a worker that boots at `now`, with a clock that runs at `clock_rate_percent` hundredths of the true
    /// rate.
    pub fn new(id: &str, capacity: ResourceAmount, clock_rate_percent: u32, now: Duration) -> Self {
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
            clock_rate_percent,
            booted_at: now,
            wall_origin: Duration::ZERO,
            clock_origin: Duration::ZERO,
            token: 0,
            lease_end: Duration::ZERO,
            lapse_delay: Duration::ZERO,
            max_lease: MAX_LEASE,
            runs: IndexMap::new(),
            highest_runs: IndexMap::new(),
            completions: Vec::new(),
            completion_count: 0,
            acknowledged: 0,
            crash_rule: |_| None,
            down: false,
            events: Vec::new(),
        }
    }

    /// Returns the record that the worker reports about itself.
    pub fn record(&self) -> &FleetWorker {
        &self.record
    }

    /// Returns the record that the worker reports about itself, for changes by a test.
    pub fn record_mut(&mut self) -> &mut FleetWorker {
        &mut self.record
    }

    /// Returns all events in the order of their recording, with the true time of each.
    pub fn events(&self) -> &[(Duration, WorkerEvent)] {
        &self.events
    }

    /// Replaces the rule by which tasks crash the worker.
    pub fn set_crash_rule(&mut self, rule: CrashRule) {
        self.crash_rule = rule;
    }

    /// Lets the worker end its runs this long after the lapse of its lease.
    pub fn set_lapse_delay(&mut self, lapse_delay: Duration) {
        self.lapse_delay = lapse_delay;
    }

    /// Replaces the longest lease that the worker accepts, on its own clock.
    pub fn set_max_lease(&mut self, max_lease: Duration) {
        self.max_lease = max_lease;
    }

    /// Replaces the reading that the worker's clock had at its start, before anything grants a lease.
    pub fn set_clock_origin(&mut self, clock_origin: Duration) {
        self.clock_origin = clock_origin;
        self.lease_end = clock_origin;
    }

    /// Returns whether the present incarnation has received a call with a fencing token.
    pub fn has_seen_token(&self) -> bool {
        self.token > 0
    }

    /// Returns the true time at which the lease lapses or has lapsed.
    pub fn lease_lapses_at(&self) -> Duration {
        self.true_time(self.lease_end)
    }

    /// Returns the reading of the worker's clock at this true time.
    pub fn clock_at(&self, now: Duration) -> Duration {
        self.local_time(now)
    }

    /// Sets the wall-clock time since 1970 at the true time zero, by which the worker dates its next incarnations.
    pub fn set_wall_origin(&mut self, wall_origin: Duration) {
        self.wall_origin = wall_origin;
    }

    /// Returns the true time at which the incarnation began.
    pub fn booted_at(&self) -> Duration {
        self.booted_at
    }

    /// Replaces the run time, measured from its start, of a run in progress.
    pub fn set_run_time(&mut self, task: TaskKey, run: RunNumber, run_time: Duration) {
        if let Some(run) = self.runs.get_mut(&(task, run)) {
            run.work.run_time = run_time;
        }
    }

    /// Returns whether the worker has crashed and was not restarted yet; a crashed worker must not be called.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Crashes the worker at `now`: its runs end without a completion.
    pub fn crash(&mut self, now: Duration) {
        let tasks = self.running_tasks();
        self.restart(now);
        self.down = true;
        self.events.push((now, WorkerEvent::Crashed(tasks)));
    }

    /// Ends the runs of a gang's members at `now` because another member has ended.
    pub fn break_gang(&mut self, now: Duration, step: StepKey) {
        let members: Vec<(TaskKey, RunNumber)> = self.runs.keys().copied().collect();
        for (task, run) in members {
            if task.step == step {
                self.end(now, task, run, RunResult::Broken);
            }
        }
    }

    /// Returns the tasks of the runs in progress.
    pub fn running_tasks(&self) -> Vec<TaskKey> {
        self.runs.keys().map(|&(task, _)| task).collect()
    }

    /// Returns the number of runs in progress.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the sum of the resources that the runs in progress use.
    pub fn used(&self) -> ResourceAmount {
        self.runs
            .values()
            .fold(ResourceAmount::default(), |sum, run| sum + run.work.size)
    }

    /// Restarts the worker under the same identity at `now`: its runs end as lapsed, its state is lost, and its clock reads
    /// zero. The recorded events and the rule by which tasks crash it stay.
    pub fn restart(&mut self, now: Duration) {
        for (task, run) in self.runs.keys().copied().collect::<Vec<_>>() {
            self.events
                .push((now, WorkerEvent::Ended(task, run, RunResult::Lapsed)));
        }
        let mut fresh = Self::new("", self.record.capacity, self.clock_rate_percent, now);
        fresh.record = FleetWorker {
            incarnation: Some(self.wall_origin + now),
            ..self.record.clone()
        };
        fresh.wall_origin = self.wall_origin;
        fresh.crash_rule = self.crash_rule;
        fresh.lapse_delay = self.lapse_delay;
        fresh.max_lease = self.max_lease;
        fresh.events = std::mem::take(&mut self.events);
        *self = fresh;
    }

    /// Starts a run, or returns the refusal of the order. Starting a run that is in progress has no effect.
    pub fn start(
        &mut self,
        now: Duration,
        token: u64,
        order: &StartOrder,
        deadline: Duration,
        work: TaskWork,
    ) -> OrderOutcome {
        self.advance_to(now);
        if let Some(refusal) = self.refuse_token(token) {
            return refusal;
        }
        let key = (order.task, order.run);
        if self.runs.contains_key(&key) {
            return OrderOutcome::Taken;
        }
        if self.local_time(now) > deadline {
            return OrderOutcome::Refused(OrderRefusal::Late);
        }
        self.extend_lease(now, deadline);
        if self.highest_runs.get(&order.task) >= Some(&order.run) {
            return OrderOutcome::Refused(OrderRefusal::Old);
        }
        self.events
            .push((now, WorkerEvent::Started(order.task, order.run)));
        let run = StepRun {
            work,
            started: now,
            stops_at: None,
        };
        self.runs.insert(key, run);
        OrderOutcome::Taken
    }

    /// Stops a run, or records that a run that never started here must not start any more.
    pub fn stop(
        &mut self,
        now: Duration,
        token: u64,
        task: TaskKey,
        run: RunNumber,
    ) -> OrderOutcome {
        self.advance_to(now);
        if let Some(refusal) = self.refuse_token(token) {
            return refusal;
        }
        match self.runs.get_mut(&(task, run)) {
            Some(state) => drop(state.stops_at.get_or_insert(now + STOP_DURATION)),
            None => self.record_highest_run(task, run),
        }
        OrderOutcome::Taken
    }

    /// Renews the lease and returns the runs in progress and the unacknowledged completions.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a fencing token that is lower than the highest seen.
    pub fn renew_lease(
        &mut self,
        now: Duration,
        token: u64,
        order: LeaseRenewal,
    ) -> Result<RenewalReport, OrderOutcome> {
        self.advance_to(now);
        if let Some(refusal) = self.refuse_token(token) {
            return Err(refusal);
        }
        if let Some(deadline) = order.deadline {
            self.extend_lease(now, deadline);
        }
        self.acknowledged = self.acknowledged.max(order.acknowledged);
        let mark = self.acknowledged;
        let acknowledged = self.completions.extract_if(.., |end| end.number <= mark);
        let acknowledged =
            acknowledged.map(|end| (now, WorkerEvent::Acknowledged(end.task, end.result)));
        self.events.extend(acknowledged);
        let running = self.runs.iter().map(|(&(task, run), state)| RunningTask {
            task,
            run,
            checkpoint: None,
            progress_percent: progress_percent(state, now),
            metric: None,
        });
        Ok(RenewalReport {
            clock: self.local_time(now),
            incarnation: self.record.incarnation,
            running: running.collect(),
            completions: self
                .completions
                .iter()
                .take(MAX_COMPLETIONS_PER_REPORT)
                .cloned()
                .collect(),
        })
    }

    /// Ends the runs that finish, are stopped or lose their lease up to `now`, or crashes the worker if one of them
    /// does so first.
    pub fn advance_to(&mut self, now: Duration) {
        while let Some(at) = self.next_crash().filter(|&at| at <= now) {
            self.end_runs(at);
            if self.next_crash() == Some(at) {
                self.crash(at);
            }
        }
        self.end_runs(now);
    }

    /// Returns when the worker crashes unless the task that causes it ends before.
    fn next_crash(&self) -> Option<Duration> {
        let crashes = self.runs.iter().filter_map(|((task, _), run)| {
            let after = (self.crash_rule)(*task)?;
            Some(run.started + after)
        });
        crashes.min()
    }

    fn end_runs(&mut self, now: Duration) {
        let lapse = self.true_time(self.lease_end) + self.lapse_delay;
        let mut ended: Vec<(Duration, (TaskKey, RunNumber), RunResult)> = Vec::new();
        for (&key, run) in &self.runs {
            let finishes_at = run.started.saturating_add(run.work.run_time);
            let result = if run.work.fails {
                RunResult::Failed
            } else {
                RunResult::Done
            };
            let ends = [
                (finishes_at, result),
                (run.stops_at.unwrap_or(Duration::MAX), RunResult::Stopped),
                (lapse, RunResult::Lapsed),
            ];
            let first = ends.into_iter().min_by_key(|(at, _)| *at);
            if let Some((at, result)) = first
                && at <= now
            {
                ended.push((at, key, result));
            }
        }
        ended.sort_by_key(|(at, ..)| *at);
        for (at, (task, run), result) in ended {
            self.end(at, task, run, result);
        }
    }

    fn end(&mut self, at: Duration, task: TaskKey, run: RunNumber, result: RunResult) {
        self.runs.swap_remove(&(task, run));
        self.record_highest_run(task, run);
        self.completion_count += 1;
        self.events
            .push((at, WorkerEvent::Ended(task, run, result)));
        if self.completion_count <= self.acknowledged {
            self.events
                .push((at, WorkerEvent::Acknowledged(task, result)));
            return;
        }
        self.completions.push(EndedRun {
            number: self.completion_count,
            task,
            run,
            result,
            checkpoint: None::<Arc<str>>,
        });
    }

    fn refuse_token(&mut self, token: u64) -> Option<OrderOutcome> {
        if token < self.token {
            return Some(OrderOutcome::Refused(OrderRefusal::Fenced));
        }
        self.token = token;
        None
    }

    fn record_highest_run(&mut self, task: TaskKey, run: RunNumber) {
        let highest_run = self.highest_runs.entry(task).or_insert(run);
        *highest_run = (*highest_run).max(run);
    }

    fn extend_lease(&mut self, now: Duration, deadline: Duration) {
        let longest = self.local_time(now) + self.max_lease;
        self.lease_end = self.lease_end.max(deadline.min(longest));
    }

    fn local_time(&self, now: Duration) -> Duration {
        self.clock_origin + now.saturating_sub(self.booted_at) * self.clock_rate_percent / 100
    }

    fn true_time(&self, local_time: Duration) -> Duration {
        let passed = local_time.saturating_sub(self.clock_origin);
        self.booted_at + passed * 100 / self.clock_rate_percent
    }
}

fn progress_percent(run: &StepRun, now: Duration) -> u32 {
    if run.work.run_time == Duration::MAX {
        return 100;
    }
    let share =
        now.saturating_sub(run.started).as_secs_f64() / run.work.run_time.as_secs_f64().max(0.001);
    // CAST: the conversion of a float to an integer saturates.
    (share * 100.0).min(100.0) as u32
}
