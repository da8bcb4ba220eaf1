//! Long-running jobs that are cancelled while daemons, workers and the store fail at random, one run for each seed.
//! Time is simulated: it advances only while all tasks wait.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    time::Duration, //
};

use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    JobGraph,
    JobKey,
    TaskKey, //
};
use jasminebend_fleet::{
    CallerAnswer,
    CallerVerb, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::time;

use crate::test_fleet::{
    TestDaemon,
    TestFleet,
    job,
    run_simulated,
    send_request, //
};

/// The number of seeds in a usual test run; `JASMINEBEND_DAYS` overrides it, and `JASMINEBEND_FIRST_DAY` sets the first
/// one.
const SEED_COUNT: u64 = 6;
const DAEMON_COUNT: usize = 3;
const WORKER_COUNT: usize = 4;
const ROUND_COUNT: u32 = 3;
const EVENTS_PER_ROUND: u32 = 8;
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How long after the faults have ended their consequences may last.
const RECOVERY_TIME: Duration = Duration::from_secs(10);
const CALM_TIME: Duration = Duration::from_secs(9);
/// How long the runs of a job may go on after its cancellation was acknowledged: 2.5 s until they are ordered to stop,
/// and a moment for the stop, which takes these workers 40 ms.
const STOP_LIMIT: Duration = Duration::from_millis(2600);

/// Returns how long after its start a task crashes its worker: the first task of every eighth job does.
fn crash_delay(task: TaskKey) -> Option<Duration> {
    let is_crashing = task.index == 0 && task.job().to_string().ends_with(['0', '8']);
    is_crashing.then_some(Duration::from_millis(10))
}

/// A fleet under random faults, and what its callers were told.
struct Trial {
    fleet: TestFleet,
    daemons: Vec<TestDaemon>,
    random: StdRng,
    /// The accepted jobs, and when the cancellation of each was acknowledged, if it was.
    jobs: BTreeMap<u64, Option<time::Instant>>,
    job_count: u64,
    /// The workers that the registry does not list.
    unlisted: Vec<usize>,
    /// The runs of cancelled jobs, each with its worker, and since when they have gone on.
    surplus_since: BTreeMap<(String, TaskKey), time::Instant>,
}

impl Trial {
    fn new(seed: u64) -> Self {
        let fleet = TestFleet::with_runtime_clock(WORKER_COUNT);
        fleet.workers.run_time.set(Duration::MAX);
        fleet.workers.set_crash_rule(crash_delay);
        let daemons = (0..DAEMON_COUNT).map(|_| fleet.daemon()).collect();
        Self {
            fleet,
            daemons,
            random: StdRng::seed_from_u64(seed),
            jobs: BTreeMap::new(),
            job_count: 0,
            unlisted: Vec::new(),
            surplus_since: BTreeMap::new(),
        }
    }

    fn any_daemon(&mut self) -> usize {
        self.random.random_range(0..self.daemons.len())
    }

    fn random_job(&mut self) -> JobGraph {
        let mut graph = job(&[(self.random.random_range(1..5), &[])]);
        graph.steps[0].long_running = true;
        graph
    }

    async fn submit(&mut self) {
        self.job_count += 1;
        let number = self.job_count;
        let verb = CallerVerb::Submit(self.random_job());
        let daemon = self.any_daemon();
        if send_request(&self.daemons[daemon].job_api, number, verb).await == CallerAnswer::Done {
            self.jobs.insert(number, None);
        }
    }

    /// Cancels a job at random.
    async fn cancel(&mut self) {
        if self.jobs.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.jobs.len());
        let Some(number) = self.jobs.keys().nth(index).copied() else {
            return;
        };
        let daemon = self.any_daemon();
        let answer = send_request(&self.daemons[daemon].job_api, number, CallerVerb::Cancel).await;
        if matches!(answer, CallerAnswer::Done | CallerAnswer::NoJob) {
            let acknowledged = self.jobs.entry(number).or_default();
            acknowledged.get_or_insert(time::Instant::now());
        }
    }

    /// Injects a random fault, or none.
    async fn inject_fault(&mut self) {
        let daemon = self.any_daemon();
        let number = self.random.random_range(0..WORKER_COUNT);
        let worker = format!("worker-{number}");
        let part = format!("j{}", self.random.random_range(0..16));
        let client = &self.daemons[daemon].store_client;
        match self.random.random_range(0..20) {
            0 => {
                self.daemons[daemon].kill();
                self.daemons[daemon] = self.fleet.daemon();
            }
            1 => {
                let replaced = std::mem::replace(&mut self.daemons[daemon], self.fleet.daemon());
                tokio::task::spawn_local(replaced.stop());
            }
            2 => client.go_silent(),
            3 => client.lose_connections(),
            4 => client.refuses_calls.set(true),
            5 => client.forget_history(),
            6 => client.lost_answers.set(2),
            7 => {
                let mut random = self.random.random_range(2..250);
                for client in self.daemons.iter().map(|daemon| &daemon.store_client) {
                    client.read_latency.set(Duration::from_millis(random));
                    client.job_read_latency.set(Duration::from_millis(random));
                    random = 250 - random.min(240);
                }
            }
            8 => {
                for client in self.daemons.iter().map(|daemon| &daemon.store_client) {
                    client.failing_parts.borrow_mut().push(part.clone());
                }
            }
            9 => client.failing_parts.borrow_mut().push(part),
            10 => self.fleet.workers.partition(&worker),
            11 => self.fleet.workers.lose_connections(),
            12 => drop(
                self.fleet
                    .workers
                    .with_worker(&worker, |worker, now| worker.crash(now)),
            ),
            13 => {
                let cores = self.random.random_range(0..5);
                let capacity = ResourceAmount::new(cores * 1000, 4000);
                self.fleet.store.set_capacity(number, capacity);
            }
            14 | 15 => self.fleet.workers.order_fault_percent.set(20),
            16 => {
                self.fleet.store.set_listed(number, false);
                self.unlisted.push(number);
            }
            17 => {
                let latency = Duration::from_millis(self.random.random_range(2..250));
                for client in self.daemons.iter().map(|daemon| &daemon.store_client) {
                    client.commit_latency.set(latency);
                }
            }
            _ => {}
        }
    }

    fn end_faults(&mut self) {
        for worker in self.unlisted.drain(..) {
            self.fleet.store.set_listed(worker, true);
        }
        self.fleet.workers.heal();
        self.fleet.workers.order_fault_percent.set(0);
        for client in self.daemons.iter().map(|daemon| &daemon.store_client) {
            client.answer_again();
            client.refuses_calls.set(false);
            client.failing_parts.borrow_mut().clear();
            client.lost_answers.set(0);
            client.commit_latency.set(Duration::from_millis(2));
            client.read_latency.set(Duration::from_millis(2));
            client.job_read_latency.set(Duration::from_millis(2));
        }
    }

    /// Returns the runs of jobs whose cancellation was acknowledged that have gone on for too long since. A run that a
    /// worker started late counts from its start.
    fn overdue_runs(&mut self) -> Vec<String> {
        let now = time::Instant::now();
        let cancelled = |task: TaskKey| {
            let mut jobs = self.jobs.iter();
            jobs.any(|(number, acknowledged)| {
                JobKey::new(*number) == task.job() && acknowledged.is_some()
            })
        };
        let mut surplus_since = BTreeMap::new();
        for run in self.fleet.workers.running_tasks() {
            if cancelled(run.1) {
                let since = self.surplus_since.get(&run).copied();
                surplus_since.insert(run, since.unwrap_or(now));
            }
        }
        self.surplus_since = surplus_since;
        let overdue = self.surplus_since.iter();
        overdue
            .filter(|(_, since)| since.elapsed() > STOP_LIMIT)
            .map(|((worker, task), since)| {
                format!("{worker} executes {task}, for {:?}", since.elapsed())
            })
            .collect()
    }

    /// Lets time pass without faults; returns the violations at its end.
    async fn recover(&mut self) -> Vec<String> {
        let until = time::Instant::now() + RECOVERY_TIME;
        while time::Instant::now() < until {
            time::sleep(CHECK_INTERVAL).await;
            self.overdue_runs();
        }
        self.overdue_runs()
    }

    /// Runs without faults, cancelling jobs at random; returns the first violation found.
    async fn run_calm(&mut self) -> Vec<String> {
        let until = time::Instant::now() + CALM_TIME;
        while time::Instant::now() < until {
            time::sleep(CHECK_INTERVAL).await;
            let overdue = self.overdue_runs();
            if !overdue.is_empty() {
                return overdue;
            }
            if self.random.random_range(0..30) == 0 {
                self.cancel().await;
            }
        }
        Vec::new()
    }

    async fn run(&mut self) -> Vec<String> {
        time::sleep(Duration::from_secs(3)).await;
        for _ in 0..ROUND_COUNT {
            for _ in 0..EVENTS_PER_ROUND {
                self.submit().await;
                self.inject_fault().await;
                let pause = self.random.random_range(10..1500);
                time::sleep(Duration::from_millis(pause)).await;
                if self.random.random_range(0..2) == 0 {
                    self.cancel().await;
                }
                if self.random.random_range(0..4) == 0 {
                    self.end_faults();
                }
                self.overdue_runs();
            }
            self.end_faults();
            let late = self.recover().await;
            if !late.is_empty() {
                return late;
            }
            let violations = self.run_calm().await;
            if !violations.is_empty() {
                return violations;
            }
        }
        Vec::new()
    }
}

fn run_seed(seed: u64) -> Vec<String> {
    let violations = RefCell::new(Vec::new());
    run_simulated(async {
        violations.replace(Trial::new(seed).run().await);
    });
    violations.into_inner()
}

/// Guards against runs that go on although a daemon has acknowledged the cancellation of their job.
#[test]
fn no_run_outlives_its_cancelled_job_while_all_is_calm() {
    let setting = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seed_count: u64 = setting("JASMINEBEND_DAYS").unwrap_or(SEED_COUNT);
    let first_seed: u64 = setting("JASMINEBEND_FIRST_DAY").unwrap_or(0);
    let violations: Vec<(u64, Vec<String>)> = (first_seed..first_seed + seed_count)
        .map(|seed| (seed, run_seed(seed)))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    assert!(
        violations.is_empty(),
        "{} of {seed_count}: {violations:#?}",
        violations.len()
    );
}
