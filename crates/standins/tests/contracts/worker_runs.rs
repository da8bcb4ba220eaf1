//! Contract tests of runs on a worker: leases, checkpoints, throttling and reports.

use std::time::Duration;

use jasminebend_base::ResourceAmount;
use jasminebend_ports::{
    RunCompletion,
    TaskOrder,
    WorkerError, //
};
use jasminebend_standins::{
    CheckpointMode,
    InterferenceModel,
    RunEnd,
    TaskPayload, //
};

use crate::{
    harness::WorkerHarness,
    worker_calls::{
        EPOCH,
        LEASE,
        SECOND,
        batch,
        run,
        service, //
    }, //
};

/// A worker must end its runs when its lease lapses. Otherwise a task runs in two places: its owner became
/// unreachable, and the new owner waited for the lapse of the lease and started the task elsewhere.
async fn a_lapsed_lease_ends_every_run(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    worker.start(service(1)).await.unwrap();
    let long = TaskOrder {
        payload: TaskPayload::new(60 * SECOND).to_text(),
        ..batch(2, 1)
    };
    worker.start(long.clone()).await.unwrap();
    worker.clock.advance(9 * SECOND);
    worker.renew(&[]).await.unwrap();
    worker.clock.advance(LEASE);
    assert_eq!(worker.stand_in.running(), []);
    let tasks = worker.adopt(EPOCH).await.unwrap().tasks;
    let ends: Vec<_> = tasks.into_iter().map(|task| task.ended).collect();
    assert_eq!(ends[0], Some(RunCompletion::Lapsed { checkpoint: None }));
    let Some(RunCompletion::Lapsed { checkpoint }) = ends[1].clone() else {
        panic!("{ends:?}");
    };
    let resumed = TaskOrder {
        attempt: run(2, 2),
        checkpoint,
        ..long
    };
    worker.start(resumed).await.unwrap();
    for _ in 0..8 {
        worker.clock.advance(5 * SECOND);
        worker.renew(&[]).await.unwrap();
    }
    // 19 of 60 seconds were done before the lapse, and 40 after.
    assert_eq!(worker.stand_in.running().len(), 1);
    worker.clock.advance(SECOND);
    assert_eq!(worker.stand_in.running(), []);
    assert_eq!(worker.ledger.summary().overlaps, 0);
}

async fn a_checkpoint_may_fail_or_be_lost(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    worker.start(batch(1, 1)).await.unwrap();
    worker.clock.advance(3 * SECOND);
    worker
        .stand_in
        .update_settings(|settings| settings.checkpoints = CheckpointMode::Fails);
    let failed = worker.checkpoint(run(1, 1)).await;
    assert_eq!(failed, Err(WorkerError::CheckpointFailed));
    assert_eq!(worker.stand_in.running().len(), 1);
    worker
        .stand_in
        .update_settings(|settings| settings.checkpoints = CheckpointMode::Lost);
    let lost = worker.checkpoint(run(1, 1)).await.unwrap();
    let resumed = TaskOrder {
        checkpoint: Some(lost),
        ..batch(1, 2)
    };
    worker.start(resumed).await.unwrap();
    worker.clock.advance(2 * SECOND);
    assert_eq!(worker.stand_in.running().len(), 1, "it starts over");
    let unknown = worker.checkpoint(run(9, 1)).await;
    assert_eq!(unknown, Err(WorkerError::UnknownRun));
}

async fn throttling_and_interference_slow_a_run(worker: WorkerHarness) {
    let model = InterferenceModel::new().with_pair("sync", "cart", 1_000);
    worker
        .stand_in
        .update_settings(|settings| settings.interference = model);
    worker.adopt(EPOCH).await.unwrap();
    worker.start(batch(1, 1)).await.unwrap();
    worker.start(service(2)).await.unwrap();
    worker.clock.advance(4 * SECOND);
    assert_eq!(worker.stand_in.running().len(), 2, "half is done");
    worker.stop(run(2, 1)).await.unwrap();
    let throttle = worker.port.throttle(worker.address, EPOCH, run(1, 1), 500);
    throttle.await.unwrap();
    worker.clock.advance(4 * SECOND - Duration::from_millis(1));
    assert_eq!(worker.stand_in.running().len(), 1);
    worker.clock.advance(Duration::from_millis(1));
    assert_eq!(worker.stand_in.running(), []);
    let unknown = worker.port.throttle(worker.address, EPOCH, run(1, 1), 500);
    assert_eq!(unknown.await, Err(WorkerError::UnknownRun));
}

