//! Tests submissions, quotas, results and the retention of ended jobs.

use std::sync::Arc;

use jasminebend_base::{
    Configuration,
    OwnerEpoch,
    ResourceAmount,
    ResourceId, //
};
use jasminebend_planner::{
    JobError,
    JobPhase,
    JobSpec,
    PlannerSettings,
    SubmitError,
    WaitReason, //
};
use jasminebend_standins::{
    CallKind,
    FaultKind, //
};
use tokio::time::sleep;

use crate::test_bed::{
    TestBed,
    batch_job,
    seconds,
    service_job, //
};

#[tokio::test(start_paused = true)]
async fn a_job_runs_and_its_results_are_returned() {
    let bed = TestBed::new(4);
    let planner = bed.start_planner(1).await;
    let job = planner
        .handle
        .submit(batch_job(40, seconds(20)))
        .await
        .unwrap();
    let status = planner.wait_until_ended(job, seconds(120)).await;
    assert_eq!(status.phase, JobPhase::Finished);
    assert_eq!(status.finished, 40);
    assert!(status.results.iter().all(Option::is_some));
    let summary = bed.check();
    assert_eq!((summary.starts, summary.finishes), (40, 40));
}

#[tokio::test(start_paused = true)]
async fn urgent_work_starts_within_seven_seconds() {
    let bed = TestBed::new(4);
    let planner = bed.start_planner(1).await;
    planner
        .handle
        .submit(batch_job(24, seconds(600)))
        .await
        .unwrap();
    sleep(seconds(10)).await;
    let submitted = bed.now();
    let job = planner.handle.submit(service_job(3)).await.unwrap();
    sleep(seconds(7)).await;
    let runs = bed.ledger.runs_of(job.0, 0);
    assert!(runs[0].started - submitted <= seconds(7));
    assert_eq!(planner.status(job).await.running, 3);
    bed.check();
}

#[tokio::test(start_paused = true)]
async fn jobs_that_can_never_run_are_rejected_at_once() {
    let bed = TestBed::new(4);
    let planner = bed.start_planner(1).await;
    type Change = fn(&mut JobSpec);
    type Expected = fn(&SubmitError) -> bool;
    let table: [(Change, Expected); 6] = [
        (
            |spec| spec.size.cpu_millis = 8_001,
            |error| *error == SubmitError::NeverFits,
        ),
        (
            |spec| spec.size.accelerators = 1,
            |error| *error == SubmitError::NeverFits,
        ),
        (
            |spec| spec.class = "sonnets".into(),
            |error| matches!(error, SubmitError::UnknownClass { .. }),
        ),
        (
            |spec| spec.team = "poets".into(),
            |error| matches!(error, SubmitError::UnknownTeam { .. }),
        ),
        (
            |spec| spec.tasks = 0,
            |error| matches!(error, SubmitError::TaskCount { .. }),
        ),
        (
            |spec| spec.size.memory_mib = 0,
            |error| *error == SubmitError::ZeroSize,
        ),
    ];
    for (change, expected) in table {
        let mut spec = batch_job(1, seconds(1));
        change(&mut spec);
        let error = planner.handle.submit(spec).await.unwrap_err();
        assert!(expected(&error), "{error}");
    }
    assert!(bed.table.rows("planner/job/").is_empty());
}

