//! Owners whose machine is suspended. Time is simulated: it advances only while all tasks wait.

use std::time::Duration;

use jasminebend_dispatch::{
    JobOutcome,
    JobProgress, //
};
use jasminebend_fleet::{
    CallerAnswer,
    CallerVerb,
    TOKENS_PER_TERM, //
};
use tokio::time;

use crate::test_fleet::{
    TestFleet,
    count_waiting,
    job,
    run_simulated,
    send_request,
    submit, //
};

/// A worker that the successor of the suspended owner does not reach.
const OUT_OF_REACH: &str = "worker-0";
/// The workers that follow the successor.
const FOLLOWERS: [&str; 2] = ["worker-1", "worker-2"];
const STARTED_AFTER: Duration = Duration::from_secs(2);
/// Longer than a successor waits before it gives up a worker that it can't reach.
const SUSPENDED_FOR: Duration = Duration::from_secs(9);
const OBSERVED_FOR: Duration = Duration::from_secs(5);

/// Guards against a task that runs twice: the owner's steady clock had stopped while its machine was suspended, so that it took its
/// last confirmation for recent, and started tasks again that its successor had started.
#[test]
fn an_owner_does_not_act_on_a_confirmation_from_before_its_suspension() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(3);
        fleet.workers.run_time.set(Duration::from_secs(60));
        let (owner, machine) = fleet.suspendable_daemon();
        submit(&owner.job_api, 1, &job(&[(9, &[])])).await;
        time::sleep(STARTED_AFTER).await;
        assert_eq!(fleet.workers.running_tasks().len(), 9);
        for worker in FOLLOWERS {
            fleet.workers.cut_off(worker, TOKENS_PER_TERM);
        }
        owner.store_client.refuses_calls.set(true);
        machine.suspend_for(SUSPENDED_FOR).await;
        // The successor's orders are left out: any start now is one too many.
        assert_eq!(fleet.workers.started_runs(), 9);
        time::sleep(OBSERVED_FOR).await;
        assert_eq!(fleet.workers.started_runs(), 9);
        assert!(fleet.workers.is_idle(OUT_OF_REACH));
    });
}

/// Guards against a number of waiting jobs that is older than callers were promised: a suspended owner told it as it resumed, before
/// it knew of its successor.
#[test]
fn a_replaced_owner_tells_no_number_from_before_its_suspension() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(0);
        let (owner, machine) = fleet.suspendable_daemon();
        submit(&owner.job_api, 1, &job(&[(1, &[])])).await;
        time::sleep(STARTED_AFTER).await;
        let counted = count_waiting(&owner.job_api, "/queue/").await;
        assert_eq!(counted, CallerAnswer::Waiting(1));
        let successor = fleet.daemon();
        let submitted = async {
            time::sleep(SUSPENDED_FOR / 2).await;
            for number in 2..10 {
                submit(&successor.job_api, number, &job(&[(1, &[])])).await;
            }
        };
        tokio::join!(machine.suspend_for(SUSPENDED_FOR), submitted);
        let counted = count_waiting(&owner.job_api, "/queue/").await;
        assert_ne!(counted, CallerAnswer::Waiting(1));
        time::sleep(STARTED_AFTER).await;
        for daemon in [&owner, &successor] {
            let counted = count_waiting(&daemon.job_api, "/queue/").await;
            assert_eq!(counted, CallerAnswer::Waiting(9));
        }
    });
}

/// Guards against a job that is shown as running after it was shown as completed: a suspended owner told its state as it resumed,
/// before it knew of its successor.
#[test]
fn a_replaced_owner_tells_no_state_from_before_its_suspension() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        fleet.workers.run_time.set(STARTED_AFTER * 2);
        let (owner, machine) = fleet.suspendable_daemon();
        submit(&owner.job_api, 1, &job(&[(1, &[])])).await;
        time::sleep(STARTED_AFTER).await;
        let successor = fleet.daemon();
        machine.suspend_for(SUSPENDED_FOR).await;
        let completed = CallerAnswer::Progress(JobProgress::Ended(JobOutcome::Completed));
        let told = send_request(&owner.job_api, 1, CallerVerb::Read).await;
        assert_eq!(told, completed);
        let told = send_request(&successor.job_api, 1, CallerVerb::Read).await;
        assert_eq!(told, completed);
    });
}
