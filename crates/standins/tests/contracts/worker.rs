//! What every adapter of the workers must do. A new adapter is one more line at the end.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    OwnerEpoch,
    ResourceAmount,
    VmName, //
};
use jasminebend_ports::{
    CheckpointId,
    EpochAdoption,
    HttpWorkers,
    LeaseRenewal,
    TaskAttempt,
    TaskEvent,
    TaskOrder,
    WorkerError,
    WorkerPort,
    WorkerReport, //
};
use jasminebend_standins::{
    CallKind,
    CheckpointMode,
    FaultKind,
    InterferenceModel,
    RunEnd,
    TaskPayload, //
};

use crate::harness::{
    self,
    FOREVER,
    IMPATIENT,
    PATIENT,
    WorkerHarness, //
};

const EPOCH: OwnerEpoch = OwnerEpoch(5);
const LEASE: Duration = Duration::from_secs(10);
const SECOND: Duration = Duration::from_secs(1);

fn run(index: u32, attempt: u32) -> TaskAttempt {
    TaskAttempt {
        job: 7,
        index,
        attempt,
    }
}

fn batch(index: u32, attempt: u32) -> TaskOrder {
    TaskOrder {
        attempt: run(index, attempt),
        class: "sync".into(),
        kind: ClassKind::Batch,
        reserved: ResourceAmount::new(1_000, 1_000),
        payload: TaskPayload::new(4 * SECOND).to_text(),
        checkpoint: None,
        valid_for: 5 * SECOND,
    }
}

fn service(index: u32) -> TaskOrder {
    TaskOrder {
        class: "cart".into(),
        kind: ClassKind::Service,
        ..batch(index, 1)
    }
}

impl WorkerHarness {
    async fn adopt(&self, epoch: OwnerEpoch) -> Result<usize, WorkerError> {
        let adoption = EpochAdoption {
            shard: 1,
            epoch,
            lease: LEASE,
        };
        let inventory = self.port.adopt(self.address, adoption).await?;
        assert_eq!(inventory.epoch, epoch);
        Ok(inventory.tasks.len())
    }

    async fn renew(&self, acknowledged: &[TaskAttempt]) -> Result<WorkerReport, WorkerError> {
        let renewal = LeaseRenewal {
            epoch: EPOCH,
            lease: LEASE,
            acknowledged: acknowledged.to_vec(),
        };
        self.port.renew(self.address, renewal).await
    }

    async fn start(&self, order: TaskOrder) -> Result<(), WorkerError> {
        self.port.start(self.address, EPOCH, order).await
    }

    async fn stop(&self, attempt: TaskAttempt) -> Result<(), WorkerError> {
        self.port.stop(self.address, EPOCH, attempt).await
    }

    async fn checkpoint(&self, attempt: TaskAttempt) -> Result<CheckpointId, WorkerError> {
        self.port.checkpoint(self.address, EPOCH, attempt).await
    }

    async fn ends(&self) -> Vec<(TaskAttempt, Option<TaskEvent>)> {
        let report = self.renew(&[]).await.unwrap();
        let ended = report.ended.into_iter();
        ended.map(|task| (task.attempt, task.ended)).collect()
    }
}

async fn follows_the_newest_epoch_alone(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    worker.start(batch(1, 1)).await.unwrap();
    assert_eq!(worker.adopt(EPOCH.next()).await, Ok(1));
    let stale = WorkerError::StaleEpoch {
        newer: EPOCH.next(),
    };
    assert_eq!(worker.adopt(EPOCH).await, Err(stale));
    assert_eq!(worker.renew(&[]).await, Err(stale));
    assert_eq!(worker.start(batch(2, 1)).await, Err(stale));
    assert_eq!(worker.stop(run(1, 1)).await, Err(stale));
    assert_eq!(worker.checkpoint(run(1, 1)).await, Err(stale));
    let throttled = worker.port.throttle(worker.address, EPOCH, run(1, 1), 500);
    assert_eq!(throttled.await, Err(stale));
    assert_eq!(worker.stand_in.running().len(), 1);
}

async fn repeated_orders_change_nothing(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    for _ in 0..2 {
        worker.start(batch(1, 1)).await.unwrap();
    }
    let first = worker.checkpoint(run(1, 1)).await.unwrap();
    assert_eq!(worker.checkpoint(run(1, 1)).await, Ok(first));
    for _ in 0..2 {
        worker.stop(run(2, 1)).await.unwrap();
    }
    assert_eq!(worker.ledger.summary().starts, 1);
    assert_eq!(worker.ledger.summary().evictions, 1);
}

