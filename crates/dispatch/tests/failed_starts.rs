//! Starts that a worker refuses for a moment, or that are lost.

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
    OrderOutcome,
    OrderRefusal,
    StartOrder,
    StepKey,
    TaskKey,
    WorkerOrder, //
};
use jasminebend_standins::TaskWork;

/// The time within which a worker that is well again takes a task: its first quarantine, and a plan.
const RECOVERY_LIMIT: Duration = Duration::from_millis(2300);

/// The time within which a lost start is repeated: the renewal that was under way waits for 2 s, and the next one tells that
/// the run has not begun.
const REPETITION_LIMIT: Duration = Duration::from_millis(2200);

fn long_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(20_000),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Returns when the first task of a job starts whose worker refuses all starts for a moment.
fn start_time_after_refusals(tasks: u32) -> Option<Duration> {
    let mut fleet = Fleet::new(1, 1).with_work(long_work);
    fleet.run_for(ms(3000));
    fleet.refused_orders = 100;
    let refused_at = fleet.now;
    let job = fleet.submit(1, graph(vec![step(tasks, &[])]));
    fleet.run_for(ms(100));
    fleet.refused_orders = 0;
    fleet.run_for(ms(15_000));
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    let starts = (0..tasks).flat_map(|index| fleet.starts_of(step.task(index)));
    starts.min().map(|at| at - refused_at)
}

/// Guards against a quarantine that several refusals of one moment prolong: each counted as a quarantine of its own.
#[test]
fn refusals_of_one_moment_are_one_quarantine() {
    for tasks in 1..=4 {
        let started_after = start_time_after_refusals(tasks);
        assert!(
            started_after.is_some_and(|after| after <= RECOVERY_LIMIT),
            "{started_after:?} with {tasks} tasks"
        );
    }
}

/// Guards against jobs that wait beside free capacity until the task that probes their worker has ended, however long that
/// takes.
#[test]
fn probe_that_makes_progress_ends_the_probation_of_its_worker() {
    let mut fleet = Fleet::new(1, 1).with_work(long_work);
    fleet.run_for(ms(3000));
    fleet.refused_orders = 100;
    fleet.submit(1, graph(vec![step(1, &[])]));
    fleet.run_for(ms(100));
    fleet.refused_orders = 0;
    fleet.run_for(ms(2500));
    assert_eq!(fleet.workers[0].run_count(), 1);
    fleet.submit(2, graph(vec![step(1, &[])]));
    fleet.run_for(ms(2500));
    assert_eq!(fleet.workers[0].run_count(), 2);
}

/// Returns when a job's task begins whose first start is lost, on a worker that has been idle for a while.
fn start_time_after_lost_start(idle_time: Duration, seed: u64) -> Option<Duration> {
    let mut fleet = Fleet::new(1, seed)
        .with_work(long_work)
        .with_late_answers(seed);
    fleet.run_for(idle_time);
    fleet.faults = Faults {
        lost: 100,
        ..Faults::default()
    };
    let submitted_at = fleet.now;
    let job = fleet.submit(1, graph(vec![step(1, &[])]));
    fleet.run_for(ms(100));
    fleet.faults = Faults::default();
    fleet.run_for(ms(10_000));
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    let started_at = fleet.starts_of(step.task(0)).first().copied();
    started_at.map(|at| at - submitted_at)
}

/// Guards against a task that waits although its run is known to be stopped before it began: nothing on the worker ends the
/// wait of the renewal that would tell so.
#[test]
fn lost_start_is_repeated_with_the_next_report() {
    for idle_time in (3000..5100).step_by(50) {
        for seed in 0..3 {
            let started_after = start_time_after_lost_start(ms(idle_time), seed);
            assert!(
                started_after.is_some_and(|after| after <= REPETITION_LIMIT),
                "{started_after:?} after {idle_time} ms, seed {seed}"
            );
        }
    }
}

const RESTARTED: OrderOutcome = OrderOutcome::Refused(OrderRefusal::Restarted);

/// Returns the starts that the owner plans now.
fn planned_starts(fleet: &mut Fleet) -> Vec<StartOrder> {
    let now = fleet.now;
    let orders = fleet.owner().dispatcher.plan(now).orders.into_iter();
    let starts = orders.filter_map(|order| match order {
        WorkerOrder::Start(start) => Some(start),
        WorkerOrder::Stop { .. } | WorkerOrder::Throttle { .. } => None,
    });
    starts.collect()
}

/// Guards against starts that go on to a worker of which a start was not sent, as another incarnation listens, and against a run
/// that counts as begun there.
#[test]
fn worker_found_restarted_takes_no_start_until_a_renewal_tells_of_it() {
    let mut fleet = Fleet::new(1, 1).with_work(long_work);
    fleet.run_for(ms(3000));
    fleet.submit(1, graph(vec![step(1, &[])]));
    let first = planned_starts(&mut fleet).pop().expect("a start");
    let (key, now) = (first.worker, fleet.now);
    let dispatcher = &mut fleet.owner().dispatcher;
    dispatcher.handle_start_outcome(key, first.task, first.run, RESTARTED, now);
    assert_eq!(planned_starts(&mut fleet), []);
    let dispatcher = &mut fleet.owner().dispatcher;
    assert!(dispatcher.next_renewal(key, true, now).is_read_only());
    dispatcher.handle_renewal_failure(key, RESTARTED, now);
    assert_eq!(planned_starts(&mut fleet), []);
    fleet.workers[0].restart(now);
    let renewal = fleet.owner().dispatcher.next_renewal(key, true, now);
    assert!(renewal.is_read_only());
    let token = fleet.owner().dispatcher.worker_token(key);
    let report = fleet.workers[0].renew_lease(now, token, renewal);
    let report = report.expect("the worker answers");
    let dispatcher = &mut fleet.owner().dispatcher;
    dispatcher.handle_renewal_report(key, now, report, now);
    assert_eq!(planned_starts(&mut fleet), [], "not fenced yet");
    let dispatcher = &mut fleet.owner().dispatcher;
    let (renewal, token) = (
        dispatcher.next_renewal(key, true, now),
        dispatcher.worker_token(key),
    );
    let report = fleet.workers[0].renew_lease(now, token, renewal);
    let report = report.expect("the worker answers");
    let dispatcher = &mut fleet.owner().dispatcher;
    dispatcher.handle_renewal_report(key, now, report, now);
    let second = planned_starts(&mut fleet).pop().expect("a start");
    assert_eq!(second.task, first.task);
}
