//! Tests jobs that fail on every worker, and workers on which every job fails.

use jasminebend_planner::{
    HoldReason,
    JobPhase, //
};
use jasminebend_standins::TaskPayload;
use tokio::time::sleep;

use crate::test_bed::{
    TestBed,
    batch_job,
    seconds, //
};

// A faulty job must not be retried forever, nor cause the workers on which it fails to be
// quarantined.
#[tokio::test(start_paused = true)]
async fn a_job_that_fails_everywhere_is_held_and_quarantines_no_worker() {
    let bed = TestBed::new(6);
    let planner = bed.start_planner(1).await;
    let mut broken = batch_job(1, seconds(1));
    broken.payload = TaskPayload::new(seconds(1)).with_failure(42).to_text();
    let mut jobs = Vec::new();
    for _ in 0..5 {
        jobs.push(planner.handle.submit(broken.clone()).await.unwrap());
    }
    sleep(seconds(60)).await;
    for job in jobs {
        let status = planner.status(job).await;
        let JobPhase::Held { reason } = &status.phase else {
            panic!("not held: {status:?}");
        };
        let HoldReason::FailedOnSeveralWorkers { code, workers, .. } = reason;
        assert_eq!((*code, *workers), (42, 3));
        assert!(bed.ledger.runs_of(job.0, 0).len() <= 8);
    }
    let job = planner
        .handle
        .submit(batch_job(48, seconds(5)))
        .await
        .unwrap();
    sleep(seconds(10)).await;
    let status = planner.status(job).await;
    assert_eq!(status.running + status.finished, 48);
    planner.wait_until_ended(job, seconds(30)).await;
    bed.check();
}

// Every task fails at once on one faulty worker. It then looks the emptiest and attracts more
// tasks, unless it is quarantined.
#[tokio::test(start_paused = true)]
async fn a_worker_on_which_everything_fails_is_quarantined_probed_and_used_again() {
    let bed = TestBed::new(6);
    bed.worker(2)
        .update_settings(|settings| settings.fails_every_task = true);
    let planner = bed.start_planner(1).await;
    let mut jobs = Vec::new();
    for _ in 0..12 {
        jobs.push(
            planner
                .handle
                .submit(batch_job(4, seconds(10)))
                .await
                .unwrap(),
        );
    }
    for job in jobs {
        assert_eq!(
            planner.wait_until_ended(job, seconds(300)).await.phase,
            JobPhase::Finished
        );
    }
    let failures = bed.check().failures;
    assert!((3..=16).contains(&failures), "{failures}");
    bed.worker(2)
        .update_settings(|settings| settings.fails_every_task = false);
    let steady = planner
        .handle
        .submit(batch_job(400, seconds(20)))
        .await
        .unwrap();
    planner.wait_until_ended(steady, seconds(600)).await;
    let runs = bed.ledger.runs();
    let back = runs.iter().filter(|run| run.worker == bed.worker(2).name());
    assert!(back.count() > 20);
}
