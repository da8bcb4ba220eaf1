//! Outages of single parts of the store, for all daemons.

use std::time::Duration;

use jasminebend_dispatch::{
    JobKey,
    JobOutcome,
    JobProgress, //
};
use jasminebend_fleet::{
    CallerAnswer,
    CallerVerb,
    JobRecord,
    StoreRow,
    StoreTable,
    TOKENS_PER_TERM, //
};
use tokio::time;

use crate::test_fleet::{
    TestDaemon,
    TestFleet,
    job,
    run_simulated,
    send_request,
    submit,
    wait_for_progress, //
};

const COMPLETED: JobProgress = JobProgress::Ended(JobOutcome::Completed);
const CANCELLED: JobProgress = JobProgress::Ended(JobOutcome::Cancelled);
/// Shorter than a job's run.
const DURING_RUN: Duration = Duration::from_millis(50);

/// Makes all calls to the first part for a job's rows fail with an unknown outcome.
fn break_part(daemon: &TestDaemon, number: u64) {
    break_parts(daemon, number, 1);
}

/// Makes all calls to the first `count` parts for a job's rows fail with an unknown outcome.
fn break_parts(daemon: &TestDaemon, number: u64, count: u8) {
    let first = JobKey::new(number).partition(16);
    let parts = (0..count).map(|turn| format!("j{}", (first + turn * 5) % 16));
    daemon.store_client.failing_parts.borrow_mut().extend(parts);
}

fn mend_parts(daemon: &TestDaemon) {
    daemon.store_client.failing_parts.borrow_mut().clear();
}

async fn serving_daemon(fleet: &TestFleet) -> TestDaemon {
    let daemon = fleet.daemon();
    submit(&daemon.job_api, 99, &job(&[(1, &[])])).await;
    wait_for_progress(&daemon.job_api, 99, COMPLETED).await;
    daemon
}

/// Guards against callers that get no answer while a part of the store is unavailable.
#[test]
fn a_job_is_accepted_while_its_part_of_the_store_is_unavailable() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let daemon = serving_daemon(&fleet).await;
        for count in 1..=2 {
            let number = u64::from(count);
            break_parts(&daemon, number, count);
            let graph = job(&[(3, &[])]);
            let answer = send_request(&daemon.job_api, number, CallerVerb::Submit(graph)).await;
            assert_eq!(answer, CallerAnswer::Done, "{count} parts are unavailable");
            wait_for_progress(&daemon.job_api, number, COMPLETED).await;
            mend_parts(&daemon);
        }
        assert_eq!(fleet.workers.started_runs(), 7);
    });
}

/// Guards against a refusal of a job that may have been recorded: every write had an unknown outcome.
#[test]
fn without_any_of_its_parts_the_outcome_of_a_submission_is_unknown() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let daemon = serving_daemon(&fleet).await;
        break_parts(&daemon, 1, 3);
        let answer = send_request(&daemon.job_api, 1, CallerVerb::Submit(job(&[(3, &[])]))).await;
        assert_eq!(answer, CallerAnswer::Unknown);
    });
}

/// Guards against a job that runs twice: its row is in two parts, because the first write was applied without an
/// answer.
#[test]
fn a_job_whose_row_is_in_two_parts_runs_once() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let daemon = serving_daemon(&fleet).await;
        daemon.store_client.lost_answers.set(1);
        let answer = send_request(&daemon.job_api, 1, CallerVerb::Submit(job(&[(3, &[])]))).await;
        assert_eq!(answer, CallerAnswer::Done);
        assert_eq!(fleet.store.count(StoreTable::Jobs), 3);
        wait_for_progress(&daemon.job_api, 1, COMPLETED).await;
        daemon.kill();
        let next = fleet.daemon();
        wait_for_progress(&next.job_api, 1, COMPLETED).await;
        time::sleep(Duration::from_secs(10)).await;
        assert_eq!(fleet.workers.started_runs(), 4);
    });
}

/// Guards against a successor that runs a cancelled job: the cancellation is in another part than the job.
#[test]
fn a_cancellation_in_the_second_part_holds_after_a_takeover() {
    for number in 1..9 {
        run_simulated(async move {
            let fleet = TestFleet::with_runtime_clock(0);
            let daemon = fleet.daemon();
            submit(&daemon.job_api, number, &job(&[(3, &[])])).await;
            break_part(&daemon, number);
            // The daemon knows the job from memory, but can't read its row.
            let answer = send_request(&daemon.job_api, number, CallerVerb::Cancel).await;
            assert_ne!(answer, CallerAnswer::NoJob, "it is on record");
            mend_parts(&daemon);
            let answer = send_request(&daemon.job_api, number, CallerVerb::Cancel).await;
            assert_eq!(answer, CallerAnswer::Done);
            daemon.kill();
            let next = fleet.daemon();
            wait_for_progress(&next.job_api, number, CANCELLED).await;
        });
    }
}

