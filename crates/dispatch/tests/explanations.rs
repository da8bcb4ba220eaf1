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
    JobKey,
    StepSpec,
    StopDelay,
    WaitCause, //
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
