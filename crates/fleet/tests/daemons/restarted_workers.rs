//! Workers that restart under their identities before their owner notices. Time is simulated: it advances only while all tasks
//! wait.

use std::time::Duration;

use jasminebend_dispatch::DispatchSettings;
use tokio::time;

use crate::test_fleet::{
    TestFleet,
    job,
    run_simulated,
    submit, //
};

const RESTARTED_WORKER: &str = "worker-0";
/// Longer than the longest interval between lease renewals, so that the worker restarts in every phase of a renewal.
const RENEWAL_ROUND_MS: u64 = 2100;
const PHASE_STEP_MS: usize = 20;
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Long enough for the owner to notice the restart, and to grant leases.
const OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// Guards against a deadline on the clock of the former incarnation: the new one takes it for the longest lease that it accepts.
#[test]
fn restarted_workers_get_no_lease_that_was_meant_for_the_former_incarnation() {
    for phase in (0..RENEWAL_ROUND_MS).step_by(PHASE_STEP_MS) {
        run_simulated(async {
            let fleet = TestFleet::with_runtime_clock(2);
            fleet.workers.run_time.set(Duration::from_millis(300));
            fleet.workers.with_worker(RESTARTED_WORKER, |worker, _| {
                worker.set_max_lease(Duration::from_secs(10));
            });
            let owner = fleet.daemon();
            time::sleep(Duration::from_secs(5) + Duration::from_millis(phase)).await;
            submit(&owner.job_api, 1, &job(&[(4, &[]), (4, &[0])])).await;
            fleet
                .workers
                .with_worker(RESTARTED_WORKER, |worker, now| worker.restart(now));
            let until = time::Instant::now() + OBSERVATION_TIME;
            let mut lease = Duration::ZERO;
            while time::Instant::now() < until {
                lease = fleet.workers.lease(RESTARTED_WORKER);
                assert!(
                    lease <= DispatchSettings::default().lease_duration,
                    "{lease:?}, restarted after {phase} ms"
                );
                time::sleep(CHECK_INTERVAL).await;
            }
            assert!(
                lease > Duration::ZERO,
                "no lease after {OBSERVATION_TIME:?}"
            );
        });
    }
}
