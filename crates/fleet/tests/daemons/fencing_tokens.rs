//! Fencing tokens of terms and of workers' incarnations. Time is simulated: it advances only while all tasks wait.

use std::time::Duration;

use jasminebend_dispatch::{
    JobOutcome,
    JobProgress,
    LeaseRenewal, //
};
use jasminebend_fleet::TOKENS_PER_TERM;
use tokio::time;

use crate::test_fleet::{
    TestFleet,
    job,
    run_simulated,
    submit,
    wait_for_progress, //
};

const WORKER: &str = "worker-0";
const COMPLETED: JobProgress = JobProgress::Ended(JobOutcome::Completed);
/// How long an order is under way. It is longer than the longest renewal, so that a worker that restarts meanwhile has answered two.
const ORDER_LATENCY: Duration = Duration::from_secs(3);
/// When the worker restarts, after the job was submitted.
const RESTARTED_AFTER: Duration = Duration::from_millis(100);
const READ_ONLY: LeaseRenewal = LeaseRenewal {
    deadline: None,
    acknowledged: 0,
    max_wait: Duration::ZERO,
};

fn owner_token(fleet: &TestFleet) -> Option<u64> {
    fleet.store.owner().map(|owner| owner.token)
}

/// Guards against an owner that takes the refusal of its own start, sent before the worker restarted, for the sign of a successor.
#[test]
fn an_owner_goes_on_after_its_start_for_a_former_incarnation_is_refused() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let owner = fleet.daemon();
        submit(&owner.job_api, 1, &job(&[(1, &[])])).await;
        wait_for_progress(&owner.job_api, 1, COMPLETED).await;
        fleet.workers.order_latency.set(ORDER_LATENCY);
        submit(&owner.job_api, 2, &job(&[(1, &[])])).await;
        time::sleep(RESTARTED_AFTER).await;
        fleet
            .workers
            .with_worker(WORKER, |worker, now| worker.restart(now));
        time::sleep(ORDER_LATENCY).await;
        assert_eq!(fleet.workers.started_runs(), 1, "the start was refused");
        wait_for_progress(&owner.job_api, 2, COMPLETED).await;
        assert_eq!(owner_token(&fleet), Some(TOKENS_PER_TERM));
    });
}

/// Guards against calls of a former owner that a worker carries out while daemons of an earlier version, which claim the next token,
/// and of this one take turns.
#[test]
fn owners_of_two_versions_refuse_each_others_late_calls() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let first = fleet.daemon();
        submit(&first.job_api, 1, &job(&[(1, &[])])).await;
        wait_for_progress(&first.job_api, 1, COMPLETED).await;
        assert_eq!(owner_token(&fleet), Some(TOKENS_PER_TERM));
        first.kill();
        let earlier_version = TOKENS_PER_TERM + 1;
        fleet.workers.renew(WORKER, earlier_version);
        let is_refused = |token| {
            let answer = fleet.workers.with_worker(WORKER, |worker, now| {
                worker.renew_lease(now, token, READ_ONLY).is_err()
            });
            answer == Some(true)
        };
        assert!(is_refused(TOKENS_PER_TERM));
        fleet.set_vacant_owner(earlier_version);
        let successor = fleet.daemon();
        submit(&successor.job_api, 2, &job(&[(1, &[])])).await;
        wait_for_progress(&successor.job_api, 2, COMPLETED).await;
        assert_eq!(owner_token(&fleet), Some(earlier_version + TOKENS_PER_TERM));
        assert!(is_refused(earlier_version));
    });
}
