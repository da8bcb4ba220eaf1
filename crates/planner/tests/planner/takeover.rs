//! Tests takeovers of a shard by another planner.

use std::net::IpAddr;

use jasminebend_base::{
    OwnerEpoch,
    ResourceAmount,
    ResourceId, //
};
use jasminebend_planner::{
    JobPhase,
    PlannerSettings, //
};
use jasminebend_ports::{
    EpochAdoption,
    ResourceUser,
    RowChange,
    RowExpectation,
    WorkerError,
    WorkerPort,
    WriteId, //
};
use jasminebend_standins::{
    CallKind,
    FaultKind,
    TaskPayload, //
};
use tokio::time::sleep;

use crate::test_bed::{
    PLANNED_SHARD,
    TestBed,
    batch_job,
    seconds,
    service_job, //
};

// Two planners act as owners of one shard, because the former one never learns that it was
// replaced. Workers follow the newer epoch and the journal's head row has changed, so the former
// one's orders and commits have no effect.
#[tokio::test(start_paused = true)]
async fn two_owners_of_a_shard_run_nothing_twice() {
    let bed = TestBed::new(4);
    let old = bed.start_planner(1).await;
    let services = old.handle.submit(service_job(3)).await.unwrap();
    let job = old.handle.submit(batch_job(60, seconds(30))).await.unwrap();
    sleep(seconds(5)).await;
    let new = bed.start_planner(2).await;
    let more = old.handle.submit(batch_job(10, seconds(5))).await.unwrap();
    assert_eq!(new.wait_until_ended(job, seconds(300)).await.finished, 60);
    assert_eq!(new.wait_until_ended(more, seconds(300)).await.finished, 10);
    assert_eq!(new.status(services).await.running, 3);
    let summary = bed.check();
    assert_eq!((summary.finishes, summary.starts), (70, 73));
}

// A worker is unreachable for the new planner but not for the former one, which may still renew its
// lease. The new planner must not start the worker's tasks elsewhere before the lease has lapsed.
#[tokio::test(start_paused = true)]
async fn a_worker_unreachable_for_the_new_planner_only_lapses_first() {
    let bed = TestBed::new(3);
    let old = bed.start_planner(1).await;
    let job = old.handle.submit(service_job(3)).await.unwrap();
    sleep(seconds(8)).await;
    bed.worker(0).block_caller(IpAddr::from([10, 9, 0, 2]));
    // The former planner is paused with unsent renewals, which it sends when it resumes.
    old.ownership.remove(PLANNED_SHARD);
    let new = bed.start_planner(2).await;
    sleep(seconds(90)).await;
    assert_eq!(new.status(job).await.running, 3);
    bed.check();
    bed.worker(0).unblock_caller(IpAddr::from([10, 9, 0, 2]));
    sleep(seconds(30)).await;
    assert_eq!(bed.ledger.running().len(), 3);
    bed.check();
}

// The new planner has raised a worker's epoch but not yet fenced the journal. The former planner,
// which the worker now rejects, must not take the worker's lease for lapsed and start its tasks
// elsewhere.
#[tokio::test(start_paused = true)]
async fn a_worker_that_follows_another_owner_never_counts_as_lapsed() {
    let bed = TestBed::new(4);
    let old = bed.start_planner(1).await;
    let job = old.handle.submit(service_job(3)).await.unwrap();
    sleep(seconds(8)).await;
    let home = bed.ledger.runs_of(job.0, 0)[0].worker.clone();
    let (address, _) = bed
        .fleet
        .workers()
        .find(|(_, worker)| worker.name() == home)
        .unwrap();
    let adoption = EpochAdoption {
        shard: 0,
        epoch: OwnerEpoch(2),
        lease: seconds(3600),
    };
    bed.fleet.adopt(address, adoption).await.unwrap();
    sleep(seconds(120)).await;
    bed.check();
    assert_eq!(old.status(job).await.running, 3);
}

