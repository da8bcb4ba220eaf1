//! Stops that are sent again to workers that answer renewals as late as they may.

mod common;

use std::time::Duration;

use common::{
    Faults,
    Fleet,
    configuration,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    AcceptedJob,
    DispatchSettings,
    Dispatcher,
    JobKey,
    OrderOutcome,
    RenewalReport,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerOrder, //
};
use jasminebend_standins::TaskWork;

/// The time within which a job's next run begins while capacity is free.
const RESTART_LIMIT: Duration = Duration::from_millis(3000);

/// Returns endless work for job 1 and short work for the others.
fn endless_first_job(task: TaskKey) -> TaskWork {
    let is_first = task.job() == JobKey::new(1);
    TaskWork {
        run_time: if is_first { Duration::MAX } else { ms(300) },
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Lets the start of a second job's only task be lost beside a long-running task, and returns when it began after that.
fn restart_time_after_lost_start(max_stop_duration: Duration) -> Option<Duration> {
    let settings = DispatchSettings {
        max_stop_duration,
        ..DispatchSettings::default()
    };
    let mut fleet = Fleet::new(1, 1)
        .with_work(endless_first_job)
        .with_settings(settings)
        .with_delayed_renewals();
    let long_running = StepSpec {
        long_running: true,
        ..step(1, &[])
    };
    fleet.submit(1, graph(vec![long_running]));
    fleet.run_for(ms(3000));
    fleet.faults = Faults {
        lost: 100,
        ..Faults::default()
    };
    let submitted_at = fleet.now;
    let job = fleet.submit(2, graph(vec![step(1, &[])]));
    fleet.run_for(ms(100));
    fleet.faults = Faults::default();
    fleet.run_for(ms(15_000));
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    fleet
        .starts_of(step.task(0))
        .first()
        .map(|at| *at - submitted_at)
}

/// Guards against a run that is held for good: each repetition of its stop, which is answered, kept every report on the
/// worker's runs from being recent enough to show that the run is gone.
#[test]
fn lost_start_is_repeated_although_its_stop_is_sent_again_and_again() {
    for max_stop in [200, 400, 900] {
        let restarted_after = restart_time_after_lost_start(ms(max_stop));
        assert!(
            restarted_after.is_some_and(|after| after <= RESTART_LIMIT),
            "{restarted_after:?} with stops of {max_stop} ms"
        );
    }
}

/// Returns what a worker that runs nothing reports in this incarnation.
fn empty_report(clock: Duration, incarnation: u64) -> RenewalReport {
    RenewalReport {
        clock,
        incarnation: Some(ms(incarnation)),
        running: Vec::new(),
        completions: Vec::new(),
    }
}

/// Guards against a task that runs twice: its start is still under way, and the incarnation of the worker that accepted
/// the stop has been replaced by one that would execute the start.
#[test]
fn stop_that_a_former_incarnation_accepted_does_not_end_an_unanswered_start() {
    let record = Fleet::new(1, 1).workers[0].record().clone();
    let mut dispatcher = Dispatcher::new(1, DispatchSettings::default());
    dispatcher.set_configuration(configuration(3));
    let worker = dispatcher.upsert_worker(record, None);
    let mut next_time = (1..).map(|tick| ms(1000 + tick * 100));
    let mut now = || next_time.next().expect("time goes on");
    let report_to = |dispatcher: &mut Dispatcher, now, incarnation| {
        dispatcher.next_renewal(worker, true, now);
        dispatcher.handle_renewal_report(worker, now, empty_report(now, incarnation), now);
    };
    report_to(&mut dispatcher, now(), 1000);
    let job = AcceptedJob {
        queue: "queue".into(),
        rule: None,
        graph: graph(vec![step(1, &[])]).into(),
        accepted: Duration::ZERO,
        inherited: false,
    };
    dispatcher.add_job(JobKey::new(1), job);
    let [WorkerOrder::Start(start)] = &dispatcher.plan(now()).orders[..] else {
        panic!("the task starts");
    };
    let (task, run) = (start.task, start.run);
    dispatcher.handle_start_outcome(worker, task, run, OrderOutcome::Unknown, now());
    dispatcher.plan(now());
    dispatcher.handle_stop_outcome(worker, task, run, OrderOutcome::Taken, now());
    report_to(&mut dispatcher, now(), 1500);
    let is_start = |order: &WorkerOrder| matches!(order, WorkerOrder::Start(_));
    let orders = dispatcher.plan(now()).orders;
    assert!(!orders.iter().any(is_start), "{orders:?}");
    // The new incarnation accepts the repeated stop.
    let orders: Vec<WorkerOrder> = (0..20)
        .flat_map(|_| dispatcher.plan(now()).orders)
        .collect();
    assert!(
        orders.contains(&WorkerOrder::Stop { worker, task, run }),
        "{orders:?}"
    );
    dispatcher.handle_stop_outcome(worker, task, run, OrderOutcome::Taken, now());
    report_to(&mut dispatcher, now(), 1500);
    let orders = dispatcher.plan(now()).orders;
    assert!(orders.iter().any(is_start), "{orders:?}");
}

/// Guards against a task that runs twice: its start is still under way, and the incarnation of the worker that accepted
/// the stop has been replaced. Its answer arrives after the first report of the new one.
#[test]
fn late_answer_of_a_former_incarnation_to_a_stop_does_not_end_an_unanswered_start() {
    let record = Fleet::new(1, 1).workers[0].record().clone();
    let mut dispatcher = Dispatcher::new(1, DispatchSettings::default());
    dispatcher.set_configuration(configuration(3));
    let worker = dispatcher.upsert_worker(record, None);
    let mut next_time = (1..).map(|tick| ms(1000 + tick * 100));
    let mut now = || next_time.next().expect("time goes on");
    let report_to = |dispatcher: &mut Dispatcher, now, incarnation| {
        dispatcher.next_renewal(worker, true, now);
        dispatcher.handle_renewal_report(worker, now, empty_report(now, incarnation), now);
    };
    report_to(&mut dispatcher, now(), 1000);
    let job = AcceptedJob {
        queue: "queue".into(),
        rule: None,
        graph: graph(vec![step(1, &[])]).into(),
        accepted: Duration::ZERO,
        inherited: false,
    };
    dispatcher.add_job(JobKey::new(1), job);
    let [WorkerOrder::Start(start)] = &dispatcher.plan(now()).orders[..] else {
        panic!("the task starts");
    };
    let (task, run) = (start.task, start.run);
    dispatcher.handle_start_outcome(worker, task, run, OrderOutcome::Unknown, now());
    dispatcher.plan(now());
    report_to(&mut dispatcher, now(), 1500);
    dispatcher.handle_stop_outcome(worker, task, run, OrderOutcome::Taken, now());
    report_to(&mut dispatcher, now(), 1500);
    let is_start = |order: &WorkerOrder| matches!(order, WorkerOrder::Start(_));
    let orders = dispatcher.plan(now()).orders;
    assert!(!orders.iter().any(is_start), "{orders:?}");
    // The new incarnation accepts the repeated stop.
    let orders: Vec<WorkerOrder> = (0..20)
        .flat_map(|_| dispatcher.plan(now()).orders)
        .collect();
    assert!(
        orders.contains(&WorkerOrder::Stop { worker, task, run }),
        "{orders:?}"
    );
    dispatcher.handle_stop_outcome(worker, task, run, OrderOutcome::Taken, now());
    report_to(&mut dispatcher, now(), 1500);
    let orders = dispatcher.plan(now()).orders;
    assert!(orders.iter().any(is_start), "{orders:?}");
}
