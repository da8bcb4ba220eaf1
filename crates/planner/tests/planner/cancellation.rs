//! Tests cancellations, single and in large numbers.

use std::sync::Arc;

use jasminebend_planner::JobPhase;
use jasminebend_standins::{
    CallKind,
    FaultKind, //
};
use tokio::{
    task::JoinSet,
    time::sleep, //
};

use crate::{
    counting_workers::CountingWorkers,
    test_bed::{
        TestBed,
        batch_job,
        seconds,
        service_job, //
    }, //
};

// Operators cancel 10,000 jobs at once. The stops must not delay the start of a service by minutes,
// and no cancelled task may keep running.
#[tokio::test(start_paused = true)]
async fn a_wave_of_cancellations_neither_delays_urgent_starts_nor_leaves_a_task_running() {
    let bed = TestBed::new(40);
    let planner = bed.start_planner(1).await;
    let mut jobs = Vec::new();
    for _ in 0..10_000 {
        jobs.push(
            planner
                .handle
                .submit(batch_job(1, seconds(5_000)))
                .await
                .unwrap(),
        );
    }
    sleep(seconds(120)).await;
    assert_eq!(bed.ledger.running().len(), 320);
    let writes = bed.table.faults().counts().writes;
    let mut wave = JoinSet::new();
    for job in jobs.clone() {
        let handle = planner.handle.clone();
        wave.spawn(async move { handle.cancel(job).await });
    }
    let urgent = planner.handle.submit(service_job(20)).await.unwrap();
    let submitted = bed.now();
    while let Some(answer) = wave.join_next().await {
        answer.unwrap().unwrap();
    }
    let written = bed.table.faults().counts().writes - writes;
    assert!(written < 500, "{written} writes");
    sleep(seconds(60)).await;
    for index in 0..20 {
        let runs = bed.ledger.runs_of(urgent.0, index);
        assert!(runs[0].started - submitted <= seconds(7), "{:?}", runs[0]);
    }
    assert_eq!(bed.ledger.running().len(), 20);
    for job in jobs {
        assert_eq!(planner.status(job).await.phase, JobPhase::Cancelled);
    }
    bed.check();
}

// Cancels a job while its start is being committed, in transit or answered late, or as it finishes.
// No task may run afterwards.
#[tokio::test(start_paused = true)]
async fn cancellations_that_race_starts_and_finishes_leave_nothing_running() {
    for fault in [
        None,
        Some(FaultKind::LoseAnswer),
        Some(FaultKind::LoseRequest),
        Some(FaultKind::LateEffect(seconds(1))),
        Some(FaultKind::SlowAnswer(seconds(2))),
    ] {
        for wait in (0..40).map(|step| seconds(1) / 10 * step) {
            let bed = TestBed::new(2);
            let planner = bed.start_planner(1).await;
            bed.each_worker(|worker| {
                if let Some(kind) = fault {
                    worker.faults().queue_fault(CallKind::Start, kind);
                    worker.faults().queue_fault(CallKind::Stop, kind);
                }
            });
            let job = planner
                .handle
                .submit(batch_job(4, seconds(2)))
                .await
                .unwrap();
            sleep(wait).await;
            planner.handle.cancel(job).await.unwrap();
            let status = planner.wait_until_ended(job, seconds(60)).await;
            assert!(bed.ledger.running().is_empty(), "{fault:?} {wait:?}");
            sleep(seconds(30)).await;
            assert!(bed.ledger.running().is_empty(), "{fault:?} {wait:?}");
            let finishes = bed.check().finishes;
            assert!(u64::from(status.finished) <= finishes);
        }
    }
}

// Cancels jobs right after their submission. The owner reads cancellations and submissions in
// separate, limited scans, so it may read a cancellation before the job; the job would run forever
// if the cancellation were dropped.
#[tokio::test(start_paused = true)]
async fn a_cancellation_read_before_its_job_takes_effect() {
    for slow in [0, 300] {
        let bed = TestBed::new(4);
        let planner = bed.start_planner(1).await;
        let fault = FaultKind::Slow(seconds(1) * slow / 1000);
        bed.table.faults().set_fault(CallKind::Scan, fault);
        let mut jobs = Vec::new();
        for _ in 0..3 {
            for _ in 0..300 {
                let spec = batch_job(1, seconds(100_000));
                jobs.push(planner.handle.submit(spec).await.unwrap());
            }
            let mut wave = JoinSet::new();
            for job in jobs.iter().rev().take(300).copied() {
                let handle = planner.handle.clone();
                wave.spawn(async move { handle.cancel(job).await });
            }
            wave.join_all().await.into_iter().for_each(Result::unwrap);
            sleep(seconds(1) * 777 / 1000).await;
        }
        // Single jobs, at many moments between two scans.
        for _ in 0..40 {
            let spec = batch_job(1, seconds(100_000));
            let job = planner.handle.submit(spec).await.unwrap();
            planner.handle.cancel(job).await.unwrap();
            jobs.push(job);
            sleep(seconds(1) * 73 / 1000).await;
        }
        sleep(seconds(60)).await;
        for job in jobs {
            assert_eq!(planner.status(job).await.phase, JobPhase::Cancelled);
        }
        assert!(bed.ledger.running().is_empty());
    }
}

// Cancels a job of 300 tasks while workers answer slowly. If all stops were sent at once, they
// would delay starts.
#[tokio::test(start_paused = true)]
async fn stops_in_flight_are_limited() {
    let bed = TestBed::new(40);
    let workers = Arc::new(CountingWorkers::new(&bed).with_stop_time(seconds(1)));
    let table = Arc::new(bed.table.clone());
    let planner = bed
        .start_planner_with(1, table, Arc::clone(&workers) as _)
        .await;
    let job = batch_job(300, seconds(5_000));
    let job = planner.handle.submit(job).await.unwrap();
    sleep(seconds(60)).await;
    assert_eq!(bed.ledger.running().len(), 300);
    planner.handle.cancel(job).await.unwrap();
    let status = planner.wait_until_ended(job, seconds(60)).await;
    assert_eq!(status.phase, JobPhase::Cancelled);
    let counts = workers.counts();
    assert_eq!((counts.stops, counts.most_stops_in_flight), (300, 64));
    assert_eq!(bed.ledger.running().len(), 0);
    bed.check();
}
