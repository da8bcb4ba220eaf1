//! Writes that get no answer, and that the store applies late. Time is simulated: it advances only while all tasks wait.

use std::time::Duration;

use jasminebend_dispatch::{
    JobOutcome,
    JobProgress, //
};
use jasminebend_fleet::{
    CallerAnswer,
    CallerVerb, //
};
use tokio::time;

use crate::test_fleet::{
    TestFleet,
    job,
    run_simulated,
    send_request, //
};

/// The number of parts in each of which a submission tries to write its row.
const PARTS_OF_A_JOB: u32 = 3;
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Longer than a write may be late.
const BEYOND_LATE_WRITES: Duration = Duration::from_secs(10);

/// Guards against a job that runs although its caller was told that it does not exist any more: its submission got no answer, and
/// its row was written after the cancellation, or by a repetition of the submission.
#[test]
fn job_that_was_cancelled_before_its_submission_was_written_does_not_run() {
    for repeats in [false, true] {
        run_simulated(async move {
            let fleet = TestFleet::with_runtime_clock(1);
            let daemon = fleet.daemon();
            time::sleep(SETTLING_TIME).await;
            daemon.store_client.late_job_writes.set(PARTS_OF_A_JOB);
            let submission = CallerVerb::Submit(job(&[(1, &[])]));
            let submitted = send_request(&daemon.job_api, 1, submission.clone()).await;
            assert_eq!(submitted, CallerAnswer::Unknown);
            let cancelled = send_request(&daemon.job_api, 1, CallerVerb::Cancel).await;
            assert_eq!(cancelled, CallerAnswer::NoJob);
            if repeats {
                let repeated = send_request(&daemon.job_api, 1, submission).await;
                assert_eq!(repeated, CallerAnswer::Done);
            }
            time::sleep(BEYOND_LATE_WRITES).await;
            assert_eq!(fleet.workers.started_runs(), 0);
            let told = send_request(&daemon.job_api, 1, CallerVerb::Read).await;
            let ended = JobProgress::Ended(JobOutcome::Cancelled);
            assert_eq!(told, CallerAnswer::Progress(ended));
        });
    }
}

/// Guards against a successor that starts such a job.
#[test]
fn successor_does_not_run_a_job_that_was_cancelled_before_its_submission_was_written() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let daemon = fleet.daemon();
        time::sleep(SETTLING_TIME).await;
        daemon.store_client.late_job_writes.set(PARTS_OF_A_JOB);
        let submission = CallerVerb::Submit(job(&[(1, &[])]));
        send_request(&daemon.job_api, 1, submission).await;
        send_request(&daemon.job_api, 1, CallerVerb::Cancel).await;
        daemon.kill();
        let _successor = fleet.daemon();
        time::sleep(BEYOND_LATE_WRITES).await;
        assert_eq!(fleet.workers.started_runs(), 0);
    });
}
