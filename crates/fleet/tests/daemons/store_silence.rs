//! Daemons while and after the store leaves calls unanswered. Time is simulated: it advances only while all tasks wait.

use std::{
    future::Future,
    net::TcpListener,
    time::Duration, //
};

use jasminebend_dispatch::JobProgress;
use jasminebend_fleet::{
    CallerAnswer,
    CallerVerb,
    JobRecord,
    StoreRow,
    StoreTable, //
};
use tokio::time;

use crate::test_fleet::{
    TestDaemon,
    TestFleet,
    count_waiting,
    job,
    run_simulated,
    send_request,
    submit, //
};

/// The time within which a change must be in force after its acknowledgement.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
/// The time within which a daemon must notice that the store is back.
const NOTICE_LIMIT: Duration = Duration::from_millis(500);
/// The longest time a caller may wait for an answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);
/// Longer than the longest interval between two watches of a daemon.
const WATCH_ROUND_MS: u64 = 3500;
const SILENCES_MS: [u64; 5] = [100, 1000, 2300, 5000, 7600];

/// Runs a test at each phase of a daemon's watches.
fn run_at_each_phase<Test, Running>(test: Test)
where
    Test: Fn(Duration) -> Running,
    Running: Future<Output = ()>,
{
    for phase in (0..WATCH_ROUND_MS).step_by(250) {
        run_simulated(test(Duration::from_millis(phase)));
    }
}

/// Returns a daemon whose owner is unreachable, so that only its watches call the store.
async fn daemon_with_unreachable_owner(phase: Duration) -> (TestFleet, TestDaemon) {
    let fleet = TestFleet::with_runtime_clock(0);
    fleet.set_unreachable_owner();
    let daemon = fleet.daemon();
    wait_until_configured(&daemon).await;
    time::sleep(phase).await;
    (fleet, daemon)
}

async fn wait_until_configured(daemon: &TestDaemon) {
    while !knows_queue(daemon, "queue").await {
        time::sleep(Duration::from_millis(50)).await;
    }
}

async fn knows_queue(daemon: &TestDaemon, queue: &str) -> bool {
    let answer = count_waiting(&daemon.job_api, &format!("/{queue}/")).await;
    // Without a configuration the answer for a queue that does not exist is a refusal.
    let configured = count_waiting(&daemon.job_api, "/nowhere/").await == CallerAnswer::NoQueue;
    configured && answer != CallerAnswer::NoQueue
}

/// Guards against a 404 for a route that was added as the store came back: the daemon waited for the timeout of a watch
/// that was sent while the store was silent.
#[test]
fn a_route_added_as_the_store_returns_is_in_force_in_time() {
    run_at_each_phase(|phase| async move {
        for silence in SILENCES_MS {
            let (fleet, daemon) = daemon_with_unreachable_owner(phase).await;
            daemon.store_client.go_silent();
            time::sleep(Duration::from_millis(silence)).await;
            daemon.store_client.answer_again();
            fleet.store.add_queue("added");
            time::sleep(IN_FORCE_LIMIT).await;
            let known = knows_queue(&daemon, "added").await;
            assert!(known, "silent for {silence} ms after {phase:?}");
            daemon.kill();
        }
    });
}

/// Guards against refusals, and answers by outdated routes, after the store is back: only long watches called it, so
/// that its return went unnoticed.
#[test]
fn a_daemon_without_traffic_notices_the_return_at_once() {
    run_at_each_phase(|phase| async move {
        let (fleet, daemon) = daemon_with_unreachable_owner(phase).await;
        daemon.store_client.go_silent();
        time::sleep(Duration::from_millis(7600)).await;
        daemon.store_client.answer_again();
        fleet.store.add_queue("added");
        time::sleep(NOTICE_LIMIT).await;
        let known = knows_queue(&daemon, "added").await;
        assert!(known, "silent after {phase:?}");
        let answer = send_request(&daemon.job_api, 1, CallerVerb::Submit(job(&[(1, &[])]))).await;
        assert_eq!(answer, CallerAnswer::Done, "silent after {phase:?}");
    });
}

