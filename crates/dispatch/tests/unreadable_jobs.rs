//! Ends of runs of jobs whose rows or records an owner can't read.

mod common;

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
    EndedRun,
    JobKey,
    ProgressRecord,
    RenewalReport,
    RunNumber,
    RunResult,
    StepKey,
    StepProgress,
    TaskKey,
    WorkerKey,
    WorkerOrder, //
};

const UNREADABLE: JobKey = JobKey::new(7);
const READABLE: JobKey = JobKey::new(8);
/// The most ends in a worker's answer.
const MAX_ENDS_PER_REPORT: u32 = 500;

fn task(job: JobKey, step: u16, index: u32) -> TaskKey {
    let occurrence = 0;
    let step = StepKey {
        job,
        occurrence,
        step,
    };
    step.task(index)
}

fn end(number: u64, task: TaskKey, result: RunResult) -> EndedRun {
    EndedRun {
        number,
        task,
        run: RunNumber::of_owner(1, number),
        result,
        checkpoint: None,
    }
}

/// Returns the owner with this token, and its only worker.
fn owner(token: u64) -> (Dispatcher, WorkerKey) {
    let record = Fleet::new(1, 1).workers[0].record().clone();
    let mut dispatcher = Dispatcher::new(token, DispatchSettings::default());
    dispatcher.set_configuration(configuration(2));
    let worker = dispatcher.upsert_worker(record, Some(ms(9000)));
    (dispatcher, worker)
}

fn add_job(dispatcher: &mut Dispatcher, key: JobKey, steps: Vec<u32>) {
    let configuration = configuration(2);
    let queue = configuration.queues.keys().next();
    let steps = steps.into_iter().map(|count| step(count, &[]));
    let job = AcceptedJob {
        queue: queue.expect("it has a queue").clone(),
        rule: None,
        graph: graph(steps.collect()).into(),
        accepted: ms(0),
        inherited: true,
    };
    dispatcher.add_job(key, job);
}

/// Passes an answer of the worker with these ends, and returns the number up to which they were acknowledged before.
fn report(
    dispatcher: &mut Dispatcher,
    worker: WorkerKey,
    at: u64,
    completions: Vec<EndedRun>,
) -> u64 {
    let renewal = dispatcher.next_renewal(worker, true, ms(at));
    let report = RenewalReport {
        clock: ms(at),
        incarnation: None,
        running: Vec::new(),
        completions,
    };
    dispatcher.handle_renewal_report(worker, ms(at), report, ms(at));
    renewal.acknowledged
}

fn started_tasks(dispatcher: &mut Dispatcher, at: u64) -> Vec<TaskKey> {
    let orders = dispatcher.plan(ms(at)).orders;
    let starts = orders.into_iter().filter_map(|order| match order {
        WorkerOrder::Start(start) => Some(start.task),
        _ => None,
    });
    starts.collect()
}

fn take_record(dispatcher: &mut Dispatcher, key: JobKey) -> ProgressRecord {
    let records = dispatcher.take_records_to_commit(10);
    let record = records.into_iter().find(|(job, _)| *job == key);
    record.expect("the job has changes").1
}

/// Guards against ends that are acknowledged without a record: the job's row, or its progress, can't be read.
#[test]
fn ends_of_an_unreadable_job_are_acknowledged_once_they_are_on_record() {
    let unreadable: [fn(&mut Dispatcher); 4] = [
        |dispatcher| assert!(dispatcher.mark_unreadable(UNREADABLE)),
        |dispatcher| dispatcher.freeze_job(UNREADABLE),
        |dispatcher| {
            add_job(dispatcher, UNREADABLE, vec![2]);
            dispatcher.freeze_job(UNREADABLE);
        },
        |dispatcher| {
            dispatcher.freeze_job(UNREADABLE);
            add_job(dispatcher, UNREADABLE, vec![2]);
        },
    ];
    for (case, make_unreadable) in unreadable.into_iter().enumerate() {
        let (mut dispatcher, worker) = owner(2);
        add_job(&mut dispatcher, READABLE, vec![1]);
        make_unreadable(&mut dispatcher);
        let ends = vec![
            end(1, task(UNREADABLE, 0, 1), RunResult::Done),
            end(2, task(READABLE, 0, 0), RunResult::Done),
        ];
        report(&mut dispatcher, worker, 1000, ends);
        dispatcher.confirm_former_jobs(ms(1000));
        assert_eq!(started_tasks(&mut dispatcher, 1000), [], "case {case}");
        let record = take_record(&mut dispatcher, UNREADABLE);
        assert_eq!(record.steps[0].done, [1], "case {case}");
        assert_eq!(report(&mut dispatcher, worker, 1100, Vec::new()), 0);
        dispatcher.confirm_commit();
        assert_eq!(report(&mut dispatcher, worker, 1200, Vec::new()), 2);
    }
}

