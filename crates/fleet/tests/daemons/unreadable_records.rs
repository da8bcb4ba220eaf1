//! Successors that can't read what a former owner recorded: it is damaged, or of another version. Time is simulated: it advances
//! only while all tasks wait.

use std::time::Duration;

use jasminebend_dispatch::{
    JobKey,
    JobOutcome,
    JobProgress,
    ProgressRecord, //
};
use jasminebend_fleet::{
    JobRecord,
    StoreRow,
    StoreTable,
    encode_progress, //
};
use tokio::time;

use crate::test_fleet::{
    TestFleet,
    job,
    run_simulated,
    submit,
    wait_for_progress, //
};

const OWNER_PART: &str = "s0";
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// Enough for a successor to take over and to know all jobs that were accepted before.
const TAKEOVER_TIME: Duration = Duration::from_secs(10);
/// Enough for a successor to take over and write its list, and less than a lease.
const OVERWRITING_TIME: Duration = Duration::from_millis(1000);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const CHECK_COUNT: u32 = 400;
/// A length that no bytes follow.
const UNREADABLE: [u8; 2] = [0xff, 0x7f];

fn damage(fleet: &TestFleet, key: &str) {
    let value = UNREADABLE.to_vec();
    let row = StoreRow::new(StoreTable::Progress, OWNER_PART, key, value);
    fleet.store.write(vec![row]);
}

/// Guards against tasks that run twice: the row that lists their workers can't be read, and the registry has lost them.
#[test]
fn no_task_of_workers_in_an_unreadable_row_runs_twice() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(3);
        fleet.workers.run_time.set(Duration::from_secs(60));
        fleet.store.set_listed(2, false);
        let owner = fleet.daemon_on_vm();
        time::sleep(SETTLING_TIME).await;
        submit(&owner.job_api, 1, &job(&[(8, &[])])).await;
        time::sleep(SETTLING_TIME).await;
        let _hanging = owner.lose_vm().await;
        damage(&fleet, "workers-0000");
        fleet.store.set_listed(0, false);
        fleet.store.set_listed(2, true);
        let _successor = fleet.daemon();
        for _ in 0..CHECK_COUNT {
            fleet.workers.check_single_runs();
            time::sleep(CHECK_INTERVAL).await;
        }
        let running = fleet.workers.running_tasks();
        assert!(running.iter().any(|(worker, _)| worker == "worker-2"));
    });
}

/// Guards against tasks that run twice: a successor wrote its own list over the row that it could not read, and was replaced before
/// the leases of the workers in that row had lapsed.
#[test]
fn no_task_of_workers_in_an_overwritten_row_runs_twice() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(3);
        fleet.workers.run_time.set(Duration::from_secs(60));
        fleet.store.set_listed(2, false);
        let owner = fleet.daemon_on_vm();
        time::sleep(SETTLING_TIME).await;
        submit(&owner.job_api, 1, &job(&[(8, &[])])).await;
        time::sleep(SETTLING_TIME).await;
        let killed = owner.kill_process().await;
        damage(&fleet, "workers-0000");
        fleet.store.set_listed(0, false);
        fleet.store.set_listed(2, true);
        let successor = fleet.restart(killed);
        time::sleep(OVERWRITING_TIME).await;
        let killed = successor.kill_process().await;
        let _last = fleet.restart(killed);
        for _ in 0..CHECK_COUNT {
            fleet.workers.check_single_runs();
            time::sleep(CHECK_INTERVAL).await;
        }
    });
}

/// Guards against tasks that run again after they were done: their job's progress can't be read. Other jobs go on.
#[test]
fn no_task_of_a_job_with_unreadable_progress_runs_again() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let owner = fleet.daemon_on_vm();
        time::sleep(SETTLING_TIME).await;
        submit(&owner.job_api, 1, &job(&[(1, &[]), (1, &[0])])).await;
        wait_for_progress(&owner.job_api, 1, JobProgress::Ended(JobOutcome::Completed)).await;
        let started = fleet.workers.started_runs();
        let _hanging = owner.lose_vm().await;
        damage(&fleet, "0000000000000001");
        let successor = fleet.daemon();
        time::sleep(Duration::from_secs(20)).await;
        assert_eq!(fleet.workers.started_runs(), started);
        submit(&successor.job_api, 2, &job(&[(1, &[])])).await;
        wait_for_progress(
            &successor.job_api,
            2,
            JobProgress::Ended(JobOutcome::Completed),
        )
        .await;
    });
}

