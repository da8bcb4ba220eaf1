//! What a new owner makes of what it finds.

mod common;

use common::{
    Fleet,
    graph,
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

fn fails_once_in_two(task: TaskKey) -> TaskWork {
    TaskWork {
        lasts: ms(200),
        fails: task.index == 0,
        size: ResourceAmount::new(1000, 100),
    }
}

fn long_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        lasts: ms(1500),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Has a new owner take over while the former one is frozen and a worker that runs nothing is cut off.
fn replace_beside_a_silent_worker(fleet: &mut Fleet) {
    let empty = (0..3)
        .find(|&worker| fleet.workers[worker].run_count() == 0)
        .expect("they fill one worker");
    let long = fleet.now + ms(60_000);
    fleet.owner().frozen_until = long;
    fleet.cut_until[empty] = long;
    fleet.replace_owner();
}

/// A caller's job is shown as failed though no task failed often enough. An owner puts a failure on record
/// and dies before the worker hears that the end is acknowledged. The successor reads the record and the
/// worker's list, and counts the same failure twice.
#[test]
fn a_failure_on_record_is_not_counted_again_from_the_workers_list() {
    let mut fleet = Fleet::new(2, 1)
        .with_work(fails_once_in_two)
        .with_attempts(2);
    let job = fleet.submit(1, graph(vec![step(1, &[])]));
    while fleet.records.is_empty() {
        fleet.run_for(ms(10));
    }
    // The record is there; the acknowledgement is not.
    let frozen = fleet.now + ms(60_000);
    fleet.owner().frozen_until = frozen;
    fleet.replace_owner();
    fleet.run_for(ms(100));
    assert_eq!(fleet.progress(job), Some(JobProgress::Running));
    fleet.run_for(ms(3000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Failed))
    );
    assert_eq!(fleet.begins(job), 2);
}

/// A task that was running when its owner died goes on, and is not started a second time.
#[test]
fn what_runs_is_taken_over() {
    let mut fleet = Fleet::new(3, 2);
    let job = fleet.submit(1, graph(vec![step(6, &[]), step(2, &[0])]));
    fleet.run_for(ms(150));
    let frozen = fleet.now + ms(60_000);
    fleet.owner().frozen_until = frozen;
    fleet.replace_owner();
    fleet.run_for(ms(2000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.begins(job), 8);
    assert_eq!(fleet.check(), Vec::<String>::new());
}

/// A worker that the new owner can't reach may still run what the former one started there: those tasks wait
/// until its lease has surely lapsed, also by the slowest clock.
#[test]
fn tasks_wait_for_a_worker_that_the_new_owner_does_not_reach() {
    let mut fleet = Fleet::new(2, 3).with_work(|_| TaskWork {
        lasts: ms(4000),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    });
    let job = fleet.submit(1, graph(vec![step(8, &[])]));
    fleet.run_for(ms(300));
    assert_eq!(fleet.begins(job), 8);
    let frozen = fleet.now + ms(60_000);
    fleet.owner().frozen_until = frozen;
    fleet.cut_until[0] = fleet.now + ms(60_000);
    fleet.replace_owner();
    fleet.run_for(ms(5500));
    assert_eq!(
        fleet.begins(job),
        8,
        "nothing starts before the lease is over"
    );
    fleet.run_for(ms(7000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.check(), Vec::<String>::new());
}

/// Jobs stand still for seven seconds after each change of the owner, since one worker of many does not answer. What
/// comes after a task that the new owner itself saw at work can't have been started by the former one.
#[test]
fn a_step_whose_predecessor_was_seen_at_work_waits_for_no_silent_worker() {
    let mut fleet = Fleet::new(3, 1).with_work(long_work);
    let job = fleet.submit(1, graph(vec![step(3, &[]), step(2, &[0])]));
    fleet.run_for(ms(300));
    replace_beside_a_silent_worker(&mut fleet);
    fleet.run_for(ms(2500));
    assert_eq!(fleet.begins(job), 5);
    fleet.run_for(ms(10_000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.check(), Vec::<String>::new());
}

/// A gang's end is told by each of its members: the former owner may have heard it from another worker.
#[test]
fn a_step_after_a_gang_waits_until_all_workers_are_known() {
    let mut fleet = Fleet::new(3, 1).with_work(long_work);
    let gang = jasminebend_dispatch::StepSpec {
        gang: true,
        ..step(3, &[])
    };
    let job = fleet.submit(1, graph(vec![gang, step(2, &[0])]));
    fleet.run_for(ms(300));
    replace_beside_a_silent_worker(&mut fleet);
    fleet.run_for(ms(2500));
    assert_eq!(fleet.begins(job), 3);
}