// All daemons stop, the number of shards changes from one to two, and they start again. Half of the
// workers followed epoch 7 of the former shard and now belong to a shard at epoch 1. If these
// epochs were compared, the new owner would be rejected forever and its jobs would never start.
#[tokio::test(start_paused = true)]
async fn workers_move_to_another_shard_with_a_lower_epoch() {
    let bed = TestBed::new(8);
    let old = bed.start_planner(7).await;
    let services = old.handle.submit(service_job(6)).await.unwrap();
    sleep(seconds(8)).await;
    assert_eq!(old.status(services).await.running, 6);
    drop(old);
    let bed = bed.with_settings(PlannerSettings::new(2));
    let new = bed.start_planner(8).await;
    new.ownership
        .set_owned(ResourceId::Shard(1), OwnerEpoch(1), seconds(0));
    let mut jobs = Vec::new();
    for _ in 0..20 {
        jobs.push(new.handle.submit(batch_job(4, seconds(5))).await.unwrap());
    }
    for job in jobs {
        assert_eq!(new.wait_until_ended(job, seconds(300)).await.finished, 4);
    }
    sleep(seconds(60)).await;
    assert_eq!(new.status(services).await.running, 6);
    // Each worker holds a lease of its shard, so it rejects every other shard.
    for (address, _) in bed.fleet.workers() {
        let stale = EpochAdoption {
            shard: 9,
            epoch: OwnerEpoch(99),
            lease: seconds(15),
        };
        let answer = bed.fleet.adopt(address, stale).await;
        assert_eq!(answer, Err(WorkerError::OutOfDate), "{address}");
    }
    bed.check();
}

// A planner is paused with an unsent start. Its shard is taken over and the task is started
// elsewhere before the start arrives.
#[tokio::test(start_paused = true)]
async fn a_start_that_arrives_after_a_takeover_is_rejected() {
    for late in [1, 4, 8, 20, 45] {
        let bed = TestBed::new(3);
        let old = bed.start_planner(1).await;
        sleep(seconds(4)).await;
        bed.each_worker(|worker| {
            let fault = FaultKind::LateEffect(seconds(late));
            worker.faults().queue_fault(CallKind::Start, fault);
        });
        let job = old.handle.submit(batch_job(6, seconds(20))).await.unwrap();
        sleep(seconds(2)).await;
        drop(old);
        let new = bed.start_planner(2).await;
        assert_eq!(new.wait_until_ended(job, seconds(200)).await.finished, 6);
        assert_eq!(bed.check().finishes, 6, "late by {late} s");
    }
}

#[tokio::test(start_paused = true)]
async fn a_successor_reads_snapshot_and_log() {
    let bed = TestBed::new(4);
    let bed = bed.with_settings(PlannerSettings::new(1).with_rows_per_snapshot(5));
    let mut jobs = Vec::new();
    for epoch in 1..6 {
        let planner = bed.start_planner(epoch).await;
        for _ in 0..4 {
            jobs.push(
                planner
                    .handle
                    .submit(batch_job(3, seconds(9)))
                    .await
                    .unwrap(),
            );
            sleep(seconds(3)).await;
        }
    }
    let last = bed.start_planner(9).await;
    for job in jobs {
        assert_eq!(last.wait_until_ended(job, seconds(120)).await.finished, 3);
    }
    let summary = bed.check();
    assert_eq!((summary.finishes, summary.starts), (60, 60));
    assert!(bed.table.rows("planner/shard/00000/log/").len() < 12);
}

// A journal row is truncated, altered or written by an unknown release. The new owner must neither
// start nor stop anything.
#[tokio::test(start_paused = true)]
async fn a_journal_that_cannot_be_read_starts_nothing_and_stops_nothing() {
    for damage in [
        (|value: &mut Vec<u8>| value.truncate(20)) as fn(&mut Vec<u8>),
        |value| value[0] = 77,
        |value| *value.last_mut().unwrap() ^= 1,
    ] {
        let bed = TestBed::new(3);
        let first = bed.start_planner(1).await;
        first.handle.submit(service_job(3)).await.unwrap();
        sleep(seconds(10)).await;
        drop(first);
        let mut row = bed.table.rows("planner/shard/00000/log/").remove(0);
        damage(&mut row.value);
        let change = RowChange::put(row.key, RowExpectation::Any, row.value);
        bed.table.commit_without_faults(WriteId(7), &[change]);
        let second = bed.start_planner(2).await;
        second
            .handle
            .submit(batch_job(5, seconds(5)))
            .await
            .unwrap();
        sleep(seconds(120)).await;
        assert_eq!(bed.check().starts, 3);
        assert_eq!(bed.ledger.running().len(), 3);
    }
}

