//! Tests failure domains that are taken out of use and return.

use std::sync::Arc;

use jasminebend_base::{
    DomainName,
    DomainState, //
};
use jasminebend_standins::{
    CallKind,
    FaultKind,
    RunEnd, //
};
use tokio::time::sleep;

use crate::{
    counting_workers::CountingWorkers,
    test_bed::{
        TestBed,
        batch_job,
        seconds,
        service_job, //
    }, //
};

// Operators take a failure domain out for maintenance. No task may start there three seconds later,
// even if its start was already decided, committed or in transit.
#[tokio::test(start_paused = true)]
async fn nothing_starts_in_a_domain_three_seconds_after_it_went_out() {
    for fault in [
        None,
        Some((CallKind::Commit, FaultKind::SlowAnswer(seconds(6)))),
        Some((CallKind::Start, FaultKind::LateEffect(seconds(8)))),
        Some((CallKind::Start, FaultKind::LoseAnswer)),
    ] {
        let bed = TestBed::new(12);
        let planner = bed.start_planner(1).await;
        sleep(seconds(3)).await;
        if let Some((CallKind::Commit, kind)) = fault {
            bed.table.faults().set_fault(CallKind::Commit, kind);
        }
        let job = planner
            .handle
            .submit(batch_job(150, seconds(20)))
            .await
            .unwrap();
        bed.each_worker(|worker| {
            if let Some((CallKind::Start, kind)) = fault {
                worker.faults().queue_fault(CallKind::Start, kind);
            }
        });
        sleep(seconds(2)).await;
        let out = bed.now();
        bed.set_domain("b", DomainState::Out);
        let deadline = out + seconds(3);
        assert_eq!(
            planner.wait_until_ended(job, seconds(400)).await.finished,
            150
        );
        let late = bed
            .ledger
            .starts_in(&DomainName::from("b"), deadline, bed.now());
        assert!(late.is_empty(), "{fault:?}: {late:?}");
        bed.check();
    }
}

// A failure domain is taken out while starts that were decided together are being sent. The first
// one is in transit, the others must not be sent: if they were only stopped later, work would have
// begun where operators are about to cut the power.
#[tokio::test(start_paused = true)]
async fn no_start_is_sent_once_its_domain_went_out() {
    let bed = TestBed::new(12);
    let workers = Arc::new(CountingWorkers::new(&bed).with_domain_going_out("b"));
    let table = Arc::new(bed.table.clone());
    let planner = bed
        .start_planner_with(1, table, Arc::clone(&workers) as _)
        .await;
    sleep(seconds(3)).await;
    let job = planner
        .handle
        .submit(batch_job(90, seconds(20)))
        .await
        .unwrap();
    assert_eq!(
        planner.wait_until_ended(job, seconds(400)).await.finished,
        90
    );
    assert_eq!(workers.counts().starts_in_domain, 1);
    bed.check();
}

#[tokio::test(start_paused = true)]
async fn batch_tasks_checkpoint_and_services_move_when_a_domain_goes_out() {
    let bed = TestBed::new(12);
    let planner = bed.start_planner(1).await;
    let services = planner.handle.submit(service_job(6)).await.unwrap();
    let job = planner
        .handle
        .submit(batch_job(40, seconds(60)))
        .await
        .unwrap();
    sleep(seconds(10)).await;
    bed.set_domain("a", DomainState::Out);
    sleep(seconds(20)).await;
    let runs = bed.ledger.runs();
    let left = runs.iter().filter(|run| run.domain.as_str() == "a");
    for run in left {
        let (_, end) = run.ended.unwrap();
        assert_eq!(end, RunEnd::Checkpointed);
    }
    assert_eq!(planner.status(services).await.running, 6);
    assert_eq!(
        planner.wait_until_ended(job, seconds(400)).await.finished,
        40
    );
    let summary = bed.check();
    assert_eq!(summary.repeated_resumes, 0);
}

#[tokio::test(start_paused = true)]
async fn a_service_that_fits_nowhere_else_keeps_running() {
    let bed = TestBed::new(6);
    let planner = bed.start_planner(1).await;
    let job = planner.handle.submit(service_job(24)).await.unwrap();
    sleep(seconds(10)).await;
    assert_eq!(bed.ledger.running().len(), 24);
    bed.set_domain("a", DomainState::Out);
    sleep(seconds(60)).await;
    assert_eq!(bed.ledger.running().len(), 24);
    assert_eq!(planner.status(job).await.running, 24);
    bed.check();
}

// A failure domain returns empty. If it received every waiting task at once, its cold switches and
// disks would slow them.
#[tokio::test(start_paused = true)]
async fn a_domain_that_returns_fills_slowly() {
    let bed = TestBed::new(12);
    bed.set_domain("a", DomainState::Out);
    let planner = bed.start_planner(1).await;
    planner
        .handle
        .submit(batch_job(200, seconds(900)))
        .await
        .unwrap();
    sleep(seconds(30)).await;
    let back = bed.now();
    bed.set_domain("a", DomainState::In);
    sleep(seconds(10)).await;
    let domain = DomainName::from("a");
    let first = bed.ledger.starts_in(&domain, back, back + seconds(1)).len();
    let ten = bed
        .ledger
        .starts_in(&domain, back, back + seconds(10))
        .len();
    assert!(first <= 4, "{first} in the first second");
    assert!((5..=14).contains(&ten), "{ten} in ten seconds");
    sleep(seconds(60)).await;
    assert_eq!(bed.ledger.running().len(), 96);
    bed.check();
}
