//! Jobs from a caller's request to the completion of their last task, through crashes and outages, in real time.

use std::{
    future::Future,
    time::Duration, //
};

use jasminebend_dispatch::{
    JobOutcome,
    JobProgress, //
};
use jasminebend_fleet::{
    CallerAnswer,
    CallerVerb,
    StoreTable, //
};
use tokio::{
    runtime::Builder,
    task::LocalSet,
    time, //
};

use crate::test_fleet::{
    TestFleet,
    count_waiting,
    job,
    send_request,
    submit,
    wait_for_progress, //
};

const COMPLETED: JobProgress = JobProgress::Ended(JobOutcome::Completed);
const CANCELLED: JobProgress = JobProgress::Ended(JobOutcome::Cancelled);

fn run_test<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime can be built"), test);
}

#[test]
fn a_job_runs_until_all_its_tasks_have_ended() {
    run_test(async {
        let fleet = TestFleet::new(2);
        let (first, second) = (fleet.daemon(), fleet.daemon());
        submit(&first.job_api, 1, &job(&[(4, &[]), (1, &[0])])).await;
        wait_for_progress(&second.job_api, 1, COMPLETED).await;
        assert_eq!(fleet.workers.started_runs(), 5);
    });
}

/// Guards against a job that runs twice: the answer to its submission was lost, and it is submitted to two daemons at
/// the same time.
#[test]
fn a_job_submitted_to_two_daemons_at_once_runs_once() {
    run_test(async {
        let fleet = TestFleet::new(2);
        let (first, second) = (fleet.daemon(), fleet.daemon());
        let graph = job(&[(3, &[])]);
        first.store_client.lost_answers.set(1);
        tokio::join!(
            submit(&first.job_api, 1, &graph),
            submit(&second.job_api, 1, &graph)
        );
        wait_for_progress(&first.job_api, 1, COMPLETED).await;
        assert_eq!(fleet.workers.started_runs(), 3);
        assert_eq!(fleet.store.count(StoreTable::Jobs), 1);
    });
}

/// Guards against a lost or repeated job: all daemons lose power right after it was accepted.
#[test]
fn an_accepted_job_survives_the_loss_of_all_daemons() {
    run_test(async {
        let fleet = TestFleet::new(2);
        let (first, second) = (fleet.daemon(), fleet.daemon());
        submit(&first.job_api, 1, &job(&[(4, &[]), (2, &[0])])).await;
        first.kill();
        second.kill();
        let third = fleet.daemon();
        wait_for_progress(&third.job_api, 1, COMPLETED).await;
        assert_eq!(fleet.workers.started_runs(), 6);
    });
}

/// Guards against refusals at a daemon that has lost the store: the store refuses the owner's calls and serves the
/// other daemon, which takes over and answers the requests that the first one forwards.
#[test]
fn a_daemon_that_the_store_refuses_forwards_its_requests() {
    run_test(async {
        let fleet = TestFleet::new(2);
        let first = fleet.daemon();
        submit(&first.job_api, 1, &job(&[(1, &[])])).await;
        wait_for_progress(&first.job_api, 1, COMPLETED).await;
        let second = fleet.daemon();
        wait_for_progress(&second.job_api, 1, COMPLETED).await;
        time::sleep(Duration::from_millis(600)).await;
        first.store_client.refuses_calls.set(true);
        submit(&first.job_api, 2, &job(&[(2, &[])])).await;
        wait_for_progress(&second.job_api, 2, COMPLETED).await;
        wait_for_progress(&first.job_api, 2, COMPLETED).await;
        assert_eq!(fleet.workers.started_runs(), 3);
    });
}

/// Guards against running a refused job: while the store is lost for all, jobs are refused and must never run.
#[test]
fn without_the_store_a_job_is_refused_at_once_and_never_runs() {
    run_test(async {
        let fleet = TestFleet::new(1);
        let daemon = fleet.daemon();
        submit(&daemon.job_api, 1, &job(&[(1, &[])])).await;
        daemon.store_client.refuses_calls.set(true);
        let answer = send_request(&daemon.job_api, 2, CallerVerb::Submit(job(&[(1, &[])]))).await;
        assert!(matches!(answer, CallerAnswer::Refused(_)), "{answer:?}");
        daemon.store_client.refuses_calls.set(false);
        wait_for_progress(&daemon.job_api, 1, COMPLETED).await;
        assert_eq!(
            send_request(&daemon.job_api, 2, CallerVerb::Read).await,
            CallerAnswer::NoJob
        );
        assert_eq!(fleet.workers.started_runs(), 1);
    });
}