/// Guards against ends that are lost with the owner that recorded them, or replaced by those that the next one records which
/// can't read the job either.
#[test]
fn recorded_ends_count_for_the_next_owner_that_can_read_the_job() {
    for is_known_before in [false, true] {
        let (mut first, worker) = owner(2);
        first.mark_unreadable(UNREADABLE);
        let ends = vec![end(1, task(UNREADABLE, 0, 0), RunResult::Done)];
        report(&mut first, worker, 1000, ends);
        let record = take_record(&mut first, UNREADABLE);
        let (mut second, worker) = owner(3);
        second.mark_unreadable(UNREADABLE);
        second.restore_ends(UNREADABLE, record);
        let ends = vec![
            end(2, task(UNREADABLE, 1, 0), RunResult::Failed),
            end(3, task(UNREADABLE, 1, 1), RunResult::Done),
        ];
        report(&mut second, worker, 1000, ends);
        let record = take_record(&mut second, UNREADABLE);
        let (mut third, worker) = owner(4);
        match is_known_before {
            true => {
                add_job(&mut third, UNREADABLE, vec![2, 2]);
                third.restore_ends(UNREADABLE, record);
            }
            false => {
                third.restore_ends(UNREADABLE, record);
                add_job(&mut third, UNREADABLE, vec![2, 2]);
            }
        }
        report(&mut third, worker, 1000, Vec::new());
        let started = started_tasks(&mut third, 1000);
        assert_eq!(started, [task(UNREADABLE, 0, 1), task(UNREADABLE, 1, 0)]);
        let record = take_record(&mut third, UNREADABLE);
        assert_eq!(record.steps.len(), 2);
        assert_eq!(record.steps[1].failures.len(), 1);
    }
}

/// Guards against a job that stands still for an owner that can read one copy of its row and not another.
#[test]
fn job_of_which_a_copy_can_be_read_starts() {
    let (mut dispatcher, worker) = owner(2);
    assert!(dispatcher.mark_unreadable(READABLE));
    let ends = vec![end(1, task(READABLE, 0, 0), RunResult::Done)];
    report(&mut dispatcher, worker, 1000, ends);
    add_job(&mut dispatcher, READABLE, vec![2]);
    assert!(!dispatcher.mark_unreadable(READABLE));
    assert_eq!(started_tasks(&mut dispatcher, 1000), [task(READABLE, 0, 1)]);
    assert_eq!(take_record(&mut dispatcher, READABLE).steps[0].done, [0]);
}

/// Guards against a row that the store refuses, and against ends beyond it that are acknowledged without a record.
#[test]
fn ends_that_fit_into_no_row_stay_with_their_worker() {
    let (mut dispatcher, worker) = owner(2);
    dispatcher.mark_unreadable(UNREADABLE);
    let mut next = 1;
    for turn in 0..40 {
        let numbers = next..next + u64::from(MAX_ENDS_PER_REPORT);
        next = numbers.end;
        // CAST: Below 20,000.
        let ends =
            numbers.map(|number| end(number, task(UNREADABLE, 0, number as u32), RunResult::Done));
        report(&mut dispatcher, worker, 1000 + turn * 100, ends.collect());
    }
    let record = take_record(&mut dispatcher, UNREADABLE);
    dispatcher.confirm_commit();
    let acknowledged = report(&mut dispatcher, worker, 9000, Vec::new());
    assert_eq!(acknowledged, record.steps[0].done.len() as u64);
    assert!((10_000..13_000).contains(&acknowledged), "{acknowledged}");
}

/// Guards against recorded ends that are replaced by an owner that can't read them.
#[test]
fn ends_stay_with_their_worker_where_recorded_ones_cannot_be_read() {
    let (mut dispatcher, worker) = owner(2);
    add_job(&mut dispatcher, UNREADABLE, vec![2]);
    dispatcher.close_ends(UNREADABLE);
    let ends = vec![end(1, task(UNREADABLE, 0, 0), RunResult::Done)];
    report(&mut dispatcher, worker, 1000, ends);
    assert_eq!(started_tasks(&mut dispatcher, 1000), []);
    assert!(dispatcher.take_records_to_commit(10).is_empty());
    assert_eq!(report(&mut dispatcher, worker, 1100, Vec::new()), 0);
}

fn failures(count: u64) -> ProgressRecord {
    let runs = (1..=count).map(|number| (0, RunNumber::of_owner(1, number)));
    let step = StepProgress {
        failures: runs.collect(),
        ..StepProgress::default()
    };
    ProgressRecord {
        steps: vec![step],
        ..ProgressRecord::default()
    }
}

/// Guards against ends that are lost: the row that holds them can't be read, and an owner that found the job to have failed wrote
/// an empty one over it.
#[test]
fn recorded_ends_that_cannot_be_read_are_not_overwritten() {
    let (mut dispatcher, _) = owner(2);
    add_job(&mut dispatcher, UNREADABLE, vec![2]);
    dispatcher.restore_job(UNREADABLE, &failures(2));
    dispatcher.close_ends(UNREADABLE);
    assert_eq!(dispatcher.take_records_to_commit(45), []);
}

/// Guards against a job that is shown as failed although its tasks are done: the failures that an owner recorded which could not
/// read the job were counted after the task had ended.
#[test]
fn recorded_failures_of_a_done_task_fail_no_job() {
    let (mut dispatcher, _) = owner(2);
    add_job(&mut dispatcher, READABLE, vec![2]);
    let done = StepProgress {
        done: vec![0],
        ..StepProgress::default()
    };
    let progress = ProgressRecord {
        steps: vec![done],
        ..ProgressRecord::default()
    };
    dispatcher.restore_job(READABLE, &progress);
    dispatcher.restore_ends(READABLE, failures(2));
    let records = dispatcher.take_records_to_commit(45);
    assert!(
        records.iter().all(|(_, record)| record.outcome.is_none()),
        "{records:?}"
    );
}