/// Guards against a lost cancellation: the first part for the job's rows was unavailable, so that the job was
/// recorded in the second.
#[test]
fn a_job_in_the_second_part_is_cancelled_there() {
    for number in 1..9 {
        run_simulated(async move {
            let fleet = TestFleet::with_runtime_clock(2);
            let daemon = serving_daemon(&fleet).await;
            break_part(&daemon, number);
            submit(&daemon.job_api, number, &job(&[(1, &[]), (1, &[0])])).await;
            time::sleep(DURING_RUN).await;
            let answer = send_request(&daemon.job_api, number, CallerVerb::Cancel).await;
            assert_eq!(answer, CallerAnswer::Done);
            wait_for_progress(&daemon.job_api, number, CANCELLED).await;
            mend_parts(&daemon);
            daemon.kill();
            let next = fleet.daemon();
            wait_for_progress(&next.job_api, number, CANCELLED).await;
        });
    }
}

/// Guards against "no such job" for a job whose row is in a part that can't be read.
#[test]
fn a_job_that_cannot_be_read_is_not_reported_as_missing() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let daemon = serving_daemon(&fleet).await;
        submit(&daemon.job_api, 1, &job(&[(1, &[])])).await;
        daemon.kill();
        fleet.set_unreachable_owner();
        let other = fleet.daemon();
        time::sleep(Duration::from_secs(3)).await;
        break_part(&other, 1);
        let answer = send_request(&other.job_api, 1, CallerVerb::Read).await;
        assert!(matches!(answer, CallerAnswer::Refused(_)), "{answer:?}");
    });
}

/// Guards against a run that outlives its job: the owner could not read its own row for long, and took in no changes of
/// jobs until it could.
#[test]
fn a_job_is_cancelled_while_the_owner_cannot_read_its_row() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let daemon = serving_daemon(&fleet).await;
        fleet.workers.run_time.set(Duration::from_secs(60));
        submit(&daemon.job_api, 1, &job(&[(3, &[])])).await;
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(fleet.workers.running_tasks().len(), 3);
        let failing = &daemon.store_client.failing_parts;
        failing.borrow_mut().push("s0".to_owned());
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(fleet.workers.running_tasks().len(), 3);
        // Calls to that part fail again and again, so that the store counts as lost at times.
        while send_request(&daemon.job_api, 1, CallerVerb::Cancel).await != CallerAnswer::Done {
            time::sleep(DURING_RUN).await;
        }
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(fleet.workers.running_tasks().len(), 0);
    });
}

/// Guards against a successor that runs a cancelled job because it reads the cancellation before the job.
#[test]
fn a_successor_reads_jobs_before_their_cancellations() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(0);
        let daemon = fleet.daemon();
        submit(&daemon.job_api, 1, &job(&[(3, &[])])).await;
        daemon.kill();
        let key = JobKey::new(1);
        let part = format!("j{}", (key.partition(16) + 5) % 16);
        let row = StoreRow::new(StoreTable::Jobs, &part, format!("{key}.c"), Vec::new());
        fleet.store.write(vec![row]);
        let next = fleet.daemon();
        // Before it owns the jobs it would answer from the rows alone.
        time::sleep(Duration::from_secs(10)).await;
        wait_for_progress(&next.job_api, 1, CANCELLED).await;
    });
}

/// How long an owner that makes no progress may keep the ownership while a healthy daemon could take over.
const REPLACED_AFTER: Duration = Duration::from_secs(10);

/// Within this time an owner reads on after a failed read.
const RETRIED_AFTER: Duration = Duration::from_millis(500);

/// Guards against jobs that stand still although a healthy daemon could take over: the successor of a lost owner can't
/// read one part of the jobs, and never begins to act.
#[test]
fn an_owner_that_cannot_read_all_jobs_is_replaced() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let owner = serving_daemon(&fleet).await;
        let successor = fleet.daemon();
        let other = fleet.daemon();
        time::sleep(Duration::from_secs(2)).await;
        break_part(&successor, 1);
        owner.kill();
        submit(&other.job_api, 2, &job(&[(1, &[])])).await;
        time::sleep(REPLACED_AFTER).await;
        wait_for_progress(&other.job_api, 2, COMPLETED).await;
    });
}

/// Guards against daemons that replace one another in turn while none of them can read a part of the jobs: each begins anew,
/// and jobs wait for a claim although the store is well again.
#[test]
fn an_owner_keeps_its_takeover_going_while_no_daemon_can_read_all_jobs() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let owner = serving_daemon(&fleet).await;
        let successors: Vec<TestDaemon> = (0..3).map(|_| fleet.daemon()).collect();
        time::sleep(Duration::from_secs(2)).await;
        for successor in &successors {
            break_part(successor, 1);
        }
        owner.kill();
        submit(&successors[0].job_api, 2, &job(&[(1, &[])])).await;
        time::sleep(Duration::from_secs(20)).await;
        let token = fleet.store.owner().map(|owner| owner.token);
        assert_eq!(token, Some(2 * TOKENS_PER_TERM));
        for successor in &successors {
            mend_parts(successor);
        }
        time::sleep(RETRIED_AFTER).await;
        assert_eq!(fleet.workers.started_runs(), 2);
    });
}

