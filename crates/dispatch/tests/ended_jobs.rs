//! Randomized simulation of jobs that are cancelled or fail, one run for each seed: owners are replaced and suspended,
//! workers crash, are partitioned, shrink and grow, orders are lost, delayed or unanswered. The invariant: while all is
//! calm, no worker goes on executing a task of a job that is over.

mod common;

use std::time::Duration;

use common::{
    CrashMode,
    Faults,
    Fleet,
    TICK,
    graph,
    ms,
    step, //
};
use indexmap::IndexMap;
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    JobGraph,
    JobKey,
    JobProgress,
    StepSpec,
    TaskKey, //
};
use jasminebend_standins::TaskWork;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

/// The number of seeds in a usual test run; `JASMINEBEND_DAYS` overrides it, and
/// `JASMINEBEND_FIRST_DAY` sets the first one.
const SEED_COUNT: u64 = 24;
/// The number of seeds whose workers answer renewals late in a usual test run.
const LATE_SEED_COUNT: u64 = 12;
const WORKER_COUNT: usize = 5;
const ROUND_COUNT: u64 = 4;
const JOBS_PER_ROUND: u64 = 5;
/// How long after the faults have ended the consequences may last: an order in flight, and the lease of a worker that an
/// owner could not reach.
const RECOVERY_TIME: Duration = Duration::from_millis(8000);
/// How long the runs of a job that is over may go on: 2.5 s until they are ordered to stop, and a
/// moment for the stop, which takes these workers 40 ms.
const STOP_LIMIT: Duration = Duration::from_millis(2600);
/// The part of that time within which they must be ordered to stop.
const ORDER_LIMIT: Duration = Duration::from_millis(2500);
/// How long all is calm, so that cancellations at its beginning have taken effect at its end.
const CALM_TIME: Duration = Duration::from_millis(9000);

/// Returns how long after its start a task crashes its worker: the first task of every eighth job
/// does.
fn crash_delay(task: TaskKey) -> Option<Duration> {
    let is_crashing = task.index == 0 && task.job().to_string().ends_with(['0', '8']);
    is_crashing.then_some(ms(10))
}

/// Returns endless work for the first step of a job, and for the second work of up to 2 s, which
/// fails in some jobs.
fn endless_first_step(task: TaskKey) -> TaskWork {
    let run_time = match task.step.step {
        0 => Duration::MAX,
        _ => ms(100 + u64::from(task.index) * 170 % 1900),
    };
    TaskWork {
        run_time,
        fails: task.step.step == 1 && task.job().to_string().ends_with(['1', '6', 'b']),
        size: ResourceAmount::new(1000, 100),
    }
}

fn random_job(random: &mut StdRng) -> JobGraph {
    let long_running = StepSpec {
        long_running: true,
        max_unavailable: random.random_range(0..3),
        ..step(random.random_range(1..5), &[])
    };
    let long_running = match random.random_range(0..4) {
        0 => StepSpec {
            gang: true,
            ..long_running
        },
        _ => long_running,
    };
    graph(vec![long_running, step(random.random_range(1..4), &[])])
}

/// Injects a random fault, or none.
fn inject_fault(fleet: &mut Fleet, random: &mut StdRng) {
    let worker = random.random_range(0..fleet.workers.len());
    let time = ms(random.random_range(200..9000));
    let now = fleet.now;
    match random.random_range(0..10) {
        0 => fleet.replace_owner(),
        1 => {
            fleet.owner().suspended_until = now + time;
            fleet.replace_owner();
        }
        2 => fleet.owner().suspended_until = now + time / 3,
        3 if fleet.is_reachable(worker) => fleet.unreachable_until[worker] = now + time,
        4 if fleet.is_reachable(worker) => fleet.kill_worker(worker),
        5 | 6 => {
            let cores = random.random_range(0..5);
            fleet.set_capacity(worker, ResourceAmount::new(cores * 1000, 4000));
        }
        _ => {}
    }
}

/// Ends all faults: what is cut off is reachable again, and the present owner runs.
fn end_faults(fleet: &mut Fleet) {
    fleet.faults = Faults::default();
    fleet.refused_orders = 0;
    let now = fleet.now;
    fleet.owner().suspended_until = now;
    for until in &mut fleet.unreachable_until {
        if *until != Duration::MAX {
            *until = now;
        }
    }
}

/// The runs of jobs that are over, each with its worker, and since when it may no longer go on.
#[derive(Default)]
struct EndedJobRuns {
    since: IndexMap<(usize, TaskKey), Duration>,
}

impl EndedJobRuns {
    /// Records the runs that a worker in contact executes for jobs that are over; returns those that went on for too
    /// long.
    fn update(&mut self, fleet: &mut Fleet) -> Vec<String> {
        let now = fleet.now;
        let mut since = IndexMap::new();
        for worker in 0..fleet.workers.len() {
            if !fleet.is_reachable(worker) {
                continue;
            }
            for task in fleet.workers[worker].running_tasks() {
                if is_over(fleet, task.job()) {
                    let known = self.since.get(&(worker, task)).copied();
                    since.insert((worker, task), known.unwrap_or(now));
                }
            }
        }
        self.since = since;
        let overdue = self
            .since
            .iter()
            .filter(|(_, since)| now > **since + STOP_LIMIT);
        overdue
            .map(|((worker, task), since)| {
                format!("worker-{worker} executes {task} since {since:?}, at {now:?}")
            })
            .collect()
    }
}

fn is_over(fleet: &mut Fleet, job: JobKey) -> bool {
    fleet.jobs[&job].1 || matches!(fleet.progress(job), Some(JobProgress::Ended(_)))
}