/// Guards against a refusal of a job that was recorded: the answers to its writes were lost.
#[test]
fn a_lost_answer_of_the_store_is_not_reported_as_a_refusal() {
    run_test(async {
        let fleet = TestFleet::new(1);
        let daemon = fleet.daemon();
        submit(&daemon.job_api, 1, &job(&[(1, &[])])).await;
        wait_for_progress(&daemon.job_api, 1, COMPLETED).await;
        daemon.store_client.lost_answers.set(3);
        let answer = send_request(&daemon.job_api, 2, CallerVerb::Submit(job(&[(1, &[])]))).await;
        assert_eq!(answer, CallerAnswer::Unknown);
        wait_for_progress(&daemon.job_api, 2, COMPLETED).await;
    });
}

#[test]
fn a_cancelled_job_stays_cancelled_at_every_daemon() {
    run_test(async {
        let fleet = TestFleet::new(1);
        let (first, second) = (fleet.daemon(), fleet.daemon());
        submit(&first.job_api, 1, &job(&[(40, &[])])).await;
        assert_eq!(
            send_request(&second.job_api, 1, CallerVerb::Cancel).await,
            CallerAnswer::Done
        );
        wait_for_progress(&first.job_api, 1, CANCELLED).await;
        first.kill();
        second.kill();
        let third = fleet.daemon();
        wait_for_progress(&third.job_api, 1, CANCELLED).await;
    });
}

#[test]
fn missing_jobs_and_invalid_jobs_are_reported() {
    run_test(async {
        let fleet = TestFleet::new(1);
        let daemon = fleet.daemon();
        submit(&daemon.job_api, 1, &job(&[(1, &[])])).await;
        assert_eq!(
            send_request(&daemon.job_api, 9, CallerVerb::Read).await,
            CallerAnswer::NoJob
        );
        assert_eq!(
            send_request(&daemon.job_api, 9, CallerVerb::Cancel).await,
            CallerAnswer::NoJob
        );
        assert_eq!(
            count_waiting(&daemon.job_api, "/elsewhere/").await,
            CallerAnswer::NoQueue
        );
        let circle = job(&[(1, &[1]), (1, &[0])]);
        let answer = send_request(&daemon.job_api, 2, CallerVerb::Submit(circle)).await;
        assert!(matches!(answer, CallerAnswer::Malformed(_)), "{answer:?}");
    });
}

/// Guards against a count of zero waiting jobs: an owner that had just written its row had not read the jobs yet.
#[test]
fn waiting_jobs_are_counted_by_an_owner_that_has_read_them() {
    run_test(async {
        let fleet = TestFleet::new(0);
        let first = fleet.daemon();
        for number in 1..=5 {
            submit(&first.job_api, number, &job(&[(1, &[])])).await;
        }
        first.kill();
        let second = fleet.daemon();
        for _ in 0..200 {
            match count_waiting(&second.job_api, "/queue/").await {
                CallerAnswer::Refused(_) => {}
                CallerAnswer::Waiting(waiting) => return assert_eq!(waiting, 5),
                other => panic!("{other:?}"),
            }
            time::sleep(Duration::from_millis(5)).await;
        }
        panic!("the queue is never counted");
    });
}

#[test]
fn a_daemon_that_stops_gives_up_the_ownership() {
    run_test(async {
        let fleet = TestFleet::new(2);
        let (first, second) = (fleet.daemon(), fleet.daemon());
        submit(&second.job_api, 1, &job(&[(2, &[])])).await;
        wait_for_progress(&second.job_api, 1, COMPLETED).await;
        first.stop().await;
        submit(&second.job_api, 2, &job(&[(2, &[])])).await;
        wait_for_progress(&second.job_api, 2, COMPLETED).await;
        assert_eq!(fleet.workers.started_runs(), 4);
    });
}