// The table stores a submission, but its answer is lost. The repeated commit, or a second
// submission with the same key, must not create a second job.
#[tokio::test(start_paused = true)]
async fn a_submission_whose_answer_was_lost_is_one_job() {
    for fault in [
        FaultKind::LoseAnswer,
        FaultKind::LoseRequest,
        FaultKind::LateEffect(seconds(5)),
        FaultKind::Duplicate(seconds(20)),
    ] {
        let bed = TestBed::new(4);
        let planner = bed.start_planner(1).await;
        sleep(seconds(2)).await;
        bed.table.faults().queue_fault(CallKind::Commit, fault);
        let mut spec = batch_job(2, seconds(5));
        spec.key = Some("nightly".to_owned());
        let job = planner.handle.submit(spec.clone()).await.unwrap();
        assert_eq!(planner.handle.submit(spec.clone()).await, Ok(job));
        planner.wait_until_ended(job, seconds(60)).await;
        sleep(seconds(30)).await;
        assert_eq!(planner.handle.submit(spec.clone()).await, Ok(job));
        spec.tasks = 3;
        let error = planner.handle.submit(spec).await.unwrap_err();
        assert_eq!(error, SubmitError::KeyReused { job });
        assert_eq!(bed.check().starts, 2, "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_teams_quota_holds_its_batch_work_back_and_no_other_teams() {
    let bed = TestBed::new(4);
    bed.configuration.send_modify(|configuration| {
        let mut changed = Configuration::clone(configuration);
        changed.teams[0].limit = ResourceAmount::new(4_000, 100_000);
        *configuration = Arc::new(changed);
    });
    let planner = bed.start_planner(1).await;
    let held = planner
        .handle
        .submit(batch_job(10, seconds(30)))
        .await
        .unwrap();
    let mut other = batch_job(10, seconds(30));
    other.team = "straps".into();
    let other = planner.handle.submit(other).await.unwrap();
    sleep(seconds(10)).await;
    let status = planner.status(held).await;
    assert_eq!(status.running, 4);
    let reason = WaitReason::Quota;
    assert_eq!(status.phase, JobPhase::Waiting { reason });
    assert_eq!(planner.status(other).await.running, 10);
}

// An inbox scan is answered 40 seconds late, with the row of a job that was meanwhile accepted,
// finished and forgotten. The job must not be accepted again.
#[tokio::test(start_paused = true)]
async fn a_late_inbox_scan_accepts_no_job_twice() {
    let bed = TestBed::new(2);
    let planner = bed.start_planner(1).await;
    sleep(seconds(3)).await;
    let job = planner
        .handle
        .submit(batch_job(1, seconds(1)))
        .await
        .unwrap();
    let faults = bed.table.faults();
    faults.queue_fault(CallKind::Commit, FaultKind::Slow(seconds(3)));
    faults.queue_success(CallKind::Scan);
    faults.queue_success(CallKind::Scan);
    faults.queue_fault(CallKind::Scan, FaultKind::SlowAnswer(seconds(40)));
    planner.wait_until_ended(job, seconds(30)).await;
    sleep(seconds(60)).await;
    assert_eq!(bed.check().starts, 1);
}

#[tokio::test(start_paused = true)]
async fn jobs_that_ended_long_ago_are_forgotten_and_others_are_not() {
    let bed = TestBed::new(2);
    let settings = PlannerSettings::new(1).with_ended_job_retention(seconds(600));
    let bed = bed.with_settings(settings);
    let planner = bed.start_planner(1).await;
    let short = planner
        .handle
        .submit(batch_job(1, seconds(5)))
        .await
        .unwrap();
    let long = planner
        .handle
        .submit(batch_job(1, seconds(5_000)))
        .await
        .unwrap();
    sleep(seconds(500)).await;
    assert_eq!(planner.status(short).await.finished, 1);
    sleep(seconds(600)).await;
    let error = planner.handle.job_status(short).await.unwrap_err();
    assert_eq!(error, JobError::UnknownJob { job: short });
    assert_eq!(planner.status(long).await.running, 1);
}

// If each of two shards granted the whole quota, a team could use it twice.
#[tokio::test(start_paused = true)]
async fn a_quota_is_divided_among_shards() {
    let bed = TestBed::new(12).with_settings(PlannerSettings::new(2));
    bed.configuration.send_modify(|configuration| {
        let mut changed = Configuration::clone(configuration);
        changed.teams[0].limit = ResourceAmount::new(8_000, 100_000);
        *configuration = Arc::new(changed);
    });
    let planner = bed.start_planner(1).await;
    let other = ResourceId::Shard(1);
    planner
        .ownership
        .set_owned(other, OwnerEpoch(1), seconds(0));
    for _ in 0..12 {
        planner
            .handle
            .submit(batch_job(4, seconds(600)))
            .await
            .unwrap();
    }
    sleep(seconds(20)).await;
    assert_eq!(bed.ledger.running().len(), 8);
    let mut wide = batch_job(1, seconds(1));
    wide.size.cpu_millis = 5_000;
    let error = planner.handle.submit(wide).await.unwrap_err();
    assert!(matches!(error, SubmitError::BeyondQuota { shards: 2, .. }));
}
