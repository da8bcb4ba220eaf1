//! Jobs whose progress is large. Time is simulated: it advances only while all tasks wait.

use std::time::Duration;

use jasminebend_dispatch::{
    ProgressRecord,
    StepProgress, //
};
use jasminebend_fleet::{
    StoreRow,
    StoreTable,
    encode_progress, //
};
use tokio::time;

use crate::test_fleet::{
    TestFleet,
    job,
    run_simulated,
    submit, //
};

/// As many jobs as tasks run at a time, so that their first steps end together.
const JOB_COUNT: u64 = 20;
const WORKER_COUNT: usize = 5;
/// The tasks of a job's second step, each of which has a checkpoint: about 54 KB a job.
const TASK_COUNT: u32 = 3000;
const SETTLING_TIME: Duration = Duration::from_secs(2);
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
const CHECK_COUNT: u32 = 150;

fn row(number: u64) -> StoreRow {
    let record = ProgressRecord {
        steps: vec![StepProgress {
            step: 1,
            checkpoints: (0..TASK_COUNT)
                .map(|task| (task, "5c0e7a21d94b36f8".to_owned()))
                .collect(),
            ..StepProgress::default()
        }],
        ..ProgressRecord::default()
    };
    let value = encode_progress(&record).expect("the record should be encodable");
    StoreRow::new(StoreTable::Progress, "s0", format!("{number:016x}"), value)
}

/// Guards against ends that are never on record: the progress of several large jobs is more than the store accepts in one call.
#[test]
fn progress_of_several_large_jobs_is_committed() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(WORKER_COUNT);
        for worker in 0..WORKER_COUNT {
            fleet.store.set_listed(worker, false);
        }
        let owner = fleet.daemon_on_vm();
        time::sleep(SETTLING_TIME).await;
        for number in 1..=JOB_COUNT {
            submit(
                &owner.job_api,
                number,
                &job(&[(1, &[]), (TASK_COUNT, &[0])]),
            )
            .await;
        }
        let _hanging = owner.lose_vm().await;
        fleet.store.write((1..=JOB_COUNT).map(row).collect());
        for worker in 0..WORKER_COUNT {
            fleet.store.set_listed(worker, true);
        }
        let _successor = fleet.daemon();
        for _ in 0..CHECK_COUNT {
            time::sleep(CHECK_INTERVAL).await;
            if fleet.store.jobs_with_a_done_step() == JOB_COUNT as usize {
                return;
            }
        }
        panic!("{} jobs", fleet.store.jobs_with_a_done_step());
    });
}