/// Guards against callers that wait for the timeout of the store's calls, or until their own deadline.
#[test]
fn a_caller_is_answered_at_once_when_the_store_goes_silent() {
    run_at_each_phase(|phase| async move {
        let (_fleet, daemon) = daemon_with_unreachable_owner(phase).await;
        daemon.store_client.go_silent();
        for number in 1..=3 {
            let verb = CallerVerb::Submit(job(&[(1, &[])]));
            let answer =
                time::timeout(ANSWER_LIMIT, send_request(&daemon.job_api, number, verb)).await;
            let answer = answer.expect("the caller is answered in time");
            let expected = match number {
                1 => matches!(answer, CallerAnswer::Unknown),
                _ => matches!(answer, CallerAnswer::Refused(_)),
            };
            assert!(expected, "{answer:?} to {number} after {phase:?}");
        }
    });
}

/// Guards against callers that wait for the timeout of a write whose connection went silent, or whose answer was lost.
#[test]
fn a_caller_is_answered_at_once_when_the_connection_of_its_write_goes_silent() {
    run_at_each_phase(|phase| async move {
        let (fleet, daemon) = daemon_with_unreachable_owner(phase).await;
        let asked = async {
            let verb = CallerVerb::Submit(job(&[(1, &[])]));
            time::timeout(ANSWER_LIMIT, send_request(&daemon.job_api, 1, verb)).await
        };
        let lost = async {
            time::sleep(Duration::from_millis(1)).await;
            daemon.store_client.lose_connections();
        };
        let (answer, ()) = tokio::join!(asked, lost);
        assert_eq!(answer, Ok(CallerAnswer::Done), "lost after {phase:?}");
        // The first write was applied too; it is the same job.
        assert_eq!(fleet.store.count(StoreTable::Jobs), 2);
        let progress = send_request(&daemon.job_api, 1, CallerVerb::Read).await;
        assert_eq!(progress, CallerAnswer::Progress(JobProgress::Queued));
    });
}

/// Guards against a refused read and a late cancellation while the store is healthy: the connection on which a row was
/// read went silent.
#[test]
fn a_caller_is_answered_at_once_when_the_connection_of_its_read_goes_silent() {
    run_at_each_phase(|phase| async move {
        let (_fleet, daemon) = daemon_with_unreachable_owner(phase).await;
        submit(&daemon.job_api, 1, &job(&[(1, &[])])).await;
        let queued = CallerAnswer::Progress(JobProgress::Queued);
        for (verb, expected) in [
            (CallerVerb::Read, queued),
            (CallerVerb::Cancel, CallerAnswer::Done),
        ] {
            let asked = time::timeout(ANSWER_LIMIT, send_request(&daemon.job_api, 1, verb));
            let lost = async {
                time::sleep(Duration::from_millis(1)).await;
                daemon.store_client.lose_connections();
            };
            let (answer, ()) = tokio::join!(asked, lost);
            assert_eq!(answer, Ok(expected), "lost after {phase:?}");
        }
    });
}

/// Guards against refusals while the store answers: it takes 60 times its usual time, and writes wait for one another.
#[test]
fn a_slow_store_is_not_taken_for_silent() {
    run_at_each_phase(|phase| async move {
        let (_fleet, daemon) = daemon_with_unreachable_owner(phase).await;
        daemon
            .store_client
            .read_latency
            .set(Duration::from_millis(240));
        daemon
            .store_client
            .commit_latency
            .set(Duration::from_millis(720));
        for number in 1..=5 {
            let verb = CallerVerb::Submit(job(&[(1, &[])]));
            let answer = send_request(&daemon.job_api, number, verb).await;
            assert_eq!(answer, CallerAnswer::Done, "slow after {phase:?}");
        }
    });
}

/// Guards against a 404 for an added route while the store is healthy: the connection of the watch went silent for
/// good.
#[test]
fn a_route_is_in_force_in_time_after_open_connections_went_silent() {
    run_at_each_phase(|phase| async move {
        let (fleet, daemon) = daemon_with_unreachable_owner(phase).await;
        daemon.store_client.lose_connections();
        fleet.store.add_queue("added");
        time::sleep(IN_FORCE_LIMIT).await;
        assert!(knows_queue(&daemon, "added").await, "lost after {phase:?}");
    });
}