/// Guards against a task that starts again after its end was acknowledged: the owner that learned of the end could not read the
/// progress of the job, and the next one can.
#[test]
fn end_of_a_job_with_unreadable_progress_holds_for_an_owner_that_can_read_it() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        fleet
            .workers
            .run_time
            .set(SETTLING_TIME + TAKEOVER_TIME / 2);
        let owner = fleet.daemon_on_vm();
        time::sleep(SETTLING_TIME).await;
        submit(&owner.job_api, 1, &job(&[(1, &[]), (1, &[0])])).await;
        time::sleep(SETTLING_TIME).await;
        let _hanging = owner.lose_vm().await;
        damage(&fleet, "0000000000000001");
        let unable = fleet.daemon_on_vm();
        time::sleep(TAKEOVER_TIME).await;
        let _hanging = unable.lose_vm().await;
        let value = encode_progress(&ProgressRecord::default()).unwrap();
        let key = "0000000000000001";
        let row = StoreRow::new(StoreTable::Progress, OWNER_PART, key, value);
        fleet.store.write(vec![row]);
        check_next_owner_completes(&fleet).await;
    });
}

/// Guards against a task that starts again after its end was acknowledged: the owner that learned of the end could not read the
/// job's row, and the next one can.
#[test]
fn end_of_a_job_with_an_unreadable_row_holds_for_an_owner_that_can_read_it() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        fleet
            .workers
            .run_time
            .set(SETTLING_TIME + Duration::from_millis(200));
        let owner = fleet.daemon_on_vm();
        time::sleep(SETTLING_TIME).await;
        let graph = job(&[(1, &[]), (1, &[0])]);
        submit(&owner.job_api, 1, &graph).await;
        time::sleep(SETTLING_TIME).await;
        let _hanging = owner.lose_vm().await;
        write_job_row(&fleet, UNREADABLE.to_vec());
        let unable = fleet.daemon_on_vm();
        time::sleep(TAKEOVER_TIME).await;
        let _hanging = unable.lose_vm().await;
        let record = JobRecord {
            queue: "queue".to_owned(),
            accepted_ms: 0,
            graph,
        };
        write_job_row(&fleet, postcard::to_stdvec(&record).unwrap());
        check_next_owner_completes(&fleet).await;
    });
}

/// Writes rows that no daemon writes into all tables: jobs without an order of their steps, numbers that are too large, unknown
/// keys, and values that can't be read.
fn write_foreign_rows(fleet: &TestFleet, first_job: u64) {
    for (number, dependencies) in [(first_job, [7]), (first_job + 1, [0])] {
        let record = JobRecord {
            queue: "queue".to_owned(),
            accepted_ms: u64::MAX,
            graph: job(&[(1, &dependencies), (1, &[0])]),
        };
        let value = postcard::to_stdvec(&record).expect("it can be encoded");
        write_row_of(fleet, JobKey::new(number), value);
    }
    let rows = [
        (StoreTable::Jobs, "j0"),
        (StoreTable::Progress, OWNER_PART),
        (StoreTable::Fleet, "members"),
        (StoreTable::Fleet, OWNER_PART),
    ];
    let keys = [
        "",
        "x",
        ".c",
        "x.ends",
        "learned",
        "workers-",
        "workers-x",
        "workers-0077",
        "workers-18446744073709551615",
        "00000000000000ff",
        "00000000000000ff.ends",
    ];
    for (table, part) in rows {
        for key in keys {
            let row = StoreRow::new(table, part, key, [0xff; 64].to_vec());
            fleet.store.write(vec![row]);
        }
    }
}

/// Guards against owners that end one after another at a row of another writer, or start nothing beside it.
#[test]
fn rows_of_other_writers_stop_no_owner() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let owner = fleet.daemon_on_vm();
        time::sleep(SETTLING_TIME).await;
        write_foreign_rows(&fleet, 10);
        time::sleep(SETTLING_TIME).await;
        submit(&owner.job_api, 1, &job(&[(1, &[])])).await;
        let completed = JobProgress::Ended(JobOutcome::Completed);
        wait_for_progress(&owner.job_api, 1, completed).await;
        let _hanging = owner.lose_vm().await;
        write_foreign_rows(&fleet, 20);
        let successor = fleet.daemon();
        time::sleep(TAKEOVER_TIME).await;
        submit(&successor.job_api, 2, &job(&[(1, &[])])).await;
        wait_for_progress(&successor.job_api, 2, completed).await;
    });
}

fn write_job_row(fleet: &TestFleet, value: Vec<u8>) {
    write_row_of(fleet, JobKey::new(1), value);
}

fn write_row_of(fleet: &TestFleet, key: JobKey, value: Vec<u8>) {
    let part = format!("j{}", key.partition(16));
    let row = StoreRow::new(StoreTable::Jobs, &part, key.to_string(), value);
    fleet.store.write(vec![row]);
}

/// Checks that the next owner completes the job of two tasks, the first of which has ended, with one more run.
async fn check_next_owner_completes(fleet: &TestFleet) {
    assert!(fleet.workers.is_idle("worker-0"));
    assert_eq!(fleet.workers.started_runs(), 1);
    let next = fleet.daemon();
    time::sleep(TAKEOVER_TIME).await;
    wait_for_progress(&next.job_api, 1, JobProgress::Ended(JobOutcome::Completed)).await;
    assert_eq!(fleet.workers.started_runs(), 2);
}