async fn reports_each_measurement_once_after_its_lag(worker: WorkerHarness) {
    worker.stand_in.update_settings(|settings| {
        settings.usage_period = 2 * SECOND;
        settings.usage_lag = (3 * SECOND, 3 * SECOND);
    });
    worker.adopt(EPOCH).await.unwrap();
    let used = ResourceAmount::new(10_000, 1);
    let payload = TaskPayload::new(8 * SECOND).with_used(used);
    let order = TaskOrder {
        payload: payload.to_text(),
        ..batch(1, 1)
    };
    worker.start(order).await.unwrap();
    let mut reports = Vec::new();
    for _ in 0..6 {
        worker.clock.advance(SECOND);
        reports.push(worker.renew(&[]).await.unwrap().usage);
    }
    let counts: Vec<_> = reports.iter().map(Vec::len).collect();
    assert_eq!(counts, [0, 0, 0, 0, 1, 0]);
    let usage = &reports[4][0];
    assert_eq!((usage.used, usage.age), (used, 3 * SECOND));
    assert_eq!(usage.progress_millis, Some(250));
}

// At 2,600 workers, reporting the usage of every run in every report would exceed a daemon's budget for control
// traffic. So the owner limits the number of measurements in a report. Every run must still be reported in turn, and
// completions must not be delayed.
async fn limited_reports_rotate_over_all_runs_and_include_all_completions(worker: WorkerHarness) {
    worker.stand_in.update_settings(|settings| {
        settings.usage_period = SECOND;
        settings.usage_lag = (Duration::ZERO, Duration::ZERO);
    });
    worker.adopt(EPOCH).await.unwrap();
    let long = TaskPayload::new(60 * SECOND).to_text();
    for index in 0..7 {
        let order = TaskOrder {
            payload: long.clone(),
            ..batch(index, 1)
        };
        worker.start(order).await.unwrap();
    }
    let mut reported = Vec::new();
    for _ in 0..12 {
        worker.clock.advance(SECOND);
        let report = worker.renew_with_usage_limit(&[], 2).await.unwrap();
        assert_eq!(report.usage.len(), 2);
        let fresh = report.usage.iter().all(|usage| usage.age.is_zero());
        assert!(fresh, "{:?}", report.usage);
        reported.push([0, 1].map(|place| report.usage[place].attempt));
    }
    // Seven runs, two in each report: any four consecutive reports include every run.
    for round in reported.windows(4) {
        for index in 0..7 {
            let named = round.as_flattened().contains(&run(index, 1));
            assert!(named, "{index}: {round:?}");
        }
    }
    // A new run was never reported, so that it precedes the runs left over from earlier reports.
    worker.start(batch(7, 1)).await.unwrap();
    worker.clock.advance(SECOND);
    let first = worker.renew_with_usage_limit(&[], 2).await.unwrap().usage;
    assert_eq!(first[0].attempt, run(7, 1));
    for index in 0..3 {
        worker.stop(run(index, 1)).await.unwrap();
    }
    let ended = worker.renew_with_usage_limit(&[], 1).await.unwrap().ended;
    assert_eq!(ended.len(), 3);
}

// If a limited report omitted a slow service, the owner would end the throttling of the tasks that slow it down.
async fn a_limited_report_lists_services_first(worker: WorkerHarness) {
    worker.stand_in.update_settings(|settings| {
        settings.usage_period = SECOND;
        settings.usage_lag = (Duration::ZERO, Duration::ZERO);
    });
    worker.adopt(EPOCH).await.unwrap();
    for index in 0..4 {
        worker.start(batch(index, 1)).await.unwrap();
    }
    worker.start(service(4)).await.unwrap();
    for _ in 0..3 {
        worker.clock.advance(SECOND);
        let usage = worker.renew_with_usage_limit(&[], 2).await.unwrap().usage;
        assert_eq!(usage.len(), 2);
        assert_eq!(usage[0].attempt, run(4, 1));
    }
}

async fn a_restarted_worker_has_a_new_incarnation(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    worker.start(batch(1, 1)).await.unwrap();
    let before = worker.renew(&[]).await.unwrap().incarnation;
    worker.stand_in.restart();
    let inventory = worker.adopt(EPOCH).await.unwrap();
    assert_ne!(inventory.incarnation, before);
    assert_eq!(inventory.tasks, []);
    let runs = worker.ledger.runs();
    assert_eq!(runs[0].ended, Some((Duration::ZERO, RunEnd::WorkerFailed)));
}

async fn a_broken_worker_fails_every_task(worker: WorkerHarness) {
    worker
        .stand_in
        .update_settings(|settings| settings.fails_every_task = true);
    worker.adopt(EPOCH).await.unwrap();
    worker.start(batch(1, 1)).await.unwrap();
    worker.clock.advance(SECOND);
    let failed = RunCompletion::Failed { code: 1 };
    assert_eq!(worker.completions().await, [(run(1, 1), Some(failed))]);
}

contract!(
    [
        a_lapsed_lease_ends_every_run,
        a_checkpoint_may_fail_or_be_lost,
        throttling_and_interference_slow_a_run,
        reports_each_measurement_once_after_its_lag,
        limited_reports_rotate_over_all_runs_and_include_all_completions,
        a_limited_report_lists_services_first,
        a_restarted_worker_has_a_new_incarnation,
        a_broken_worker_fails_every_task,
    ],
    in_memory => crate::harness::worker_in_memory,
    over_http => crate::harness::worker_over_http,
    in_json => crate::harness::worker_in_json,
);
