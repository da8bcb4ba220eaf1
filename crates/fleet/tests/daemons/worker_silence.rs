//! Runs on workers after connections to the workers went silent. Time is simulated: it advances only while all tasks
//! wait.

use std::time::Duration;

use tokio::time;

use crate::test_fleet::{
    TestFleet,
    job,
    run_simulated,
    submit, //
};

/// Longer than the longest interval between lease renewals, so that connections are lost in every phase of a renewal.
const RENEWAL_ROUND_MS: u64 = 2100;
const PHASE_STEP_MS: usize = 20;
const TASK_COUNT: usize = 4;

/// Guards against lost tasks while daemons and workers are healthy: the lease lapsed because its renewal was sent on a
/// connection that had gone silent.
#[test]
fn tasks_survive_silent_connections_to_their_workers() {
    for phase in (0..RENEWAL_ROUND_MS).step_by(PHASE_STEP_MS) {
        run_simulated(async {
            let fleet = TestFleet::with_runtime_clock(2);
            fleet.workers.run_time.set(Duration::from_secs(30));
            let owner = fleet.daemon();
            let mut service = job(&[(4, &[])]);
            service.steps[0].long_running = true;
            service.steps[0].tail_target = Some(Duration::from_millis(100));
            submit(&owner.job_api, 1, &service).await;
            time::sleep(Duration::from_secs(5) + Duration::from_millis(phase)).await;
            assert_eq!(fleet.workers.started_runs(), TASK_COUNT);
            fleet.workers.lose_connections();
            time::sleep(Duration::from_secs(20)).await;
            assert_eq!(
                fleet.workers.started_runs(),
                TASK_COUNT,
                "lost after {phase} ms"
            );
        });
    }
}