/// Guards against accepted jobs that are not started after an outage: the owner's watch of the jobs was sent while the
/// store was silent.
#[test]
fn a_job_accepted_elsewhere_as_the_store_returns_is_started_in_time() {
    run_at_each_phase(|phase| async move {
        let fleet = TestFleet::with_runtime_clock(1);
        let owner = fleet.daemon();
        wait_until_configured(&owner).await;
        time::sleep(phase).await;
        owner.store_client.go_silent();
        time::sleep(Duration::from_secs(5)).await;
        owner.store_client.answer_again();
        let record = JobRecord {
            queue: "queue".to_owned(),
            accepted_ms: 0,
            graph: job(&[(1, &[])]),
        };
        let value = postcard::to_stdvec(&record).expect("a record can be encoded");
        let row = StoreRow::new(StoreTable::Jobs, "j0", "0000000000000007", value);
        fleet.store.write(vec![row]);
        time::sleep(IN_FORCE_LIMIT).await;
        assert_eq!(fleet.workers.started_runs(), 1, "silent after {phase:?}");
    });
}

/// Guards against starts on a draining worker: the owner's watch of the registry was sent while the store was silent.
#[test]
fn a_worker_that_leaves_as_the_store_returns_gets_nothing_new() {
    run_at_each_phase(|phase| async move {
        let fleet = TestFleet::with_runtime_clock(1);
        let owner = fleet.daemon();
        wait_until_configured(&owner).await;
        submit(&owner.job_api, 1, &job(&[(2000, &[])])).await;
        time::sleep(phase).await;
        owner.store_client.go_silent();
        time::sleep(Duration::from_secs(5)).await;
        owner.store_client.answer_again();
        fleet.store.drain_workers();
        time::sleep(IN_FORCE_LIMIT).await;
        let begun = fleet.workers.started_runs();
        time::sleep(Duration::from_secs(2)).await;
        assert_eq!(
            fleet.workers.started_runs(),
            begun,
            "silent after {phase:?}"
        );
    });
}

/// Guards against jobs that no daemon runs: the write that made the only daemon the owner was applied but not answered.
#[test]
fn a_daemon_whose_claim_was_not_answered_becomes_the_owner() {
    run_at_each_phase(|_| async move {
        let fleet = TestFleet::with_runtime_clock(1);
        let daemon = fleet.daemon();
        while fleet.store.count(StoreTable::Fleet) == 0 {
            time::sleep(Duration::from_micros(100)).await;
        }
        time::sleep(Duration::from_millis(1)).await;
        daemon.store_client.lost_answers.set(1);
        while daemon.store_client.lost_answers.get() > 0 {
            time::sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(
            fleet.store.count(StoreTable::Fleet),
            2,
            "the claim was done"
        );
        submit(&daemon.job_api, 1, &job(&[(1, &[])])).await;
        time::sleep(Duration::from_secs(10)).await;
        assert_eq!(fleet.workers.started_runs(), 1);
    });
}

/// Guards against jobs that no daemon runs: each return of a store that goes silent again and again begins the judgement of
/// a silent owner anew.
#[test]
fn a_silent_owner_is_replaced_while_the_store_goes_silent_again_and_again() {
    for (silence_ms, service_ms) in [(700, 500), (1500, 1000), (2000, 1000)] {
        run_at_each_phase(|phase| async move {
            let fleet = TestFleet::with_runtime_clock(1);
            // This listener accepts connections and answers nothing.
            let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
            fleet.set_owner(silent.local_addr().expect("it is bound"), 1);
            let daemon = fleet.daemon();
            wait_until_configured(&daemon).await;
            // The owner is not silent for long enough yet.
            time::sleep(phase / 4).await;
            for _ in 0..20 {
                daemon.store_client.go_silent();
                time::sleep(Duration::from_millis(silence_ms)).await;
                daemon.store_client.answer_again();
                time::sleep(Duration::from_millis(service_ms)).await;
            }
            let token = fleet.store.owner().map(|owner| owner.token);
            assert!(token > Some(1), "silent for {silence_ms} ms");
        });
    }
}

/// Guards against a successor that never acts: its long read of the jobs was given up because later, shorter calls were
/// answered first.
#[test]
fn a_long_read_of_jobs_is_waited_for_while_other_calls_are_short() {
    run_at_each_phase(|phase| async move {
        let fleet = TestFleet::with_runtime_clock(1);
        let daemon = fleet.daemon();
        daemon
            .store_client
            .job_read_latency
            .set(Duration::from_millis(900));
        wait_until_configured(&daemon).await;
        time::sleep(phase).await;
        submit(&daemon.job_api, 1, &job(&[(1, &[])])).await;
        time::sleep(Duration::from_secs(10)).await;
        assert_eq!(fleet.workers.started_runs(), 1, "after {phase:?}");
    });
}
