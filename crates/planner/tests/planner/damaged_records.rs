//! Tests damaged journal rows, snapshots and inbox rows, with fixed seeds.

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
    batch_job,
    seconds, //
};

/// Number of seeds.
const SEED_COUNT: u64 = 60;
/// Length of the random input of one seed, in bytes.
const SEED_BYTES: u64 = 64;
/// Number of tasks of each job.
const TASKS_PER_JOB: u32 = 4;

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

/// Returns every stored record of the planner with its place.
async fn stored_records(bed: &TestBed) -> Vec<(RecordPlace, Vec<u8>)> {
    let rows = bed.table.rows("planner/").into_iter();
    let mut stored_records: Vec<_> = rows
        .map(|row| (RecordPlace::Row(row.key), row.value))
        .collect();
    for key in bed.objects.keys() {
        let body = bed.objects.get(&key).await.unwrap().unwrap();
        stored_records.push((RecordPlace::Object(key), body.to_vec()));
    }
    stored_records
}

/// Overwrites a record.
fn overwrite_record(bed: &TestBed, place: &RecordPlace, value: Vec<u8>) {
    match place {
        RecordPlace::Object(key) => bed.objects.corrupt(key.clone(), Bytes::from(value)),
        RecordPlace::Row(key) => {
            let change = RowChange::put(key.clone(), RowExpectation::Any, value);
            bed.table.commit_without_faults(WriteId(7), &[change]);
        }
    }
}

/// Flips a bit, truncates the record, changes its version, or appends a byte.
fn damage_value(source: &mut Unstructured<'_>, value: &mut Vec<u8>) -> arbitrary::Result<()> {
    let place = source.choose_index(value.len())?;
    match source.int_in_range(0..=3)? {
        0 => value[place] ^= 1 << source.int_in_range(0..=7)?,
        1 => value.truncate(place),
        2 => value[0] = source.int_in_range(2..=255)?,
        _ => value.push(source.arbitrary()?),
    }
    Ok(())
}

/// Creates the records of a planner that lost its shard: two finished jobs, a running one, and one
/// still in the inbox.
async fn create_records(bed: &TestBed) -> Vec<JobId> {
    let mut jobs = Vec::new();
    let first = bed.start_planner(1).await;
    for work in [2, 2, 40] {
        let job = first
            .handle
            .submit(batch_job(TASKS_PER_JOB, seconds(work)))
            .await;
        jobs.push(job.unwrap());
        sleep(seconds(5)).await;
    }
    first.ownership.remove(crate::test_bed::PLANNED_SHARD);
    let last = first
        .handle
        .submit(batch_job(TASKS_PER_JOB, seconds(2)))
        .await;
    jobs.push(last.unwrap());
    jobs
}

// Damages one record and starts a new owner. A journal record that was altered, truncated or
// written by another release must not make the owner start anything, and no job may be lost or run
// twice.
async fn check_one_damaged_record(source: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let settings = PlannerSettings::new(1).with_rows_per_snapshot(4);
    let bed = TestBed::new(3).with_settings(settings);
    let jobs = create_records(&bed).await;
    let (place, value) = source.choose(&stored_records(&bed).await)?.clone();
    let mut damaged = value.clone();
    damage_value(source, &mut damaged)?;
    overwrite_record(&bed, &place, damaged.clone());
    let before = bed.ledger.summary();

    let second = bed.start_planner(2).await;
    sleep(seconds(20)).await;
    let during = bed.check();
    if place.is_journal() && damaged != value {
        assert_eq!(
            during.starts, before.starts,
            "started on a guess: {place:?}"
        );
    }
    drop(second);

    // Restores the record, as operators would from a backup.
    let still_there = stored_records(&bed).await;
    let found = still_there.iter().find(|(other, _)| match (other, &place) {
        (RecordPlace::Row(one), RecordPlace::Row(other)) => one == other,
        (RecordPlace::Object(one), RecordPlace::Object(other)) => one == other,
        _ => false,
    });
    if found.is_some_and(|(_, bytes)| *bytes == damaged) {
        overwrite_record(&bed, &place, value);
    }
    let third = bed.start_planner(3).await;
    for job in jobs {
        let status = third.wait_until_ended(job, Duration::from_secs(300)).await;
        assert_eq!(status.finished, TASKS_PER_JOB, "{place:?}");
    }
    bed.check();
    Ok(())
}

#[test]
fn damaged_records_lose_no_job_and_run_none_twice() {
    for number in 0..SEED_COUNT {
        arbtest(|source| {
            let mut builder = Builder::new_current_thread();
            let runtime = builder.enable_all().start_paused(true).build().unwrap();
            runtime.block_on(check_one_damaged_record(source))
        })
        .seed(number << 32 | SEED_BYTES);
    }
}

// The shard's head row is missing while its log exists. A new owner that takes the shard for an
// unused one would stop and forget the running job.
#[tokio::test(start_paused = true)]
async fn a_journal_without_its_head_row_is_not_treated_as_new() {
    let bed = TestBed::new(3);
    let jobs = create_records(&bed).await;
    let key = RowKey::from("planner/shard/00000/head");
    let head = bed.table.rows(key.clone()).remove(0).value;
    let delete = RowChange::delete(key.clone(), RowExpectation::Any);
    bed.table.commit_without_faults(WriteId(7), &[delete]);
    let before = bed.ledger.summary();

    let second = bed.start_planner(2).await;
    sleep(seconds(20)).await;
    let during = bed.check();
    assert_eq!(during.starts, before.starts);
    assert_eq!(bed.ledger.running().len(), TASKS_PER_JOB as usize);
    drop(second);

    overwrite_record(&bed, &RecordPlace::Row(key), head);
    let third = bed.start_planner(3).await;
    for job in jobs {
        let status = third.wait_until_ended(job, Duration::from_secs(300)).await;
        assert_eq!(status.finished, TASKS_PER_JOB);
    }
    bed.check();
}
