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
    RunNumber,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerKey,
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

/// When the worker of [`UnansweredStart`] booted, and when it restarted.
const FIRST_INCARNATION: u64 = 1000;
const NEXT_INCARNATION: u64 = 1500;

/// An owner whose only start, sent to its only worker, got no answer, so that it was ordered to stop.
struct UnansweredStart {
    dispatcher: Dispatcher,
    worker: WorkerKey,
    task: TaskKey,
    run: RunNumber,
    now: Duration,
}

impl UnansweredStart {
    fn new() -> Self {
        let record = Fleet::new(1, 1).workers[0].record().clone();
        let mut dispatcher =
            Dispatcher::new(256, DispatchSettings::default()).with_former_token(None);
        dispatcher.set_configuration(configuration(3));
        let worker = dispatcher.upsert_worker(record, None);
        let job = AcceptedJob {
            queue: "queue".into(),
            rule: None,
            graph: graph(vec![step(1, &[])]).into(),
            accepted: Duration::ZERO,
            inherited: false,
        };
        dispatcher.add_job(JobKey::new(1), job);
        let step = StepKey {
            job: JobKey::new(1),
            occurrence: 0,
            step: 0,
        };
        let mut owner = Self {
            dispatcher,
            worker,
            task: step.task(0),
            run: RunNumber::new(0),
            now: ms(1000),
        };
        owner.receive_report(FIRST_INCARNATION);
        let orders = owner.plan();
        let [WorkerOrder::Start(start)] = &orders[..] else {
            panic!("the task starts: {orders:?}");
        };
        owner.run = start.run;
        owner.dispatcher.handle_start_outcome(
            worker,
            owner.task,
            owner.run,
            OrderOutcome::Unknown,
            owner.now,
        );
        owner.plan();
        owner
    }

    fn tick(&mut self) -> Duration {
        self.now += ms(100);
        self.now
    }

    fn plan(&mut self) -> Vec<WorkerOrder> {
        let now = self.tick();
        self.dispatcher.plan(now).orders
    }

    /// Lets an incarnation of the worker report that it runs nothing.
    fn receive_report(&mut self, incarnation: u64) {
        let now = self.tick();
        let report = RenewalReport {
            clock: now,
            incarnation: Some(ms(incarnation)),
            running: Vec::new(),
            completions: Vec::new(),
        };
        self.dispatcher.next_renewal(self.worker, true, now);
        self.dispatcher
            .handle_renewal_report(self.worker, now, report, now);
    }

    fn receive_answer_to_stop(&mut self) {
        let now = self.tick();
        self.dispatcher.handle_stop_outcome(
            self.worker,
            self.task,
            self.run,
            OrderOutcome::Taken,
            now,
        );
    }

    fn starts_task(&mut self) -> bool {
        let orders = self.plan();
        orders
            .iter()
            .any(|order| matches!(order, WorkerOrder::Start(_)))
    }

    /// Checks that the task starts again once the next incarnation of the worker has accepted a stop, and not before.
    fn check_next_incarnation_is_asked(&mut self) {
        assert!(!self.starts_task(), "the start may still arrive");
        let stop = WorkerOrder::Stop {
            worker: self.worker,
            task: self.task,
            run: self.run,
        };
        assert!((0..20).any(|_| self.plan().contains(&stop)), "it is asked");
        self.receive_answer_to_stop();
        self.receive_report(NEXT_INCARNATION);
        assert!(self.starts_task());
    }
}

/// Guards against a task that runs twice: its start is still under way, and the incarnation of the worker that accepted
/// the stop has been replaced by one that would execute the start.
#[test]
fn stop_that_a_former_incarnation_accepted_does_not_end_an_unanswered_start() {
    let mut owner = UnansweredStart::new();
    owner.receive_answer_to_stop();
    owner.receive_report(NEXT_INCARNATION);
    owner.check_next_incarnation_is_asked();
}

/// Guards against a task that runs twice: its start is still under way, and the incarnation of the worker that accepted
/// the stop has been replaced. Its answer arrives after the first report of the new one.
#[test]
fn late_answer_of_a_former_incarnation_to_a_stop_does_not_end_an_unanswered_start() {
    let mut owner = UnansweredStart::new();
    owner.receive_report(NEXT_INCARNATION);
    owner.receive_answer_to_stop();
    owner.receive_report(NEXT_INCARNATION);
    owner.check_next_incarnation_is_asked();
}