async fn reports_an_end_until_it_is_acknowledged(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    worker.start(batch(1, 1)).await.unwrap();
    worker.clock.advance(4 * SECOND);
    let finished = TaskEvent::Finished {
        result: "done 7/1".to_owned(),
    };
    for _ in 0..2 {
        assert_eq!(worker.ends().await, [(run(1, 1), Some(finished.clone()))]);
    }
    assert_eq!(worker.renew(&[run(1, 1)]).await.unwrap().ended, []);
    // The acknowledged run stays shut out.
    let again = worker.start(batch(1, 1)).await;
    assert_eq!(again, Err(WorkerError::OutOfDate));
}

/// A task runs in two places: its start came late, when its sender had given it up and started it
/// elsewhere. Whatever shows that an order is late shuts it out.
async fn late_starts_are_refused(worker: WorkerHarness) {
    let refused = Err(WorkerError::OutOfDate);
    assert_eq!(worker.start(batch(1, 1)).await, refused, "no lease");
    worker.adopt(EPOCH).await.unwrap();
    let early = worker.port.start(worker.address, EPOCH.next(), batch(1, 1));
    assert_eq!(early.await, refused, "an epoch that was not adopted");
    worker.stop(run(1, 1)).await.unwrap();
    assert_eq!(worker.start(batch(1, 1)).await, refused, "stopped before");
    worker.stop(run(2, 3)).await.unwrap();
    assert_eq!(worker.start(batch(2, 2)).await, refused, "older attempt");
    worker.start(batch(3, 1)).await.unwrap();
    assert_eq!(worker.start(batch(3, 2)).await, refused, "runs already");
    worker.clock.advance(6 * SECOND);
    assert_eq!(worker.start(batch(4, 1)).await, refused, "too late");
    worker.renew(&[]).await.unwrap();
    worker.start(batch(4, 1)).await.unwrap();
    worker.stand_in.restart();
    assert_eq!(worker.start(batch(5, 1)).await, refused, "after a restart");
    assert_eq!(worker.ledger.overlaps(), []);
}

async fn never_holds_more_than_it_can(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    let cases = [
        (ResourceAmount::new(8_001, 1), false),
        (ResourceAmount::new(1, 16_001), false),
        (ResourceAmount::new(1, 1).with_accelerators(1), false),
        (ResourceAmount::new(8_000, 16_000), true),
        (ResourceAmount::new(1, 1), false),
        (ResourceAmount::new(u64::MAX, u64::MAX), false),
    ];
    for (index, (reserved, fits)) in (0..).zip(cases) {
        let order = TaskOrder {
            reserved,
            ..batch(index, 1)
        };
        let expected = if fits {
            Ok(())
        } else {
            Err(WorkerError::NoRoom)
        };
        assert_eq!(worker.start(order).await, expected, "{reserved:?}");
    }
    assert_eq!(worker.ledger.summary().over_capacity, 5);
    let peak = worker.ledger.peaks()[&VmName::from("vm-1")];
    assert_eq!(peak.reserved, peak.capacity);
}