/// Guards against runs that outlive their cancelled job: the store has dropped its history, and the owner can't read
/// one part of the jobs again, so that it learns of nothing any more but renews all leases.
#[test]
fn a_cancellation_takes_effect_while_a_part_of_the_jobs_cannot_be_read_again() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        fleet.workers.run_time.set(Duration::MAX);
        let owner = fleet.daemon();
        let other = fleet.daemon();
        let mut service = job(&[(2, &[])]);
        service.steps[0].long_running = true;
        submit(&owner.job_api, 2, &service).await;
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(fleet.workers.running_tasks().len(), 2);
        break_part(&owner, 1);
        owner.store_client.forget_history();
        time::sleep(Duration::from_millis(100)).await;
        let answer = send_request(&other.job_api, 2, CallerVerb::Cancel).await;
        assert_eq!(answer, CallerAnswer::Done);
        time::sleep(Duration::from_secs(3)).await;
        assert_eq!(fleet.workers.running_tasks(), Vec::new());
    });
}

/// Guards against an accepted job that is never started: the store dropped its history before the owner learned of the
/// job, while one part could not be read.
#[test]
fn a_job_missed_while_a_part_cannot_be_read_again_is_started_later() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let owner = serving_daemon(&fleet).await;
        break_part(&owner, 1);
        let record = JobRecord {
            queue: "queue".to_owned(),
            accepted_ms: 0,
            graph: job(&[(3, &[])]),
        };
        let value = postcard::to_stdvec(&record).expect("it can be encoded");
        let key = JobKey::new(2);
        let part = format!("j{}", key.partition(16));
        let row = StoreRow::new(StoreTable::Jobs, &part, key.to_string(), value);
        fleet.store.write(vec![row]);
        owner.store_client.forget_history();
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(fleet.workers.started_runs(), 1);
        mend_parts(&owner);
        wait_for_progress(&owner.job_api, 2, COMPLETED).await;
    });
}

/// Guards against jobs that are never started although a healthy daemon could own them: the store has dropped its history, and
/// the owner can't read one part of the jobs again.
#[test]
fn an_owner_that_cannot_read_all_jobs_again_is_replaced() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let owner = serving_daemon(&fleet).await;
        let other = fleet.daemon();
        time::sleep(Duration::from_secs(2)).await;
        break_part(&owner, 1);
        owner.store_client.forget_history();
        time::sleep(Duration::from_millis(100)).await;
        submit(&other.job_api, 2, &job(&[(1, &[])])).await;
        time::sleep(REPLACED_AFTER).await;
        wait_for_progress(&other.job_api, 2, COMPLETED).await;
    });
}

/// Guards against jobs that are never started although a healthy daemon could own them: the store has dropped its history, and
/// the owner can read none of the jobs again.
#[test]
fn an_owner_that_cannot_read_any_jobs_again_is_replaced() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let owner = serving_daemon(&fleet).await;
        let other = fleet.daemon();
        time::sleep(Duration::from_secs(2)).await;
        break_parts(&owner, 1, 16);
        owner.store_client.forget_history();
        time::sleep(Duration::from_millis(100)).await;
        submit(&other.job_api, 2, &job(&[(1, &[])])).await;
        time::sleep(REPLACED_AFTER).await;
        wait_for_progress(&other.job_api, 2, COMPLETED).await;
    });
}

/// Writes the row of a job of one task as if a daemon had accepted it.
fn write_job(fleet: &TestFleet, number: u64) {
    let record = JobRecord {
        queue: "queue".to_owned(),
        accepted_ms: 0,
        graph: job(&[(1, &[])]),
    };
    let value = postcard::to_stdvec(&record).expect("it can be encoded");
    let key = JobKey::new(number);
    let part = format!("j{}", key.partition(16));
    let row = StoreRow::new(StoreTable::Jobs, &part, key.to_string(), value);
    fleet.store.write(vec![row]);
}

/// Guards against jobs that wait for a claim although the store is well again: a daemon without peers gave up its
/// takeover, and nobody else could take over.
#[test]
fn a_daemon_without_peers_keeps_its_takeover_going() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        write_job(&fleet, 2);
        let daemon = fleet.daemon();
        break_part(&daemon, 1);
        time::sleep(Duration::from_secs(8)).await;
        mend_parts(&daemon);
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(fleet.workers.started_runs(), 1);
    });
}
