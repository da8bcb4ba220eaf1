//! Contract tests of a worker's orders: epochs, delayed and repeated orders, capacity and faults.

use std::time::Duration;

use jasminebend_base::{
    OwnerEpoch,
    ResourceAmount,
    VmName, //
};
use jasminebend_ports::{
    EpochAdoption,
    HttpWorkerTransport,
    RunCompletion,
    TaskOrder,
    WorkerError,
    WorkerPort, //
};
use jasminebend_standins::{
    CallKind,
    FaultKind, //
};

use crate::{
    harness::{
        self,
        ENDLESS_DELAY,
        LONG_TIMEOUT,
        SHORT_TIMEOUT,
        WorkerHarness, //
    },
    worker_calls::{
        EPOCH,
        LEASE,
        SECOND,
        batch,
        run,
        service, //
    }, //
};

async fn obeys_only_the_newest_epoch(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    worker.start(batch(1, 1)).await.unwrap();
    let inventory = worker.adopt(EPOCH.next()).await.unwrap();
    assert_eq!(inventory.tasks.len(), 1);
    let stale = WorkerError::StaleEpoch {
        newer: EPOCH.next(),
    };
    assert_eq!(worker.adopt(EPOCH).await.err(), Some(stale));
    assert_eq!(worker.renew(&[]).await, Err(stale));
    assert_eq!(worker.start(batch(2, 1)).await, Err(stale));
    assert_eq!(worker.stop(run(1, 1)).await, Err(stale));
    assert_eq!(worker.checkpoint(run(1, 1)).await, Err(stale));
    let throttled = worker.port.throttle(worker.address, EPOCH, run(1, 1), 500);
    assert_eq!(throttled.await, Err(stale));
    assert_eq!(worker.stand_in.running().len(), 1);
}

// When the number of shards changes, a worker may move to a shard whose epoch is lower. Epochs of different shards
// must not be compared: a lower epoch would lock the new owner out permanently, and a higher one would take over runs
// for which the former owner is still responsible.
async fn adopts_another_shard_once_the_former_lease_lapsed(worker: WorkerHarness) {
    for epoch in [OwnerEpoch(EPOCH.0 - 1), EPOCH, EPOCH.next()] {
        worker.stand_in.restart();
        let before = worker.adopt_for(1, EPOCH).await.unwrap().incarnation;
        let order = |index| TaskOrder {
            incarnation: Some(before),
            ..service(index)
        };
        worker.start(order(1)).await.unwrap();
        let early = worker.adopt_for(2, epoch).await;
        assert_eq!(early, Err(WorkerError::OutOfDate), "{epoch}");
        worker.clock.advance(LEASE - SECOND);
        worker.renew(&[]).await.unwrap();
        worker.clock.advance(LEASE - SECOND);
        let renewed = worker.adopt_for(2, epoch).await;
        assert_eq!(renewed, Err(WorkerError::OutOfDate), "{epoch}");
        worker.clock.advance(SECOND);
        let inventory = worker.adopt_for(2, epoch).await.unwrap();
        assert_eq!(worker.stand_in.running(), [], "{epoch}");
        assert_ne!(inventory.incarnation, before, "{epoch}");
        // Delayed orders of the former owner are refused, also if the epoch is the same.
        assert!(worker.renew(&[]).await.is_err(), "{epoch}");
        assert!(worker.start(order(2)).await.is_err(), "{epoch}");
        let back = worker.adopt_for(1, EPOCH).await;
        assert_eq!(back, Err(WorkerError::OutOfDate), "{epoch}");
        worker.clock.advance(LEASE);
    }
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

async fn reports_a_completion_until_it_is_acknowledged(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    worker.start(batch(1, 1)).await.unwrap();
    worker.clock.advance(4 * SECOND);
    let finished = RunCompletion::Finished {
        result: "done 7/1".to_owned(),
    };
    for _ in 0..2 {
        assert_eq!(
            worker.completions().await,
            [(run(1, 1), Some(finished.clone()))]
        );
    }
    assert_eq!(worker.renew(&[run(1, 1)]).await.unwrap().ended, []);
    // The acknowledged run still can't be started again.
    let again = worker.start(batch(1, 1)).await;
    assert_eq!(again, Err(WorkerError::OutOfDate));
}

/// A delayed start order must be refused. Otherwise a task runs in two places, because the sender has meanwhile given
/// up the order and started the task elsewhere.
async fn delayed_starts_are_refused(worker: WorkerHarness) {
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

/// A delayed renewal must not restore a lapsed lease. Otherwise a delayed start order after it would be accepted, and
/// a task runs in two places, because the sender has meanwhile given up the order and started the task elsewhere.
async fn a_lapsed_lease_is_not_renewed(worker: WorkerHarness) {
    let refused = Some(WorkerError::OutOfDate);
    assert_eq!(worker.renew(&[]).await.err(), refused, "never adopted");
    worker.adopt(EPOCH).await.unwrap();
    worker.clock.advance(LEASE);
    assert_eq!(worker.renew(&[]).await.err(), refused, "lapsed");
    assert_eq!(worker.start(batch(1, 1)).await.err(), refused);
    worker.adopt(EPOCH).await.unwrap();
    worker.renew(&[]).await.unwrap();
    worker.stand_in.restart();
    assert_eq!(worker.renew(&[]).await.err(), refused, "restarted");
    assert_eq!(worker.start(batch(1, 1)).await.err(), refused);
    assert_eq!(worker.ledger.summary().starts, 0);
}

async fn refuses_orders_beyond_its_capacity(worker: WorkerHarness) {
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
            Err(WorkerError::InsufficientCapacity)
        };
        assert_eq!(worker.start(order).await, expected, "{reserved:?}");
    }
    assert_eq!(worker.ledger.summary().over_capacity, 5);
    let peak = worker.ledger.peaks()[&VmName::from("vm-1")];
    assert_eq!(peak.reserved, peak.capacity);
}