/// A task runs in two places: its owner fell silent, a successor waited out the lease and started
/// the task elsewhere, and the worker went on. A worker stops by itself when its lease lapses.
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
    let ends = worker.ends().await;
    assert_eq!(ends[0].1, Some(TaskEvent::Lapsed { checkpoint: None }));
    let Some(TaskEvent::Lapsed { checkpoint }) = ends[1].1.clone() else {
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
        .set_knobs(|knobs| knobs.checkpoints = CheckpointMode::Fails);
    let failed = worker.checkpoint(run(1, 1)).await;
    assert_eq!(failed, Err(WorkerError::CheckpointFailed));
    assert_eq!(worker.stand_in.running().len(), 1);
    worker
        .stand_in
        .set_knobs(|knobs| knobs.checkpoints = CheckpointMode::Lost);
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

async fn throttles_and_neighbours_slow_a_run(worker: WorkerHarness) {
    let model = InterferenceModel::new().with_pair("sync", "cart", 1_000);
    worker
        .stand_in
        .set_knobs(|knobs| knobs.interference = model);
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

async fn reports_usage_late_and_once(worker: WorkerHarness) {
    worker.stand_in.set_knobs(|knobs| {
        knobs.usage_period = 2 * SECOND;
        knobs.usage_lag = (3 * SECOND, 3 * SECOND);
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

async fn a_restarted_worker_says_so(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    worker.start(batch(1, 1)).await.unwrap();
    let before = worker.renew(&[]).await.unwrap().incarnation;
    worker.stand_in.restart();
    let report = worker.renew(&[]).await.unwrap();
    assert_ne!(report.incarnation, before);
    assert_eq!((report.running, report.ended), (0, Vec::new()));
    let runs = worker.ledger.runs();
    assert_eq!(runs[0].ended, Some((Duration::ZERO, RunEnd::Vanished)));
}

async fn a_broken_worker_fails_every_task(worker: WorkerHarness) {
    worker
        .stand_in
        .set_knobs(|knobs| knobs.fails_every_task = true);
    worker.adopt(EPOCH).await.unwrap();
    worker.start(batch(1, 1)).await.unwrap();
    worker.clock.advance(SECOND);
    let failed = TaskEvent::Failed { code: 1 };
    assert_eq!(worker.ends().await, [(run(1, 1), Some(failed))]);
}

async fn tells_the_truth_about_a_failed_start(worker: WorkerHarness) {
    let cases = [
        (FaultKind::LoseRequest, false, false),
        (FaultKind::LoseAnswer, false, true),
        (FaultKind::CutAnswer, false, true),
        (FaultKind::Malformed, false, true),
        (FaultKind::Refuse, true, false),
        (FaultKind::LateEffect(Duration::ZERO), false, true),
    ];
    worker.adopt(EPOCH).await.unwrap();
    for (index, (fault, surely_not_run, starts)) in (0..).zip(cases) {
        worker.stand_in.faults().once(CallKind::Start, fault);
        let error = worker.start(batch(index, 1)).await.unwrap_err();
        let expected = match surely_not_run {
            true => WorkerError::Unreachable,
            false => WorkerError::Unknown,
        };
        assert_eq!(error, expected, "{fault:?}");
        let ledger = &worker.ledger;
        if starts {
            harness::eventually("the start", || ledger.runs_of(7, index).len() == 1).await;
        }
        assert_eq!(ledger.runs_of(7, index).len(), usize::from(starts));
    }
}

/// A start is delivered a second time after its run was stopped: the run must not come back.
async fn a_start_delivered_twice_runs_once(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    let twice = FaultKind::Duplicate(Duration::from_millis(10));
    worker.stand_in.faults().once(CallKind::Start, twice);
    worker.start(batch(1, 1)).await.unwrap();
    worker.stop(run(1, 1)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert_eq!(worker.stand_in.running(), []);
    assert_eq!(worker.ledger.summary().starts, 1);
}

macro_rules! worker_contract {
    ($adapter:ident, $make:path) => {
        mod $adapter {
            worker_contract!(@cases $make;
                follows_the_newest_epoch_alone,
                repeated_orders_change_nothing,
                reports_an_end_until_it_is_acknowledged,
                late_starts_are_refused,
                never_holds_more_than_it_can,
                a_lapsed_lease_ends_every_run,
                a_checkpoint_may_fail_or_be_lost,
                throttles_and_neighbours_slow_a_run,
                reports_usage_late_and_once,
                a_restarted_worker_says_so,
                a_broken_worker_fails_every_task,
                tells_the_truth_about_a_failed_start,
                a_start_delivered_twice_runs_once
            );
        }
    };
    (@cases $make:path; $($case:ident),*) => {$(
        #[tokio::test]
        async fn $case() {
            super::$case($make(super::PATIENT).await).await;
        }
    )*};
}

worker_contract!(in_memory, crate::harness::worker_in_memory);
worker_contract!(over_http, crate::harness::worker_over_http);

#[tokio::test]
async fn a_silent_worker_gives_an_unknown_outcome_in_time() {
    let worker = harness::worker_over_http(IMPATIENT).await;
    worker.adopt(EPOCH).await.unwrap();
    let silent = FaultKind::SlowAnswer(FOREVER);
    worker.stand_in.faults().once(CallKind::Start, silent);
    assert_eq!(worker.start(batch(1, 1)).await, Err(WorkerError::Unknown));
    assert_eq!(worker.stand_in.running().len(), 1);
    worker.renew(&[]).await.unwrap();
}

/// A worker is reached by one planner and not by the other: the network between them is broken.
#[tokio::test]
async fn a_worker_may_be_cut_off_from_one_caller() {
    let worker = harness::worker_over_http(PATIENT).await;
    let cut_off = [127, 0, 0, 2].into();
    worker.stand_in.block_caller(cut_off);
    let adoption = EpochAdoption {
        shard: 1,
        epoch: EPOCH.next(),
        lease: LEASE,
    };
    let other = HttpWorkers::new().with_local_address(cut_off);
    let answer = other.adopt(worker.address, adoption).await;
    assert_eq!(answer, Err(WorkerError::Unknown));
    worker.adopt(EPOCH).await.unwrap();
}

#[tokio::test]
async fn a_refused_connection_says_unreachable() {
    let mut worker = harness::worker_over_http(PATIENT).await;
    worker.adopt(EPOCH).await.unwrap();
    drop(worker.guard.take());
    // The server's task ends soon after its guard; a call that it still met is lost.
    while worker.renew(&[]).await != Err(WorkerError::Unreachable) {
        tokio::task::yield_now().await;
    }
}
