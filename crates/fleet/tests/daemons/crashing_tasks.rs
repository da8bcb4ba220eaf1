//! Jobs whose tasks crash the workers that execute them. Time is simulated: it advances only while all tasks wait.

use std::time::Duration;

use jasminebend_fleet::{
    CallerAnswer,
    CallerVerb, //
};
use tokio::time;

use crate::test_fleet::{
    TestDaemon,
    TestFleet,
    job,
    run_simulated,
    send_request,
    submit, //
};

const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than four crashes, each with the wait for the worker's return.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(40);

/// Returns the reason that a daemon gives for the failure of job 1, once it shows the job as failed.
async fn read_failure(daemon: &TestDaemon) -> Option<String> {
    let until = time::Instant::now() + GIVEN_UP_AFTER;
    while time::Instant::now() < until {
        if let CallerAnswer::Failed(reason) =
            send_request(&daemon.job_api, 1, CallerVerb::Read).await
        {
            return Some(reason);
        }
        time::sleep(READ_INTERVAL).await;
    }
    None
}

/// Guards against callers who see their job as failed and are not told why, by its owner or by a successor.
#[test]
fn a_job_that_is_given_up_tells_its_caller_why() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(4);
        fleet
            .workers
            .set_crash_rule(|_| Some(Duration::from_millis(10)));
        let owner = fleet.daemon();
        submit(&owner.job_api, 1, &job(&[(1, &[])])).await;
        let reason = read_failure(&owner).await;
        let expected =
            "task 0000000000000001.0.0.0 was given up: 3 workers crashed while they executed it";
        assert_eq!(reason.as_deref(), Some(expected));
        owner.kill();
        let successor = fleet.daemon();
        assert_eq!(read_failure(&successor).await, reason);
    });
}
