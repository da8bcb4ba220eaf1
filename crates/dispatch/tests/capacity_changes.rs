//! Workers whose capacity shrinks and grows while tasks run on them.

mod common;

use std::time::Duration;

use common::{
    Faults,
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    JobKey,
    JobOutcome,
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

const FULL_CORES: u64 = 4;
const SHRUNK_CORES: u64 = 2;

fn cores(count: u64) -> ResourceAmount {
    ResourceAmount::new(count * 1000, 4000)
}

/// Returns work of one core that lasts between 0.3 s and 1 s, by the task's index.
fn short_work(task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(300 + u64::from(task.index) * 110 % 700),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

fn completed() -> Option<JobProgress> {
    Some(JobProgress::Ended(JobOutcome::Completed))
}

/// Guards against starts that bring a worker over its capacity after it has shrunk below what runs
/// there, and against capacity that stays unused after it has grown again.
#[test]
fn shrunk_worker_gets_no_start_beyond_its_capacity() {
    let mut fleet = Fleet::new(2, 1).with_work(short_work);
    let job = fleet.submit(1, graph(vec![step(60, &[])]));
    fleet.run_for(ms(500));
    assert!(fleet.workers[0].run_count() > 2);
    fleet.set_capacity(0, cores(SHRUNK_CORES));
    fleet.run_for(ms(2000));
    assert!(fleet.workers[0].run_count() <= 2);
    fleet.set_capacity(0, cores(FULL_CORES));
    fleet.run_for(ms(1000));
    assert!(fleet.workers[0].run_count() > 2);
    fleet.run_for(ms(20_000));
    assert_eq!(fleet.progress(job), completed());
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against a successor that fills a worker up to the capacity that it had under its former
/// owner.
#[test]
fn successor_fills_a_shrunk_worker_to_its_present_capacity() {
    let mut fleet = Fleet::new(2, 2).with_work(short_work);
    let job = fleet.submit(1, graph(vec![step(200, &[])]));
    fleet.run_for(ms(500));
    fleet.set_capacity(0, cores(SHRUNK_CORES));
    fleet.replace_owner();
    fleet.run_for(ms(60_000));
    assert_eq!(fleet.progress(job), completed());
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against a worker that gets no start any more after it has shrunk to nothing for a while.
#[test]
fn worker_without_any_capacity_is_used_again_once_it_has_some() {
    let mut fleet = Fleet::new(1, 3).with_work(short_work);
    let job = fleet.submit(1, graph(vec![step(20, &[])]));
    fleet.run_for(ms(300));
    fleet.set_capacity(0, ResourceAmount::default());
    fleet.run_for(ms(10_000));
    assert_eq!(fleet.workers[0].run_count(), 0);
    fleet.set_capacity(0, cores(FULL_CORES));
    fleet.run_for(ms(10_000));
    assert_eq!(fleet.progress(job), completed());
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Runs one seed in which capacities change at random under lost and late orders, takeovers and
/// partitions; returns the violations found.
fn run_seed(seed: u64) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(4, seed).with_work(short_work);
    fleet.faults = Faults {
        lost: random.random_range(0..10),
        delayed: random.random_range(0..10),
        unanswered: random.random_range(0..10),
        failed_commits: random.random_range(0..20),
    };
    let jobs: Vec<JobKey> = (1..12)
        .map(|number| {
            let job = fleet.submit(number, graph(vec![step(random.random_range(1..20), &[])]));
            let worker = random.random_range(0..fleet.workers.len());
            let count = random.random_range(0..5);
            fleet.set_capacity(worker, cores(count));
            match random.random_range(0..6) {
                0 => fleet.replace_owner(),
                1 => {
                    fleet.unreachable_until[worker] = fleet.now + ms(random.random_range(200..7000))
                }
                _ => {}
            }
            fleet.run_for(ms(random.random_range(50..3000)));
            job
        })
        .collect();
    fleet.faults = Faults::default();
    for worker in 0..fleet.workers.len() {
        fleet.set_capacity(worker, cores(FULL_CORES));
    }
    fleet.run_for(Duration::from_secs(45));
    let mut violations = fleet.check_invariants();
    for job in jobs {
        if fleet.progress(job) != completed() {
            violations.push(format!("job {job}: {:?}", fleet.progress(job)));
        }
    }
    violations
}

/// Guards against starts beyond a changed capacity under faults that overlap.
#[test]
fn changing_capacities_violate_no_invariant() {
    let violations: Vec<(u64, Vec<String>)> = (0..60)
        .map(|seed| (seed, run_seed(seed)))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against a filler that starts on a worker whose capacity has shrunk below what its services reserve: the CPU that
/// these do not use was counted as idle.
#[test]
fn filler_does_not_start_on_a_worker_that_shrank_below_its_services() {
    let mut fleet = Fleet::new(1, 1).with_work(|_| TaskWork {
        run_time: Duration::MAX,
        fails: false,
        size: cores(FULL_CORES),
    });
    let service = StepSpec {
        long_running: true,
        size: ResourceAmount::new(4000, 100),
        image: Some("service".into()),
        tail_target: Some(ms(200)),
        ..step(1, &[])
    };
    fleet.submit(1, graph(vec![service]));
    fleet.run_for(ms(2000));
    fleet.set_capacity(0, ResourceAmount::new(1300, 4000));
    let filler = StepSpec {
        filler: true,
        image: Some("filler".into()),
        ..step(1, &[])
    };
    let filler = fleet.submit(2, graph(vec![filler]));
    fleet.run_for(ms(5000));
    assert_eq!(fleet.begin_count(filler), 0);
}
