//! Jobs of which an owner learns only after their cancellation, or after a worker has reported their end.

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
    EarlierRun,
    EndedRun,
    JobKey,
    JobOutcome,
    JobProgress,
    ProgressRecord,
    RenewalReport,
    RunNumber,
    RunResult,
    RunningTask,
    StepKey,
    StepProgress,
    TaskKey,
    WorkerKey,
    WorkerOrder, //
};

fn late_key() -> JobKey {
    JobKey::new(7)
}

fn late_job(queue: &str) -> AcceptedJob {
    AcceptedJob {
        queue: queue.into(),
        rule: None,
        graph: graph(vec![step(1, &[])]).into(),
        accepted: Duration::ZERO,
        inherited: true,
    }
}

fn only_queue() -> String {
    let configuration = configuration(3);
    let name = configuration.queues.keys().next();
    name.expect("it has a queue").to_string()
}

fn first_task(job: JobKey) -> TaskKey {
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

/// Returns the end of the first run that a former owner started of a job's first task.
fn ended(job: JobKey, result: RunResult) -> EndedRun {
    EndedRun {
        number: 1,
        task: first_task(job),
        run: RunNumber::of_owner(1, 1),
        result,
        checkpoint: None,
    }
}

/// Returns an owner that has replaced another one, and its only worker.
fn successor() -> (Dispatcher, WorkerKey) {
    let record = Fleet::new(1, 1).workers[0].record().clone();
    let mut dispatcher = Dispatcher::new(2, DispatchSettings::default());
    dispatcher.set_configuration(configuration(3));
    let worker = dispatcher.upsert_worker(record, Some(ms(9000)));
    (dispatcher, worker)
}

/// Guards against a cancelled job that runs: its owner learns of the cancellation before the job.
#[test]
fn job_that_is_learned_after_its_cancellation_is_cancelled() {
    let mut dispatcher = Dispatcher::new(2, DispatchSettings::default());
    dispatcher.set_configuration(configuration(3));
    dispatcher.cancel_job(late_key());
    dispatcher.add_job(late_key(), late_job(&only_queue()));
    assert_eq!(
        dispatcher.progress(late_key()),
        Some(JobProgress::Ended(JobOutcome::Cancelled))
    );
}

/// Guards against a doubled execution: a former owner started the task of a job of which this owner learns only after
/// the worker has reported the task's end.
#[test]
fn task_that_ended_before_its_job_was_known_is_not_executed_again() {
    let (mut dispatcher, worker) = successor();
    let ended = ended(late_key(), RunResult::Done);
    // The worker lists the completion until it is acknowledged.
    let mut starts = 0;
    for turn in 0..200 {
        let now = ms(1000 + turn * 100);
        if turn == 5 {
            dispatcher.add_job(late_key(), late_job(&only_queue()));
        }
        let renewal = dispatcher.next_renewal(worker, true, now);
        let completions = match renewal.acknowledged {
            0 => vec![ended.clone()],
            _ => Vec::new(),
        };
        let report = RenewalReport {
            clock: now,
            incarnation: None,
            running: Vec::new(),
            completions,
        };
        dispatcher.handle_renewal_report(worker, now, report, now);
        let orders = dispatcher.plan(now).orders;
        let is_start = |order: &&WorkerOrder| matches!(order, WorkerOrder::Start(_));
        starts += orders.iter().filter(is_start).count();
        if !dispatcher.take_records_to_commit(10).is_empty() {
            dispatcher.confirm_commit();
        }
    }
    assert_eq!(starts, 0);
}

/// Returns the progress of a job that its owner learns of in the turn `learned_in`, and the number of starts that the owner orders.
/// A worker lists a run of the job's task in the first turns, of 100 ms each, and then its end until that is acknowledged.
fn starts_of_job_learned_in(learned_in: u64) -> (Option<JobProgress>, usize) {
    let (mut dispatcher, worker) = successor();
    let ended = ended(late_key(), RunResult::Done);
    let running = RunningTask {
        task: ended.task,
        run: ended.run,
        checkpoint: None,
        progress_percent: 50,
        metric: None,
    };
    let mut starts = 0;
    for turn in 0..200 {
        let now = ms(1000 + turn * 100);
        let renewal = dispatcher.next_renewal(worker, true, now);
        let is_running = turn < 3;
        let is_listed = !is_running && renewal.acknowledged == 0;
        let report = RenewalReport {
            clock: now,
            incarnation: None,
            running: Vec::from_iter(is_running.then(|| running.clone())),
            completions: Vec::from_iter(is_listed.then(|| ended.clone())),
        };
        dispatcher.handle_renewal_report(worker, now, report, now);
        if turn == learned_in {
            dispatcher.add_job(late_key(), late_job(&only_queue()));
        }
        let orders = dispatcher.plan(now).orders;
        let is_start = |order: &&WorkerOrder| matches!(order, WorkerOrder::Start(_));
        starts += orders.iter().filter(is_start).count();
        if !dispatcher.take_records_to_commit(10).is_empty() {
            dispatcher.confirm_commit();
        }
    }
    (dispatcher.progress(late_key()), starts)
}

/// Guards against a task that starts again after its end was acknowledged: the owner learns of the job between two reports of the
/// worker, the first of which has listed the end, or when the end was acknowledged already.
#[test]
fn end_that_was_listed_before_its_job_was_known_counts_as_soon_as_it_is() {
    let turns = [4, 10, 25, 35, 60, 150];
    let expected = (Some(JobProgress::Ended(JobOutcome::Completed)), 0);
    let found = turns.map(starts_of_job_learned_in);
    assert_eq!(found, [expected; 6], "jobs learned in turns {turns:?}");
}

/// Guards against a log that denies an earlier run: the worker listed its failure before the job was known.
#[test]
fn start_after_a_failure_listed_before_its_job_was_known_tells_of_it() {
    let (mut dispatcher, worker) = successor();
    dispatcher.next_renewal(worker, true, ms(1000));
    let report = RenewalReport {
        clock: ms(1000),
        incarnation: None,
        running: Vec::new(),
        completions: vec![ended(late_key(), RunResult::Failed)],
    };
    dispatcher.handle_renewal_report(worker, ms(1000), report, ms(1000));
    dispatcher.add_job(late_key(), late_job(&only_queue()));
    let orders = dispatcher.plan(ms(1000)).orders;
    assert!(
        matches!(orders[..], [WorkerOrder::Start(_)]),
        "the queue allows more attempts: {orders:?}"
    );
    assert_eq!(
        dispatcher.earlier_run(first_task(late_key())),
        EarlierRun::Ended(RunResult::Failed)
    );
}

/// Guards against a task that starts again after its end was listed, and an end of the worker's next incarnation that is
/// acknowledged without a record: the worker restarts before the job of the first end is known.
#[test]
fn end_listed_before_a_restart_counts_and_acknowledges_no_later_one() {
    let (mut dispatcher, worker) = successor();
    for (seconds, job) in [(1, late_key()), (2, JobKey::new(8))] {
        let now = ms(1000 * seconds);
        dispatcher.next_renewal(worker, true, now);
        let report = RenewalReport {
            clock: now,
            incarnation: Some(now),
            running: Vec::new(),
            completions: vec![ended(job, RunResult::Done)],
        };
        dispatcher.handle_renewal_report(worker, now, report, now);
    }
    dispatcher.add_job(late_key(), late_job(&only_queue()));
    assert_eq!(dispatcher.plan(ms(3000)).orders, Vec::new());
    assert_eq!(dispatcher.take_records_to_commit(10).len(), 1);
    dispatcher.confirm_commit();
    assert_eq!(
        dispatcher.progress(late_key()),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    let renewal = dispatcher.next_renewal(worker, true, ms(3000));
    assert_eq!(renewal.acknowledged, 0, "the second end is on no record");
}

/// Guards against two runs of a task at once: a former owner started the task of a job of which this owner learns only after the
/// worker has listed the run, and this owner started the task again while it stopped that run.
#[test]
fn run_that_is_listed_before_its_job_is_known_is_adopted() {
    let (mut dispatcher, worker) = successor();
    let task = first_task(late_key());
    let mut orders = Vec::new();
    for turn in 0..20 {
        let now = ms(1000 + turn * 100);
        if turn == 2 {
            dispatcher.add_job(late_key(), late_job(&only_queue()));
            orders.extend(dispatcher.plan(now).orders);
        }
        dispatcher.next_renewal(worker, true, now);
        let report = RenewalReport {
            clock: now,
            incarnation: None,
            running: vec![RunningTask {
                task,
                run: RunNumber::of_owner(1, 1),
                checkpoint: None,
                progress_percent: (turn + 1) as u32,
                metric: None,
            }],
            completions: Vec::new(),
        };
        dispatcher.handle_renewal_report(worker, now, report, now);
        orders.extend(dispatcher.plan(now).orders);
    }
    assert_eq!(orders, Vec::new());
}

/// Guards against a second run by the next owner: a worker that is no longer listed, and runs only a task of a job that is not
/// known yet, was taken off the record.
#[test]
fn worker_that_runs_a_task_of_an_unknown_job_stays_on_record() {
    let record = Fleet::new(1, 1).workers[0].record().clone();
    let id = record.id.clone();
    let mut dispatcher = Dispatcher::new(2, DispatchSettings::default());
    let worker = dispatcher.upsert_worker(record, Some(ms(9000)));
    let task = first_task(late_key());
    dispatcher.next_renewal(worker, true, ms(1000));
    let report = RenewalReport {
        clock: ms(1000),
        incarnation: None,
        running: vec![RunningTask {
            task,
            run: RunNumber::of_owner(1, 1),
            checkpoint: None,
            progress_percent: 1,
            metric: None,
        }],
        completions: Vec::new(),
    };
    dispatcher.handle_renewal_report(worker, ms(1000), report, ms(1000));
    dispatcher.mark_unlisted(&id);
    assert_eq!(dispatcher.begin_recording().len(), 1);
    dispatcher.expire_leases(ms(20_000));
    assert_eq!(dispatcher.begin_recording().len(), 0);
}

/// Guards against a run that goes on for good: its job never becomes known.
#[test]
fn run_of_a_job_that_stays_unknown_is_stopped() {
    let record = Fleet::new(1, 1).workers[0].record().clone();
    let mut dispatcher = Dispatcher::new(2, DispatchSettings::default());
    let worker = dispatcher.upsert_worker(record, Some(ms(9000)));
    let task = first_task(late_key());
    let mut orders = Vec::new();
    for turn in 0..50 {
        let now = ms(1000 + turn * 100);
        if turn == 40 {
            assert_eq!(orders, Vec::new(), "the job may yet be learned");
            dispatcher.confirm_former_jobs(now);
        }
        dispatcher.next_renewal(worker, true, now);
        let report = RenewalReport {
            clock: now,
            incarnation: None,
            running: vec![RunningTask {
                task,
                run: RunNumber::of_owner(1, 1),
                checkpoint: None,
                progress_percent: 1,
                metric: None,
            }],
            completions: Vec::new(),
        };
        dispatcher.handle_renewal_report(worker, now, report, now);
        orders.extend(dispatcher.plan(now).orders);
    }
    let is_stop = |order: &WorkerOrder| matches!(order, WorkerOrder::Stop { .. });
    assert!(
        !orders.is_empty() && orders.iter().all(is_stop),
        "{orders:?}"
    );
}

/// Guards against tasks that start again after their ends were acknowledged: their job's row was read before a former owner began to
/// act, and its record after that, so that the job becomes known after its record.
#[test]
fn record_that_was_read_before_its_job_counts_as_soon_as_the_job_is_known() {
    let (mut dispatcher, worker) = successor();
    let done = StepProgress {
        all_done: true,
        ..StepProgress::default()
    };
    let progress = ProgressRecord {
        steps: vec![done],
        ..ProgressRecord::default()
    };
    dispatcher.restore_job(late_key(), &progress);
    let report = RenewalReport {
        clock: ms(1000),
        incarnation: None,
        running: Vec::new(),
        completions: Vec::new(),
    };
    dispatcher.next_renewal(worker, true, ms(1000));
    dispatcher.handle_renewal_report(worker, ms(1000), report, ms(1000));
    dispatcher.plan(ms(1000));
    let job = AcceptedJob {
        graph: graph(vec![step(1, &[]), step(1, &[0])]).into(),
        ..late_job(&only_queue())
    };
    dispatcher.add_job(late_key(), job);
    let orders = dispatcher.plan(ms(1100)).orders;
    let steps = orders.iter().map(|order| match order {
        WorkerOrder::Start(start) => start.task.step.step,
        _ => panic!("nothing runs"),
    });
    assert_eq!(steps.collect::<Vec<u16>>(), [1], "step 0 is done");
}

/// Guards against a job that is shown as failed after one failed run, because its owner does not know yet how many its queue
/// allows.
#[test]
fn failed_run_ends_no_job_before_its_queue_is_known() {
    for (attempts, expected) in [(3, false), (1, true)] {
        let record = Fleet::new(1, 1).workers[0].record().clone();
        let mut dispatcher = Dispatcher::new(2, DispatchSettings::default());
        let worker = dispatcher.upsert_worker(record, Some(ms(9000)));
        dispatcher.add_job(late_key(), late_job(&only_queue()));
        let task = first_task(late_key());
        let report = RenewalReport {
            clock: ms(1000),
            incarnation: None,
            running: Vec::new(),
            completions: vec![EndedRun {
                number: 1,
                task,
                run: RunNumber::of_owner(1, 1),
                result: RunResult::Failed,
                checkpoint: None,
            }],
        };
        dispatcher.handle_renewal_report(worker, ms(1000), report, ms(1000));
        let has_failed = |dispatcher: &mut Dispatcher| {
            drop(dispatcher.take_records_to_commit(10));
            dispatcher.confirm_commit();
            dispatcher.progress(late_key()) == Some(JobProgress::Ended(JobOutcome::Failed))
        };
        assert!(!has_failed(&mut dispatcher), "before the queue is known");
        dispatcher.set_configuration(configuration(attempts));
        assert_eq!(has_failed(&mut dispatcher), expected, "{attempts} attempts");
    }
}
