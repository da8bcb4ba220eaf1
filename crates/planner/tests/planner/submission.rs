//! Jobs come in, run, and their results come out once.

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
    batch,
    seconds,
    service, //
};

#[tokio::test(start_paused = true)]
async fn a_job_runs_and_its_results_are_told() {
    let bed = TestBed::new(4);
    let planner = bed.planner(1).await;
    let job = planner.handle.submit(batch(40, seconds(20))).await.unwrap();
    let status = planner.ended(job, seconds(120)).await;
    assert_eq!(status.phase, JobPhase::Finished);
    assert_eq!(status.finished, 40);
    assert!(status.results.iter().all(Option::is_some));
    let summary = bed.check();
    assert_eq!((summary.starts, summary.finishes), (40, 40));
}

#[tokio::test(start_paused = true)]
async fn urgent_work_starts_within_seven_seconds() {
    let bed = TestBed::new(4);
    let planner = bed.planner(1).await;
    planner
        .handle
        .submit(batch(24, seconds(600)))
        .await
        .unwrap();
    sleep(seconds(10)).await;
    let submitted = bed.now();
    let job = planner.handle.submit(service(3)).await.unwrap();
    sleep(seconds(7)).await;
    let runs = bed.ledger.runs_of(job.0, 0);
    assert!(runs[0].started - submitted <= seconds(7));
    assert_eq!(planner.status(job).await.running, 3);
    bed.check();
}

#[tokio::test(start_paused = true)]
async fn what_can_never_run_is_refused_at_once() {
    let bed = TestBed::new(4);
    let planner = bed.planner(1).await;
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
        let mut spec = batch(1, seconds(1));
        change(&mut spec);
        let error = planner.handle.submit(spec).await.unwrap_err();
        assert!(expected(&error), "{error}");
    }
    assert!(bed.table.rows("planner/job/").is_empty());
}

// A submitter sees one job run twice. The table takes the submission, the answer is lost, and the
// copy that is sent to settle it, or a second submission with the same key, makes another job.
#[tokio::test(start_paused = true)]
async fn a_submission_whose_answer_was_lost_is_one_job() {
    for fault in [
        FaultKind::LoseAnswer,
        FaultKind::LoseRequest,
        FaultKind::LateEffect(seconds(5)),
        FaultKind::Duplicate(seconds(20)),
    ] {
        let bed = TestBed::new(4);
        let planner = bed.planner(1).await;
        sleep(seconds(2)).await;
        bed.table.faults().once(CallKind::Commit, fault);
        let mut spec = batch(2, seconds(5));
        spec.key = Some("nightly".to_owned());
        let job = planner.handle.submit(spec.clone()).await.unwrap();
        assert_eq!(planner.handle.submit(spec.clone()).await, Ok(job));
        planner.ended(job, seconds(60)).await;
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
    let planner = bed.planner(1).await;
    let held = planner.handle.submit(batch(10, seconds(30))).await.unwrap();
    let mut other = batch(10, seconds(30));
    other.team = "straps".into();
    let other = planner.handle.submit(other).await.unwrap();
    sleep(seconds(10)).await;
    let status = planner.status(held).await;
    assert_eq!(status.running, 4);
    let reason = WaitReason::Quota;
    assert_eq!(status.phase, JobPhase::Waiting { reason });
    assert_eq!(planner.status(other).await.running, 10);
}

// A job runs a second time. A look for submissions is answered half a minute late, with the row of a
// job that was meanwhile taken in, run and forgotten.
#[tokio::test(start_paused = true)]
async fn a_late_look_at_the_inbox_takes_no_job_in_twice() {
    let bed = TestBed::new(2);
    let planner = bed.planner(1).await;
    sleep(seconds(3)).await;
    let job = planner.handle.submit(batch(1, seconds(1))).await.unwrap();
    let faults = bed.table.faults();
    faults.once(CallKind::Commit, FaultKind::Slow(seconds(3)));
    faults.pass(CallKind::Scan);
    faults.pass(CallKind::Scan);
    faults.once(CallKind::Scan, FaultKind::SlowAnswer(seconds(40)));
    planner.ended(job, seconds(30)).await;
    sleep(seconds(60)).await;
    assert_eq!(bed.check().starts, 1);
}

#[tokio::test(start_paused = true)]
async fn jobs_that_ended_long_ago_are_forgotten_and_others_are_not() {
    let bed = TestBed::new(2);
    let settings = PlannerSettings::new(1).with_keep_ended(seconds(600));
    let bed = bed.with_settings(settings);
    let planner = bed.planner(1).await;
    let short = planner.handle.submit(batch(1, seconds(5))).await.unwrap();
    let long = planner
        .handle
        .submit(batch(1, seconds(5_000)))
        .await
        .unwrap();
    sleep(seconds(500)).await;
    assert_eq!(planner.status(short).await.finished, 1);
    sleep(seconds(600)).await;
    let error = planner.handle.job(short).await.unwrap_err();
    assert_eq!(error, JobError::UnknownJob { job: short });
    assert_eq!(planner.status(long).await.running, 1);
}

// A team holds twice its quota, since each of two shards grants all of it.
#[tokio::test(start_paused = true)]
async fn a_quota_is_divided_among_shards() {
    let bed = TestBed::new(12).with_settings(PlannerSettings::new(2));
    bed.configuration.send_modify(|configuration| {
        let mut changed = Configuration::clone(configuration);
        changed.teams[0].limit = ResourceAmount::new(8_000, 100_000);
        *configuration = Arc::new(changed);
    });
    let planner = bed.planner(1).await;
    let other = ResourceId::Shard(1);
    planner.ownership.hold(other, OwnerEpoch(1), seconds(0));
    for _ in 0..12 {
        planner.handle.submit(batch(4, seconds(600))).await.unwrap();
    }
    sleep(seconds(20)).await;
    assert_eq!(bed.ledger.running().len(), 8);
    let mut wide = batch(1, seconds(1));
    wide.size.cpu_millis = 5_000;
    let error = planner.handle.submit(wide).await.unwrap_err();
    assert!(matches!(error, SubmitError::BeyondQuota { shards: 2, .. }));
}
