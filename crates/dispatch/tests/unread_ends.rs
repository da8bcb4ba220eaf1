//! Ends of a former owner's runs that a worker lists after others, or that are not on record yet.

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
    EndedRun,
    JobKey,
    JobOutcome,
    JobProgress,
    RenewalReport,
    RunNumber,
    RunResult,
    StepKey,
    TaskKey,
    WorkerKey,
    WorkerOrder, //
};

/// The most ends that a worker lists in an answer.
const LISTED_ENDS: usize = 500;
/// The ends of the tests are more than one answer lists.
const TASK_COUNT: u32 = 700;
const TURN: Duration = Duration::from_millis(100);
const TURN_COUNT: u32 = 300;
/// Any lease of the former owner is over by then.
const INHERITED_UNTIL: Duration = Duration::from_secs(9);

fn task(job: JobKey, index: u32) -> TaskKey {
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    step.task(index)
}

fn ended(number: u64, task: TaskKey) -> EndedRun {
    EndedRun {
        number,
        task,
        run: RunNumber::of_owner(1, number),
        result: RunResult::Done,
        checkpoint: None,
    }
}

/// Returns an owner that has taken over a job, and a worker that lists these ends until they are acknowledged.
fn successor(job: JobKey, task_count: u32) -> (Dispatcher, WorkerKey) {
    let configuration = configuration(3);
    let queue = configuration.queues.keys().next().expect("it has a queue");
    let accepted = AcceptedJob {
        queue: queue.clone(),
        rule: None,
        graph: graph(vec![step(task_count, &[])]).into(),
        accepted: Duration::ZERO,
        inherited: true,
    };
    let mut dispatcher = Dispatcher::new(2, DispatchSettings::default());
    dispatcher.set_configuration(configuration);
    dispatcher.add_job(job, accepted);
    let record = Fleet::new(1, 1).workers[0].record().clone();
    let worker = dispatcher.upsert_worker(record, Some(INHERITED_UNTIL));
    (dispatcher, worker)
}

/// Lets the worker answer for a while, and commits what changed from `commits_from` on; returns the number of starts.
fn count_starts(
    dispatcher: &mut Dispatcher,
    worker: WorkerKey,
    mut ends: Vec<EndedRun>,
    commits_from: Duration,
) -> usize {
    let mut starts = 0;
    for turn in 0..TURN_COUNT {
        let now = ms(1000) + TURN * turn;
        let renewal = dispatcher.next_renewal(worker, true, now);
        ends.retain(|end| end.number > renewal.acknowledged);
        let report = RenewalReport {
            clock: now,
            incarnation: None,
            running: Vec::new(),
            completions: ends.iter().take(LISTED_ENDS).cloned().collect(),
        };
        dispatcher.handle_renewal_report(worker, now, report, now);
        dispatcher.expire_leases(now);
        let orders = dispatcher.plan(now).orders;
        let is_start = |order: &&WorkerOrder| matches!(order, WorkerOrder::Start(_));
        starts += orders.iter().filter(is_start).count();
        if now >= commits_from && !dispatcher.take_records_to_commit(10).is_empty() {
            dispatcher.confirm_commit();
        }
    }
    starts
}

/// Guards against tasks that run again after they were done: their worker has more ends than it lists in an answer, and the
/// successor took the first answer for the whole list, or gave up waiting while the store was away.
#[test]
fn tasks_whose_ends_a_worker_lists_later_are_not_executed_again() {
    for commits_from in [Duration::ZERO, ms(15_000)] {
        let job = JobKey::new(1);
        let (mut dispatcher, worker) = successor(job, TASK_COUNT);
        let numbers = (1..).zip(0..TASK_COUNT);
        let ends = numbers.map(|(number, index)| ended(number, task(job, index)));
        let starts = count_starts(&mut dispatcher, worker, ends.collect(), commits_from);
        assert_eq!(starts, 0, "commits from {commits_from:?}");
        assert_eq!(
            dispatcher.progress(job),
            Some(JobProgress::Ended(JobOutcome::Completed))
        );
    }
}

