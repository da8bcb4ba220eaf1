//! Takeover by a new owner from the stored records and the workers' reports.

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

/// Returns work of one core that fails for the first task of a step.
fn first_task_fails(task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(200),
        fails: task.index == 0,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Returns work of one core for 1.5 s.
fn long_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(1500),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Returns work of one core that goes on when renewals that waited at a takeover are over.
fn longer_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(2500),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Replaces the owner while the former one is suspended and a worker without runs is unreachable.
fn replace_owner_with_unreachable_worker(fleet: &mut Fleet) {
    let idle_worker = (0..3)
        .find(|&worker| fleet.workers[worker].run_count() == 0)
        .expect("they fill one worker");
    let far_future = fleet.now + ms(60_000);
    fleet.owner().suspended_until = far_future;
    fleet.unreachable_until[idle_worker] = far_future;
    fleet.replace_owner();
}

/// Guards against counting a failure twice. An owner records a failure and dies before the worker
/// receives the acknowledgement; the successor reads the failure from the record and again from the
/// worker's report, and the job fails too early.
#[test]
fn recorded_failure_is_not_counted_again_from_a_workers_report() {
    let mut fleet = Fleet::new(2, 1)
        .with_work(first_task_fails)
        .with_attempts(2);
    let job = fleet.submit(1, graph(vec![step(1, &[])]));
    while fleet.records.is_empty() {
        fleet.run_for(ms(10));
    }
    // The failure is on record but not acknowledged.
    let frozen = fleet.now + ms(60_000);
    fleet.owner().suspended_until = frozen;
    fleet.replace_owner();
    fleet.run_for(ms(100));
    assert_eq!(fleet.progress(job), Some(JobProgress::Running));
    fleet.run_for(ms(3000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Failed))
    );
    assert_eq!(fleet.begin_count(job), 2);
}

/// Guards against restarting tasks that were running when their owner died.
#[test]
fn running_tasks_are_adopted_by_the_successor() {
    let mut fleet = Fleet::new(3, 2);
    let job = fleet.submit(1, graph(vec![step(6, &[]), step(2, &[0])]));
    fleet.run_for(ms(150));
    let frozen = fleet.now + ms(60_000);
    fleet.owner().suspended_until = frozen;
    fleet.replace_owner();
    fleet.run_for(ms(2000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.begin_count(job), 8);
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against a second run of tasks on a worker that the new owner cannot reach: they wait
/// until its lease has certainly lapsed, even by the slowest allowed clock.
#[test]
fn tasks_on_an_unreachable_worker_wait_for_its_lease_to_lapse() {
    let mut fleet = Fleet::new(2, 3).with_work(|_| TaskWork {
        run_time: ms(4000),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    });
    let job = fleet.submit(1, graph(vec![step(8, &[])]));
    fleet.run_for(ms(300));
    assert_eq!(fleet.begin_count(job), 8);
    let frozen = fleet.now + ms(60_000);
    fleet.owner().suspended_until = frozen;
    fleet.unreachable_until[0] = fleet.now + ms(60_000);
    fleet.replace_owner();
    fleet.run_for(ms(5500));
    assert_eq!(
        fleet.begin_count(job),
        8,
        "nothing starts before the lease is over"
    );
    fleet.run_for(ms(7000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against jobs that stop for seven seconds after each takeover because one of many workers
/// does not answer. A step that depends on a task which the new owner saw running, when no renewal of the
/// former owner could wait at its worker any more, cannot have been started by the former owner.
#[test]
fn step_after_an_observed_task_does_not_wait_for_silent_workers() {
    let mut fleet = Fleet::new(3, 1).with_work(longer_work);
    let job = fleet.submit(1, graph(vec![step(3, &[]), step(2, &[0])]));
    fleet.run_for(ms(300));
    replace_owner_with_unreachable_worker(&mut fleet);
    fleet.run_for(ms(3200));
    assert_eq!(fleet.begin_count(job), 5);
    fleet.run_for(ms(10_000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against starting a step after a gang twice: each member reports the gang's completion, so
/// the former owner may have received it from another worker and started the step.
#[test]
fn step_after_a_gang_waits_until_all_workers_have_answered() {
    let mut fleet = Fleet::new(3, 1).with_work(long_work);
    let gang = jasminebend_dispatch::StepSpec {
        gang: true,
        ..step(3, &[])
    };
    let job = fleet.submit(1, graph(vec![gang, step(2, &[0])]));
    fleet.run_for(ms(300));
    replace_owner_with_unreachable_worker(&mut fleet);
    fleet.run_for(ms(2500));
    assert_eq!(fleet.begin_count(job), 3);
}