/// Returns the jobs, of these, of whose runs the owner still holds some.
fn held_jobs(fleet: &mut Fleet, jobs: &[JobKey]) -> Vec<String> {
    let dispatcher = &fleet.owner().dispatcher;
    let held = jobs
        .iter()
        .filter(|job| dispatcher.job_run_count(**job) > 0);
    held.map(|job| format!("runs of {job} are held")).collect()
}

/// Runs the fleet, cancelling a job at random at times; returns the first violation found.
fn run_calm(fleet: &mut Fleet, random: &mut StdRng, jobs: &[JobKey]) -> Vec<String> {
    let mut runs = EndedJobRuns::default();
    let over: Vec<JobKey> = jobs
        .iter()
        .copied()
        .filter(|job| is_over(fleet, *job))
        .collect();
    let until = fleet.now + CALM_TIME;
    while fleet.now < until {
        fleet.run_for(TICK);
        let overdue = runs.update(fleet);
        if !overdue.is_empty() {
            return overdue;
        }
        if random.random_range(0..150) == 0 {
            fleet.cancel(jobs[random.random_range(0..jobs.len())]);
        }
    }
    held_jobs(fleet, &over)
}

fn prompt_fleet(seed: u64) -> Fleet {
    Fleet::new(WORKER_COUNT, seed)
        .with_work(endless_first_step)
        .with_crashes(crash_delay)
}

fn late_fleet(seed: u64) -> Fleet {
    prompt_fleet(seed).with_late_answers(seed)
}

/// Runs one seed; returns the violations found.
fn run_seed(seed: u64, mut fleet: Fleet) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    fleet.crash_mode = [
        CrashMode::NewIdentity,
        CrashMode::SameIdentity,
        CrashMode::Silent,
    ][random.random_range(0..3)];
    let mut jobs = Vec::new();
    for _ in 0..ROUND_COUNT {
        fleet.faults = Faults {
            lost: random.random_range(0..15),
            delayed: random.random_range(0..15),
            unanswered: random.random_range(0..15),
            failed_commits: random.random_range(0..30),
        };
        fleet.refused_orders = random.random_range(0..30);
        for _ in 0..JOBS_PER_ROUND {
            let graph = random_job(&mut random);
            jobs.push(fleet.submit(jobs.len() as u64 + 1, graph));
            inject_fault(&mut fleet, &mut random);
            fleet.run_for(ms(random.random_range(50..1500)));
            if random.random_range(0..2) == 0 {
                fleet.cancel(jobs[random.random_range(0..jobs.len())]);
            }
            inject_fault(&mut fleet, &mut random);
            fleet.run_for(ms(random.random_range(10..800)));
        }
        end_faults(&mut fleet);
        fleet.run_for(RECOVERY_TIME);
        let violations = run_calm(&mut fleet, &mut random, &jobs);
        if !violations.is_empty() {
            return violations;
        }
    }
    Vec::new()
}

/// Checks that no seed violates the invariant; the number of seeds is that of a usual test run.
fn check_seeds(seed_count: u64, fleet_of: fn(u64) -> Fleet) {
    let setting = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seed_count: u64 = setting("JASMINEBEND_DAYS").unwrap_or(seed_count);
    let first_seed: u64 = setting("JASMINEBEND_FIRST_DAY").unwrap_or(0);
    let violations: Vec<(u64, Vec<String>)> = (first_seed..first_seed + seed_count)
        .map(|seed| (seed, run_seed(seed, fleet_of(seed))))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    assert!(
        violations.is_empty(),
        "{} of {seed_count}: {violations:#?}",
        violations.len()
    );
}

/// Guards against runs that go on although their job was cancelled or has failed.
#[test]
fn no_run_outlives_its_job_while_all_is_calm() {
    check_seeds(SEED_COUNT, prompt_fleet);
}

/// Guards against the same, and against runs that are held although they are over, while workers answer renewals as late
/// as they may.
#[test]
fn no_run_outlives_its_job_while_answers_are_late() {
    check_seeds(LATE_SEED_COUNT, late_fleet);
}

/// Runs a job for a moment, then cancels it while `disturb` keeps its worker, which answers lease renewals, from taking
/// orders for `phase`. Returns whether its runs are over once the worker has taken orders for `time`.
fn is_stopped(disturb: fn(&mut Fleet), phase: Duration, time: Duration) -> bool {
    let mut fleet = Fleet::new(1, 1).with_work(endless_first_step);
    let long_running = StepSpec {
        long_running: true,
        ..step(3, &[])
    };
    let job = fleet.submit(1, graph(vec![long_running]));
    fleet.run_for(ms(1000));
    assert_eq!(fleet.workers[0].run_count(), 3);
    disturb(&mut fleet);
    fleet.cancel(job);
    fleet.run_for(phase);
    end_faults(&mut fleet);
    fleet.run_for(time);
    fleet.workers[0].run_count() == 0
}

/// Guards against runs of a cancelled job that go on at a worker which answers: stops that were lost were repeated only
/// after 3.2 s.
#[test]
fn lost_stops_are_repeated_in_time() {
    for phase in (0..9000).step_by(100) {
        let lose_orders: fn(&mut Fleet) = |fleet| fleet.faults.lost = 100;
        assert!(
            is_stopped(lose_orders, ms(phase), ORDER_LIMIT),
            "after {phase} ms"
        );
    }
}

/// Guards against the same at a worker that is unwell for a while, and refuses stops.
#[test]
fn refused_stops_are_repeated_at_once() {
    for phase in (0..9000).step_by(100) {
        let refuse_orders: fn(&mut Fleet) = |fleet| fleet.refused_orders = 100;
        assert!(
            is_stopped(refuse_orders, ms(phase), ms(600)),
            "after {phase} ms"
        );
    }
}