/// Guards against a task that runs again after it was done: the worker lists its end behind one of a job that is not known yet,
/// which is left with the worker for a while.
#[test]
fn task_whose_end_is_behind_that_of_an_unknown_job_is_not_executed_again() {
    let job = JobKey::new(1);
    let (mut dispatcher, worker) = successor(job, 1);
    let ends = vec![ended(1, task(JobKey::new(2), 0)), ended(2, task(job, 0))];
    let starts = count_starts(&mut dispatcher, worker, ends, Duration::ZERO);
    assert_eq!(starts, 0);
    assert_eq!(
        dispatcher.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
}

/// Guards against tasks that never run again, and a worker that is called for good: it fell silent before it had listed all ends.
#[test]
fn takeover_does_not_wait_for_ends_of_a_worker_whose_lease_has_lapsed() {
    let job = JobKey::new(1);
    let (mut dispatcher, worker) = successor(job, TASK_COUNT);
    let numbers = (1..).zip(1..LISTED_ENDS as u32);
    let mut ends: Vec<EndedRun> = numbers
        .map(|(number, index)| ended(number, task(job, index)))
        .collect();
    ends.push(ended(LISTED_ENDS as u64, task(JobKey::new(2), 0)));
    dispatcher.next_renewal(worker, true, ms(1000));
    let report = RenewalReport {
        clock: ms(1000),
        incarnation: None,
        running: Vec::new(),
        completions: ends,
    };
    dispatcher.handle_renewal_report(worker, ms(1000), report, ms(1000));
    assert!(!dispatcher.is_takeover_complete());
    let id = dispatcher.worker_record(worker).id.clone();
    dispatcher.mark_unlisted(&id);
    assert!(!dispatcher.is_retired(worker));
    dispatcher.expire_leases(ms(20_000));
    assert!(dispatcher.is_takeover_complete());
    drop(dispatcher.take_records_to_commit(10));
    dispatcher.confirm_commit();
    assert!(!dispatcher.is_retired(worker), "an end is on no record");
    dispatcher.confirm_former_jobs(ms(20_000));
    assert!(dispatcher.is_retired(worker));
}

/// Guards against ends that stay with their worker for good, and with them those behind: their job never becomes known.
#[test]
fn ends_of_jobs_that_stay_unknown_are_acknowledged_once_all_jobs_are_known() {
    let job = JobKey::new(1);
    let (mut dispatcher, worker) = successor(job, 1);
    let mut acknowledged = Vec::new();
    for turn in 0..20 {
        let now = ms(1000) + TURN * turn;
        acknowledged.push(dispatcher.next_renewal(worker, true, now).acknowledged);
        let report = RenewalReport {
            clock: now,
            incarnation: None,
            running: Vec::new(),
            completions: vec![ended(1, task(JobKey::new(2), 0)), ended(2, task(job, 0))],
        };
        dispatcher.handle_renewal_report(worker, now, report, now);
        drop(dispatcher.take_records_to_commit(10));
        dispatcher.confirm_commit();
        if turn == 9 {
            dispatcher.confirm_former_jobs(now);
        }
    }
    let (before, after) = acknowledged.split_at(10);
    assert_eq!((before, after), (&[0; 10][..], &[2; 10][..]));
    assert_eq!(
        dispatcher.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
}

/// Guards against a second run by the next owner: registrations lapse in an outage, and a worker was taken off the list before
/// the end of its last run was on record.
#[test]
fn worker_stays_on_record_until_the_ends_of_its_runs_are() {
    let job = JobKey::new(1);
    let (mut dispatcher, worker) = successor(job, 1);
    dispatcher.next_renewal(worker, true, ms(1000));
    let report = RenewalReport {
        clock: ms(1000),
        incarnation: None,
        running: Vec::new(),
        completions: vec![ended(1, task(job, 0))],
    };
    dispatcher.handle_renewal_report(worker, ms(1000), report, ms(1000));
    let id = dispatcher.worker_record(worker).id.clone();
    dispatcher.mark_unlisted(&id);
    assert_eq!(dispatcher.begin_recording().len(), 1);
    assert_eq!(dispatcher.take_records_to_commit(10).len(), 1);
    assert_eq!(dispatcher.begin_recording().len(), 1);
    dispatcher.confirm_commit();
    assert_eq!(dispatcher.begin_recording().len(), 0);
}
