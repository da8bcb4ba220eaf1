//! Randomized simulation in which owners learn of jobs at different times, one run for each seed: owners are replaced while
//! the former ones go on for a while, workers are partitioned and restarted, orders are lost, delayed or unanswered, commits fail.

mod common;

use std::time::Duration;

use common::{
    Faults,
    Fleet,
    graph,
    learning_delay,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    JobOutcome,
    JobProgress,
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
const SEED_COUNT: u64 = 12;
/// The longest time before its claim at which a successor has read the jobs.
const MAX_READING_AGE: Duration = Duration::from_millis(1500);
const JOB_COUNT: u64 = 50;
/// The number of jobs between two restarts of workers: few enough that no job is given up for its crashes.
const RESTART_INTERVAL: u64 = 25;
/// The time that a worker takes to boot; a call in progress fails.
const BOOT_TIME: Duration = Duration::from_millis(800);

/// Returns work of one core that lasts between 0.1 s and 1 s, by the task's index.
fn short_work(task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(100 + u64::from(task.index) * 170 % 900),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

fn random_fleet(seed: u64, max_reading_age: Duration) -> Fleet {
    Fleet::new(4, seed)
        .with_work(short_work)
        .with_late_learning(seed, learning_delay(seed), max_reading_age)
}

/// Injects a random fault, or none. A replaced owner that is not suspended goes on for a while beside its successor.
fn inject_fault(fleet: &mut Fleet, random: &mut StdRng) {
    let worker = random.random_range(0..fleet.workers.len());
    let time = ms(random.random_range(200..9000));
    let now = fleet.now;
    match random.random_range(0..8) {
        0..4 => fleet.replace_owner(),
        4 => {
            fleet.owner().suspended_until = now + time / 4;
            fleet.replace_owner();
        }
        5 => fleet.owner().suspended_until = now + time / 2,
        6 => fleet.unreachable_until[worker] = now + time,
        _ => {}
    }
}

/// Restarts a random worker under its identity.
fn restart_worker(fleet: &mut Fleet, random: &mut StdRng) {
    let worker = random.random_range(0..fleet.workers.len());
    let now = fleet.now;
    fleet.workers[worker].advance_to(now);
    fleet.workers[worker].restart(now);
    // A booting worker does not answer.
    fleet.unreachable_until[worker] = fleet.unreachable_until[worker].max(now + BOOT_TIME);
}

/// Runs one seed; returns the violations found.
fn run_seed(seed: u64, mut fleet: Fleet) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    fleet.faults = Faults {
        lost: random.random_range(0..8),
        delayed: random.random_range(0..8),
        unanswered: random.random_range(0..10),
        failed_commits: random.random_range(0..30),
    };
    let mut jobs = Vec::new();
    for number in 0..JOB_COUNT {
        let steps = vec![step(random.random_range(1..6), &[]), step(2, &[0])];
        jobs.push(fleet.submit(number + 1, graph(steps)));
        fleet.run_for(ms(random.random_range(0..300)));
        if number % 3 == 0 {
            inject_fault(&mut fleet, &mut random);
        }
        if number % RESTART_INTERVAL == 5 {
            restart_worker(&mut fleet, &mut random);
        }
        fleet.run_for(ms(random.random_range(0..300)));
    }
    fleet.faults = Faults::default();
    fleet.run_for(ms(40_000));
    let mut violations = fleet.check_invariants();
    violations.extend(fleet.starts_after_acknowledged_ends());
    for job in jobs {
        let progress = fleet.progress(job);
        if progress != Some(JobProgress::Ended(JobOutcome::Completed)) {
            violations.push(format!("job {job} has not completed: {progress:?}"));
        }
    }
    violations.extend(fleet.unacknowledged_ends());
    violations
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Checks that no seed violates an invariant.
fn check_seeds(fleet: impl Fn(u64) -> Fleet) {
    let count = env_number("JASMINEBEND_DAYS").unwrap_or(SEED_COUNT);
    let first = env_number("JASMINEBEND_FIRST_DAY").unwrap_or(0);
    let violations: Vec<(u64, Vec<String>)> = (first..first + count)
        .map(|seed| (seed, run_seed(seed, fleet(seed))))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    let seeds: Vec<u64> = violations.iter().map(|(seed, _)| *seed).collect();
    assert!(
        violations.is_empty(),
        "{} of {count}: {seeds:?}: {:#?}",
        violations.len(),
        violations.first()
    );
}

/// Guards against a task that starts again after its end was acknowledged: its former owner learned of the job before the
/// successor did.
#[test]
fn jobs_learned_at_different_times_violate_no_invariant() {
    check_seeds(|seed| random_fleet(seed, Duration::ZERO));
}

/// Guards against the same while workers answer renewals as late as they may.
#[test]
fn jobs_learned_at_different_times_with_late_answers_violate_no_invariant() {
    check_seeds(|seed| random_fleet(seed, Duration::ZERO).with_late_answers(seed));
}

/// Guards against a task that starts again although the successor has read its end on record: the successor had read the jobs
/// before.
#[test]
fn jobs_read_before_the_claim_violate_no_invariant() {
    check_seeds(|seed| random_fleet(seed, MAX_READING_AGE));
}