async fn a_failed_start_reports_whether_it_may_have_run(worker: WorkerHarness) {
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
        worker.stand_in.faults().queue_fault(CallKind::Start, fault);
        let error = worker.start(batch(index, 1)).await.unwrap_err();
        let expected = match surely_not_run {
            true => WorkerError::Unreachable,
            false => WorkerError::Unknown,
        };
        assert_eq!(error, expected, "{fault:?}");
        let ledger = &worker.ledger;
        if starts {
            harness::wait_until("the start", || ledger.runs_of(7, index).len() == 1).await;
        }
        assert_eq!(ledger.runs_of(7, index).len(), usize::from(starts));
    }
}

/// A start order that is delivered again after its run was stopped must not start the run again.
async fn a_start_delivered_twice_runs_once(worker: WorkerHarness) {
    worker.adopt(EPOCH).await.unwrap();
    let twice = FaultKind::Duplicate(Duration::from_millis(10));
    worker.stand_in.faults().queue_fault(CallKind::Start, twice);
    worker.start(batch(1, 1)).await.unwrap();
    worker.stop(run(1, 1)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert_eq!(worker.stand_in.running(), []);
    assert_eq!(worker.ledger.summary().starts, 1);
}

contract!(
    [
        obeys_only_the_newest_epoch,
        adopts_another_shard_once_the_former_lease_lapsed,
        repeated_orders_change_nothing,
        reports_a_completion_until_it_is_acknowledged,
        delayed_starts_are_refused,
        a_lapsed_lease_is_not_renewed,
        refuses_orders_beyond_its_capacity,
        a_failed_start_reports_whether_it_may_have_run,
        a_start_delivered_twice_runs_once,
    ],
    in_memory => crate::harness::worker_in_memory,
    over_http => crate::harness::worker_over_http,
    in_json => crate::harness::worker_in_json,
);

#[tokio::test]
async fn a_silent_worker_times_out_with_an_unknown_outcome() {
    for (fault, runs) in [
        (FaultKind::Slow(ENDLESS_DELAY), 0),
        (FaultKind::SlowAnswer(ENDLESS_DELAY), 1),
    ] {
        let worker = harness::worker_over_http(SHORT_TIMEOUT).await;
        worker.adopt(EPOCH).await.unwrap();
        worker.stand_in.faults().queue_fault(CallKind::Start, fault);
        let answer = worker.start(batch(1, 1)).await;
        assert_eq!(answer, Err(WorkerError::Unknown), "{fault:?}");
        assert_eq!(worker.stand_in.running().len(), runs, "{fault:?}");
        worker.renew(&[]).await.unwrap();
    }
}

/// A worker can be partitioned from one planner while another reaches it.
#[tokio::test]
async fn a_worker_can_be_partitioned_from_one_caller() {
    let worker = harness::worker_over_http(LONG_TIMEOUT).await;
    let cut_off = [127, 0, 0, 2].into();
    worker.stand_in.block_caller(cut_off);
    let adoption = EpochAdoption {
        shard: 1,
        epoch: EPOCH.next(),
        lease: LEASE,
    };
    let other = HttpWorkerTransport::new().with_local_address(cut_off);
    let answer = other.adopt(worker.address, adoption).await;
    assert_eq!(answer, Err(WorkerError::Unknown));
    worker.adopt(EPOCH).await.unwrap();
}

#[tokio::test]
async fn a_refused_connection_returns_unreachable() {
    let mut worker = harness::worker_over_http(LONG_TIMEOUT).await;
    worker.adopt(EPOCH).await.unwrap();
    drop(worker.guard.take());
    // The server's task ends shortly after its guard is dropped. A call that it still accepts is lost.
    while worker.renew(&[]).await != Err(WorkerError::Unreachable) {
        tokio::task::yield_now().await;
    }
}
