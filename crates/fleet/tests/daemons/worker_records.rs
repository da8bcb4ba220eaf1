//! Workers that join while the owner can't record them. Time is simulated: it advances only while all tasks wait.

use std::time::Duration;

use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    JobOutcome,
    JobProgress, //
};
use jasminebend_fleet::{
    StoreRow,
    StoreTable, //
};
use tokio::time;

use crate::test_fleet::{
    TestDaemon,
    TestFleet,
    job,
    run_simulated,
    submit,
    wait_for_progress, //
};

/// The number of the worker that joins late.
const LATE_WORKER: usize = 1;
/// The number of the worker that joins with the successor.
const SPARE_WORKER: usize = 2;
/// The part that holds the owner's row and the rows that list the workers.
const OWNER_PART: &str = "s0";
/// Two workers run at most this many tasks at a time.
const TASK_COUNT: u32 = 8;
/// The workers of the target size.
const LARGE_FLEET: usize = 2600;
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// After this time a worker that has joined would run tasks.
const JOINED_AFTER: Duration = Duration::from_secs(2);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const CHECK_COUNT: u32 = 200;

fn late_worker_runs(fleet: &TestFleet) -> bool {
    let id = format!("worker-{LATE_WORKER}");
    let running = fleet.workers.running_tasks();
    running.iter().any(|(worker, _)| *worker == id)
}

/// Starts a fleet of two workers, of which one is not listed yet, and its owner.
async fn fleet_without_late_worker() -> (TestFleet, TestDaemon) {
    let fleet = TestFleet::with_runtime_clock(2);
    fleet.workers.run_time.set(Duration::from_secs(60));
    fleet.store.set_listed(LATE_WORKER, false);
    let owner = fleet.daemon();
    time::sleep(SETTLING_TIME).await;
    (fleet, owner)
}

/// Guards against tasks that run twice: the owner started them on a worker that joined just before an outage, and the
/// successor knew it neither from the owner's rows nor from the registry.
#[test]
fn no_task_starts_on_a_worker_that_a_successor_would_not_know() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(3);
        fleet.workers.run_time.set(Duration::from_secs(60));
        fleet.store.set_listed(LATE_WORKER, false);
        fleet.store.set_listed(SPARE_WORKER, false);
        let owner = fleet.daemon_on_vm();
        time::sleep(SETTLING_TIME).await;
        let failing = &owner.store_client.failing_parts;
        failing.borrow_mut().push(OWNER_PART.to_owned());
        fleet.store.set_listed(LATE_WORKER, true);
        submit(&owner.job_api, 1, &job(&[(TASK_COUNT, &[])])).await;
        time::sleep(JOINED_AFTER).await;
        fleet.store.set_listed(LATE_WORKER, false);
        fleet.store.set_listed(SPARE_WORKER, true);
        let _hanging = owner.lose_vm().await;
        let _successor = fleet.daemon();
        for _ in 0..CHECK_COUNT {
            fleet.workers.check_single_runs();
            time::sleep(CHECK_INTERVAL).await;
        }
    });
}

/// Guards against a worker that stays idle: the owner could not record it when it joined.
#[test]
fn tasks_start_on_a_worker_once_it_is_recorded() {
    run_simulated(async {
        let (fleet, owner) = fleet_without_late_worker().await;
        let failing = &owner.store_client.failing_parts;
        failing.borrow_mut().push(OWNER_PART.to_owned());
        fleet.store.set_listed(LATE_WORKER, true);
        submit(&owner.job_api, 1, &job(&[(TASK_COUNT, &[])])).await;
        time::sleep(JOINED_AFTER).await;
        assert!(!late_worker_runs(&fleet));
        failing.borrow_mut().clear();
        time::sleep(JOINED_AFTER).await;
        assert!(late_worker_runs(&fleet));
    });
}

/// Guards against a list of workers that a late write replaces by an earlier one: the answers to several writes were lost.
#[test]
fn workers_are_recorded_after_answers_were_lost() {
    run_simulated(async {
        let (fleet, owner) = fleet_without_late_worker().await;
        owner.store_client.lost_answers.set(3);
        fleet.store.set_listed(LATE_WORKER, true);
        time::sleep(JOINED_AFTER).await;
        submit(&owner.job_api, 1, &job(&[(TASK_COUNT, &[])])).await;
        time::sleep(JOINED_AFTER).await;
        assert!(late_worker_runs(&fleet));
    });
}

/// Guards against tasks that run twice: a worker that had been taken off the list came back, and tasks started there before the
/// list named it again.
#[test]
fn no_task_starts_on_a_worker_that_is_back_before_it_is_recorded_again() {
    run_simulated(async {
        let (fleet, owner) = fleet_without_late_worker().await;
        fleet.store.set_listed(LATE_WORKER, true);
        time::sleep(JOINED_AFTER).await;
        fleet.store.set_listed(LATE_WORKER, false);
        time::sleep(JOINED_AFTER).await;
        assert_eq!(fleet.store.recorded_workers().concat().len(), 1);
        let failing = &owner.store_client.failing_parts;
        failing.borrow_mut().push(OWNER_PART.to_owned());
        fleet.store.set_listed(LATE_WORKER, true);
        submit(&owner.job_api, 1, &job(&[(TASK_COUNT, &[])])).await;
        time::sleep(JOINED_AFTER).await;
        assert!(!late_worker_runs(&fleet));
    });
}

/// Guards against tasks that run twice: a write of the list that was carried out late took a worker off it that runs tasks.
#[test]
fn a_late_write_of_the_list_replaces_no_later_one() {
    run_simulated(async {
        let (fleet, owner) = fleet_without_late_worker().await;
        owner.store_client.late_worker_writes.set(1);
        fleet.store.set_capacity(0, ResourceAmount::new(3000, 4000));
        time::sleep(Duration::from_millis(800)).await;
        fleet.store.set_listed(LATE_WORKER, true);
        submit(&owner.job_api, 1, &job(&[(TASK_COUNT, &[])])).await;
        time::sleep(Duration::from_secs(5)).await;
        assert!(late_worker_runs(&fleet));
        assert_eq!(fleet.store.recorded_workers().concat().len(), 2);
    });
}

/// Guards against workers of a large fleet of which a successor does not know: they are in several rows, written in one call, and
/// one of these rows was changed by a late write.
#[test]
fn workers_of_a_large_fleet_are_recorded() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(LARGE_FLEET);
        let _owner = fleet.daemon();
        time::sleep(SETTLING_TIME).await;
        let recorded = fleet.store.recorded_workers();
        assert_eq!(recorded.iter().flatten().count(), LARGE_FLEET);
        let row = StoreRow::new(StoreTable::Progress, OWNER_PART, "workers-0001", vec![0]);
        fleet.store.write(vec![row]);
        fleet.store.set_listed(0, false);
        time::sleep(SETTLING_TIME).await;
        let recorded = fleet.store.recorded_workers();
        assert_eq!(recorded.iter().flatten().count(), LARGE_FLEET - 1);
    });
}

/// Guards against a fleet in which nothing starts: a row of workers with long labels is larger than the store accepts.
#[test]
fn workers_with_long_labels_are_recorded() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(300);
        fleet.store.add_label(&"x".repeat(400));
        let owner = fleet.daemon();
        time::sleep(SETTLING_TIME).await;
        let recorded = fleet.store.recorded_workers();
        assert_eq!(recorded.iter().flatten().count(), 300);
        submit(&owner.job_api, 1, &job(&[(TASK_COUNT, &[])])).await;
        wait_for_progress(&owner.job_api, 1, JobProgress::Ended(JobOutcome::Completed)).await;
    });
}