#[tokio::test(start_paused = true)]
async fn a_released_shard_becomes_idle_and_its_tasks_continue() {
    let bed = TestBed::new(3);
    let first = bed.start_planner(1).await;
    let job = first
        .handle
        .submit(batch_job(30, seconds(10)))
        .await
        .unwrap();
    sleep(seconds(3)).await;
    first.ownership.remove(PLANNED_SHARD);
    first.handle.wait_idle(PLANNED_SHARD).await;
    let starts = bed.ledger.summary().starts;
    sleep(seconds(5)).await;
    assert_eq!(bed.ledger.summary().starts, starts);
    let second = bed.start_planner(2).await;
    assert_eq!(
        second.wait_until_ended(job, seconds(120)).await.phase,
        JobPhase::Finished
    );
    first
        .ownership
        .set_owned(PLANNED_SHARD, OwnerEpoch(3), seconds(0));
    drop(second);
    let more = first.handle.submit(batch_job(3, seconds(1))).await.unwrap();
    first.wait_until_ended(more, seconds(60)).await;
    assert_eq!(bed.check().finishes, 33);
}

// A planner is paused or dead, and its start arrives long after its last renewal, when the failure
// domain may be out. No other owner has raised the worker's epoch yet, so the worker must reject
// the start by its age.
#[tokio::test(start_paused = true)]
async fn a_start_long_after_its_planners_last_renewal_is_rejected() {
    let bed = TestBed::new(3);
    let planner = bed.start_planner(1).await;
    sleep(seconds(7)).await;
    bed.each_worker(|worker| {
        let late = FaultKind::LateEffect(seconds(6));
        worker.faults().set_fault(CallKind::Start, late);
    });
    planner
        .handle
        .submit(batch_job(6, seconds(20)))
        .await
        .unwrap();
    sleep(seconds(2)).await;
    drop(planner);
    sleep(seconds(30)).await;
    assert!(bed.ledger.runs().is_empty(), "{:?}", bed.ledger.runs());
}

// A former owner that restarts with its outdated epoch must not take the shard back.
#[tokio::test(start_paused = true)]
async fn an_older_epoch_cannot_open_the_journal_again() {
    let bed = TestBed::new(3);
    let new = bed.start_planner(2).await;
    sleep(seconds(3)).await;
    let old = bed.start_planner(1).await;
    sleep(seconds(3)).await;
    let job = new.handle.submit(batch_job(3, seconds(5))).await.unwrap();
    new.wait_until_ended(job, seconds(30)).await;
    assert_eq!(old.status(job).await.finished, 3);
    assert_eq!(bed.check().starts, 3);
}

// A class uses five times its declared size, and the planner has learned that. Its successor must
// not fill the workers by the declared size again.
#[tokio::test(start_paused = true)]
async fn a_successor_keeps_the_learned_usage() {
    let bed = TestBed::new(4);
    let first = bed.start_planner(1).await;
    let mut spec = batch_job(200, seconds(45));
    spec.size = ResourceAmount::new(1_000, 200);
    let actual = ResourceAmount::new(5_000, 200);
    spec.payload = TaskPayload::new(seconds(45)).with_used(actual).to_text();
    first.handle.submit(spec).await.unwrap();
    sleep(seconds(400)).await;
    drop(first);
    let _second = bed.start_planner(2).await;
    sleep(seconds(4)).await;
    bed.each_worker(|worker| assert!(worker.running().len() <= 1));
}
