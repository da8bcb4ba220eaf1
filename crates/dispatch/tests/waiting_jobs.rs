//! The number of waiting jobs that callers are told.

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
    JobProgress,
    TaskKey, //
};
use jasminebend_standins::TaskWork;

const QUEUE: &str = "queue";
const JOBS: u64 = 5;
/// Long enough for a start to be sent and found unanswered, and shorter than the least delay of a late order.
const SENDING_TIME: Duration = Duration::from_millis(1500);
/// Longer than the longest delay of a late order.
const LATE_BY: Duration = Duration::from_millis(13_000);

/// Long enough for all workers to answer a successor.
const TAKEOVER_TIME: Duration = Duration::from_millis(8000);

fn long_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(60_000),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Submits jobs while orders suffer `faults`, and returns them.
fn submit_beside(fleet: &mut Fleet, faults: Faults) -> Vec<JobKey> {
    fleet.run_for(ms(3000));
    fleet.faults = faults;
    let jobs = (1..=JOBS)
        .map(|number| fleet.submit(number, graph(vec![step(1, &[])])))
        .collect();
    fleet.run_for(SENDING_TIME);
    jobs
}

fn waiting(fleet: &mut Fleet) -> u64 {
    fleet.owner().dispatcher.waiting_job_count(QUEUE) as u64
}

fn running(fleet: &Fleet) -> u64 {
    fleet
        .workers
        .iter()
        .map(|worker| worker.run_count() as u64)
        .sum()
}

/// Guards against callers who are told that fewer jobs wait than do: a job counted as started once its start was ordered, also if
/// the order is carried out late or never.
#[test]
fn jobs_whose_starts_are_unanswered_count_as_waiting() {
    for seed in 1..=5 {
        let late = Faults {
            delayed: 100,
            ..Faults::default()
        };
        let mut fleet = Fleet::new(2, seed).with_work(long_work);
        let jobs = submit_beside(&mut fleet, late);
        assert_eq!(running(&fleet), 0, "seed {seed}: no order has acted");
        assert_eq!(waiting(&mut fleet), JOBS, "seed {seed}");
        for job in jobs {
            let progress = fleet.owner().dispatcher.progress(job);
            assert_eq!(progress, Some(JobProgress::Queued), "seed {seed}");
        }
        fleet.faults = Faults::default();
        fleet.run_for(LATE_BY);
        assert_eq!(running(&fleet), JOBS, "seed {seed}");
        assert_eq!(waiting(&mut fleet), 0, "seed {seed}");
    }
}

/// Guards against callers who are told that jobs wait which run: their starts were carried out, and the answers were lost.
#[test]
fn jobs_that_a_worker_lists_count_as_started_without_an_answer() {
    for seed in 1..=5 {
        let unanswered = Faults {
            unanswered: 100,
            ..Faults::default()
        };
        let mut fleet = Fleet::new(2, seed).with_work(long_work);
        submit_beside(&mut fleet, unanswered);
        let started: usize = (1..=JOBS)
            .filter(|&number| {
                let progress = fleet.owner().dispatcher.progress(JobKey::new(number));
                progress == Some(JobProgress::Running)
            })
            .count();
        assert_eq!(waiting(&mut fleet), JOBS - started as u64, "seed {seed}");
        assert!(started > 0, "seed {seed}: a worker has listed a run");
    }
}

/// Guards against jobs that are told to wait again after their runs were lost, or their owner was replaced.
#[test]
fn jobs_that_have_begun_never_wait_again() {
    let mut fleet = Fleet::new(1, 1).with_work(long_work);
    submit_beside(&mut fleet, Faults::default());
    let unbegun = JOBS - running(&fleet);
    assert_eq!(waiting(&mut fleet), unbegun);
    fleet.replace_owner();
    fleet.run_for(TAKEOVER_TIME);
    assert_eq!(waiting(&mut fleet), unbegun, "after a takeover");
    fleet.unreachable_until[0] = fleet.now + LATE_BY;
    fleet.run_for(LATE_BY / 2);
    let owner = &fleet.owner().dispatcher;
    assert_eq!(owner.total_run_count(), 0, "the lease has lapsed");
    assert_eq!(waiting(&mut fleet), unbegun, "after a loss");
}
