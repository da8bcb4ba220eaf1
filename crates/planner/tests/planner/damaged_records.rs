//! Damaged journal rows, snapshots and queue entries, with fixed seeds.

use std::time::Duration;

use arbtest::arbitrary;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bytes::Bytes;
use jasminebend_planner::{
    JobId,
    PlannerSettings, //
};
use jasminebend_ports::{
    ObjectKey,
    ObjectStore,
    RowChange,
    RowExpectation,
    RowKey,
    WriteId, //
};
use tokio::{
    runtime::Builder,
    time::sleep, //
};

use crate::test_bed::{
    TestBed,
    batch,
    seconds, //
};

const SEEDS: u64 = 60;
const SEED_BYTES: u64 = 64;
const TASKS: u32 = 4;

/// Where a record is stored.
#[derive(Clone, Debug)]
enum RecordPlace {
    Row(RowKey),
    Object(ObjectKey),
}

impl RecordPlace {
    fn is_journal(&self) -> bool {
        matches!(self, Self::Row(key) if key.as_str().starts_with("planner/shard/"))
    }
}

async fn records(bed: &TestBed) -> Vec<(RecordPlace, Vec<u8>)> {
    let rows = bed.table.rows("planner/").into_iter();
    let mut records: Vec<_> = rows
        .map(|row| (RecordPlace::Row(row.key), row.value))
        .collect();
    for key in bed.objects.keys() {
        let body = bed.objects.get(&key).await.unwrap().unwrap();
        records.push((RecordPlace::Object(key), body.to_vec()));
    }
    records
}

fn store(bed: &TestBed, place: &RecordPlace, value: Vec<u8>) {
    match place {
        RecordPlace::Object(key) => bed.objects.damage(key.clone(), Bytes::from(value)),
        RecordPlace::Row(key) => {
            let change = RowChange::put(key.clone(), RowExpectation::Any, value);
            bed.table.commit_surely(WriteId(7), &[change]);
        }
    }
}

fn damage(source: &mut Unstructured<'_>, value: &mut Vec<u8>) -> arbitrary::Result<()> {
    let place = source.choose_index(value.len())?;
    match source.int_in_range(0..=3)? {
        0 => value[place] ^= 1 << source.int_in_range(0..=7)?,
        1 => value.truncate(place),
        2 => value[0] = source.int_in_range(2..=255)?,
        _ => value.push(source.arbitrary()?),
    }
    Ok(())
}

/// Leaves behind a planner's records: two finished jobs, one that runs, one still in the inbox.
async fn leave_records(bed: &TestBed) -> Vec<JobId> {
    let mut jobs = Vec::new();
    let first = bed.planner(1).await;
    for work in [2, 2, 40] {
        let job = first.handle.submit(batch(TASKS, seconds(work))).await;
        jobs.push(job.unwrap());
        sleep(seconds(5)).await;
    }
    first.ownership.lose(crate::test_bed::SHARD);
    let last = first.handle.submit(batch(TASKS, seconds(2))).await;
    jobs.push(last.unwrap());
    jobs
}

// A customer's job is lost, or run twice: a stored record was altered, cut short or written by
// another release, and the planner that took the shard over went on by what was left of it.
async fn survives_damage(source: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let settings = PlannerSettings::new(1).with_rows_per_snapshot(4);
    let bed = TestBed::new(3).with_settings(settings);
    let jobs = leave_records(&bed).await;
    let (place, value) = source.choose(&records(&bed).await)?.clone();
    let mut damaged = value.clone();
    damage(source, &mut damaged)?;
    store(&bed, &place, damaged.clone());
    let before = bed.ledger.summary();

    let second = bed.planner(2).await;
    sleep(seconds(20)).await;
    let during = bed.check();
    if place.is_journal() && damaged != value {
        assert_eq!(
            during.starts, before.starts,
            "started on a guess: {place:?}"
        );
    }
    drop(second);

    // Operators put the record back, as they would from the platform's own backup.
    let still_there = records(&bed).await;
    let found = still_there.iter().find(|(other, _)| match (other, &place) {
        (RecordPlace::Row(one), RecordPlace::Row(other)) => one == other,
        (RecordPlace::Object(one), RecordPlace::Object(other)) => one == other,
        _ => false,
    });
    if found.is_some_and(|(_, bytes)| *bytes == damaged) {
        store(&bed, &place, value);
    }
    let third = bed.planner(3).await;
    for job in jobs {
        let status = third.ended(job, Duration::from_secs(300)).await;
        assert_eq!(status.finished, TASKS, "{place:?}");
    }
    bed.check();
    Ok(())
}

#[test]
fn damaged_records_lose_no_job_and_run_none_twice() {
    for number in 0..SEEDS {
        arbtest(|source| {
            let mut builder = Builder::new_current_thread();
            let runtime = builder.enable_all().start_paused(true).build().unwrap();
            runtime.block_on(survives_damage(source))
        })
        .seed(number << 32 | SEED_BYTES);
    }
}

// A customer's running job is stopped and forgotten: the shard's head row is gone while its log is
// there, and the planner that took the shard over took it for a new one.
#[tokio::test(start_paused = true)]
async fn a_journal_without_its_head_is_not_taken_for_a_new_one() {
    let bed = TestBed::new(3);
    let jobs = leave_records(&bed).await;
    let key = RowKey::from("planner/shard/00000/head");
    let head = bed.table.rows(key.clone()).remove(0).value;
    let delete = RowChange::delete(key.clone(), RowExpectation::Any);
    bed.table.commit_surely(WriteId(7), &[delete]);
    let before = bed.ledger.summary();

    let second = bed.planner(2).await;
    sleep(seconds(20)).await;
    let during = bed.check();
    assert_eq!(during.starts, before.starts);
    assert_eq!(bed.ledger.running().len(), TASKS as usize);
    drop(second);

    store(&bed, &RecordPlace::Row(key), head);
    let third = bed.planner(3).await;
    for job in jobs {
        let status = third.ended(job, Duration::from_secs(300)).await;
        assert_eq!(status.finished, TASKS);
    }
    bed.check();
}
