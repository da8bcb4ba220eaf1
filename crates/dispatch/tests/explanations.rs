//! Log entries about steps that wait and stops that are overdue.

mod common;

use std::{
    sync::Arc,
    time::Duration, //
};

use common::{
    Faults,
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    AcceptedJob,
    CrashEvidence,
    JobKey,
    OrderOutcome,
    ProgressRecord,
    RunNumber,
    StepSpec,
    StopDelay,
    TaskCrashes,
    WaitCause,
    WorkerCrash,
    WorkerOrder, //
};
use jasminebend_standins::TaskWork;

fn endless_work(_task: jasminebend_dispatch::TaskKey) -> TaskWork {
    TaskWork {
        run_time: Duration::MAX,
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

fn service(count: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(count, &[])
    }
}

fn wait_causes(fleet: &Fleet) -> Vec<WaitCause> {
    fleet.waits.iter().map(|wait| wait.cause).collect()
}

/// Guards against steps that wait for a takeover to end without a line in the log.
#[test]
fn step_held_back_by_a_takeover_is_logged() {
    let mut fleet = Fleet::new(2, 1);
    fleet.submit(1, graph(vec![step(60, &[])]));
    fleet.run_for(ms(500));
    fleet.unreachable_until[0] = fleet.now + ms(60_000);
    fleet.waits.clear();
    fleet.replace_owner();
    fleet.run_for(ms(4000));
    assert!(wait_causes(&fleet).contains(&WaitCause::Takeover));
}

/// Guards against steps of a queue without a rule that wait without a line in the log.
#[test]
fn step_of_an_unknown_queue_is_logged() {
    let mut fleet = Fleet::new(2, 2);
    let job = AcceptedJob {
        queue: "removed".into(),
        rule: None,
        graph: Arc::new(graph(vec![step(1, &[])])),
        accepted: fleet.now,
        inherited: false,
    };
    fleet.owner().dispatcher.add_job(JobKey::new(1), job);
    fleet.run_for(ms(4000));
    assert!(wait_causes(&fleet).contains(&WaitCause::Queue));
}

/// Guards against jobs far past their objective that wait without a line in the log.
#[test]
fn step_of_an_expired_job_is_logged() {
    let mut fleet = Fleet::new(1, 3);
    let large = StepSpec {
        size: ResourceAmount::new(5000, 100),
        ..step(1, &[])
    };
    fleet.submit(1, graph(vec![large]));
    fleet.run_for(ms(30_000));
    fleet.waits.clear();
    fleet.run_for(ms(11_000));
    assert_eq!(wait_causes(&fleet), [WaitCause::Worker]);
    assert_eq!(fleet.waits[0].rejections.processors, 1);
}

/// Guards against a wait of which the log tells only that workers do not answer, while they are not on record for a successor.
#[test]
fn workers_that_are_not_on_record_are_counted() {
    let mut fleet = Fleet::new(2, 5);
    fleet.owner().dispatcher.require_recorded_workers();
    fleet.submit(1, graph(vec![step(1, &[])]));
    fleet.run_for(ms(30_000));
    let rejections = fleet.waits[0].rejections;
    assert_eq!((rejections.unrecorded, rejections.unanswered), (2, 0));
}

/// Guards against runs that go on after their job's cancellation without a line in the log.
#[test]
fn overdue_stop_is_logged() {
    let mut fleet = Fleet::new(1, 4).with_work(endless_work);
    let job = fleet.submit(1, graph(vec![service(2)]));
    fleet.run_for(ms(500));
    fleet.faults = Faults {
        lost: 100,
        ..Faults::default()
    };
    fleet.cancel(job);
    fleet.run_for(ms(2500));
    let overdue = fleet.overdue_stops.clone();
    assert_eq!(overdue.len(), 2, "{overdue:?}");
    assert!(
        overdue
            .iter()
            .all(|stop| stop.delay == StopDelay::Unanswered)
    );
    assert!(overdue.iter().all(|stop| stop.attempts >= 2));
}

fn delay_of_overdue_stop(disturb: fn(&mut Fleet)) -> Vec<StopDelay> {
    let mut fleet = Fleet::new(1, 5).with_work(endless_work);
    let job = fleet.submit(1, graph(vec![service(1)]));
    fleet.run_for(ms(500));
    disturb(&mut fleet);
    fleet.cancel(job);
    fleet.run_for(ms(2500));
    fleet.overdue_stops.iter().map(|stop| stop.delay).collect()
}

/// Guards against an overdue stop that is logged as unanswered although its worker answers nothing at all.
#[test]
fn overdue_stop_on_a_silent_worker_is_logged_as_such() {
    let delays = delay_of_overdue_stop(|fleet| {
        fleet.unreachable_until[0] = fleet.now + ms(60_000);
        fleet.run_for(ms(2500));
    });
    assert_eq!(delays, [StopDelay::SilentWorker]);
}

/// Guards against an overdue stop that is logged as unanswered although its worker has accepted it.
#[test]
fn overdue_stop_that_was_accepted_is_logged_as_ending() {
    let mut fleet = Fleet::new(1, 6).with_work(endless_work);
    let job = fleet.submit(1, graph(vec![service(1)]));
    fleet.run_for(ms(500));
    fleet.cancel(job);
    let now = fleet.now;
    let dispatcher = &mut fleet.owner().dispatcher;
    for order in dispatcher.plan(now).orders {
        if let WorkerOrder::Stop { worker, task, run } = order {
            dispatcher.handle_stop_outcome(worker, task, run, OrderOutcome::Taken, now);
        }
    }
    let overdue = dispatcher.plan(now + ms(2100)).overdue_stops;
    let delays: Vec<StopDelay> = overdue.iter().map(|stop| stop.delay).collect();
    assert_eq!(delays, [StopDelay::Ending]);
}

/// Guards against a worker that is kept free for a suspected task and counted among those with unknown reasons.
#[test]
fn worker_kept_free_for_a_suspected_task_is_logged_as_isolated() {
    let mut fleet = Fleet::new(1, 7).with_work(endless_work);
    let job = fleet.submit(1, graph(vec![step(1, &[])]));
    let crash = |number: u64| WorkerCrash {
        run: RunNumber::of_owner(1, number),
        worker: format!("gone-{number}").into(),
        at: ms(500),
        early: true,
        alone: false,
        widespread: true,
        evidence: CrashEvidence::Restarted,
        incarnation: None,
    };
    let suspected = TaskCrashes {
        occurrence: 0,
        step: 0,
        index: 0,
        crashes: vec![crash(1), crash(2)],
        started_on: None,
        begun_in: None,
    };
    let record = ProgressRecord {
        crashes: vec![suspected],
        ..ProgressRecord::default()
    };
    fleet.records.insert(job, record);
    fleet.replace_owner();
    while fleet.begin_count(job) == 0 {
        fleet.run_for(ms(10));
    }
    fleet.waits.clear();
    let urgent = StepSpec {
        estimate: ms(10),
        ..step(1, &[])
    };
    fleet.submit(2, graph(vec![urgent]));
    fleet.run_for(ms(500));
    let isolated = fleet.waits.iter().map(|wait| wait.rejections.isolated);
    assert_eq!(isolated.max(), Some(1));
}
