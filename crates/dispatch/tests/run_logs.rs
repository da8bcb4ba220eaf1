//! Log entries about runs of which the owner's view and a worker's report differ.

mod common;

use std::time::Duration;

use common::{
    Fleet,
    configuration,
    graph,
    ms,
    step, //
};
use jasminebend_dispatch::{
    AcceptedJob,
    DispatchSettings,
    Dispatcher,
    JobKey,
    LossCause,
    RenewalReport,
    RunNumber,
    RunningTask,
    StepKey,
    SurplusCause,
    TaskKey,
    WorkerKey, //
};

fn task() -> TaskKey {
    StepKey {
        job: JobKey::new(7),
        occurrence: 0,
        step: 0,
    }
    .task(0)
}

/// Returns a new owner of a job with one task, and two workers.
fn successor() -> (Dispatcher, [WorkerKey; 2]) {
    let fleet = Fleet::new(2, 1);
    let mut dispatcher = Dispatcher::new(3, DispatchSettings::default());
    dispatcher.set_configuration(configuration(3));
    let workers = [0, 1].map(|number: usize| {
        let record = fleet.workers[number].record().clone();
        dispatcher.upsert_worker(record, Some(ms(9000)))
    });
    let job = AcceptedJob {
        queue: "queue".into(),
        rule: None,
        graph: graph(vec![step(1, &[])]).into(),
        accepted: Duration::ZERO,
        inherited: true,
    };
    dispatcher.add_job(JobKey::new(7), job);
    (dispatcher, workers)
}

/// Lets a worker report the task's run of the owner with this token, or none.
fn report(dispatcher: &mut Dispatcher, worker: WorkerKey, token: Option<u64>, now: Duration) {
    let running = token.map(|token| RunningTask {
        task: task(),
        run: RunNumber::of_owner(token, 1),
        checkpoint: None,
        progress_percent: 1,
        metric: None,
    });
    dispatcher.next_renewal(worker, true, now);
    let report = RenewalReport {
        clock: now,
        incarnation: Some(ms(500)),
        running: running.into_iter().collect(),
        completions: Vec::new(),
    };
    dispatcher.handle_renewal_report(worker, now, report, now);
}

/// Guards against two runs of a task that no log line tells of: two former owners had each started one.
#[test]
fn second_run_of_a_task_is_logged_with_the_first() {
    let (mut dispatcher, workers) = successor();
    report(&mut dispatcher, workers[0], Some(1), ms(1000));
    report(&mut dispatcher, workers[1], Some(2), ms(1000));
    let [surplus] = &dispatcher.plan(ms(1000)).surplus_runs[..] else {
        panic!("one run is too many");
    };
    assert_eq!(surplus.cause, SurplusCause::OtherRun);
    assert_eq!(surplus.run, RunNumber::of_owner(2, 1));
    assert_eq!(surplus.other, Some((workers[0], RunNumber::of_owner(1, 1))));
}

/// Guards against a run that vanishes without a log line: its worker no longer lists it and reports no end.
#[test]
fn run_that_its_worker_no_longer_lists_is_logged() {
    let (mut dispatcher, workers) = successor();
    report(&mut dispatcher, workers[0], Some(1), ms(1000));
    report(&mut dispatcher, workers[0], None, ms(1500));
    let [loss] = &dispatcher.plan(ms(1500)).losses[..] else {
        panic!("one run has vanished");
    };
    assert_eq!(
        (loss.cause, loss.run),
        (LossCause::Missing, RunNumber::of_owner(1, 1))
    );
}
