//! Tests a planner that crashes at each of its calls, in a scenario of takeover, accept, commit,
//! start, renewal, eviction, resumption, move, cancellation, finish and acknowledgement.

use std::sync::Arc;

use jasminebend_base::DomainState;
use jasminebend_planner::{
    JobId,
    JobPhase, //
};
use tokio::time::sleep;

use crate::{
    crashing_ports::{
        CrashPoint,
        CrashingPorts, //
    },
    test_bed::{
        TestBed,
        batch_job,
        seconds,
        service_job, //
    },
};

const NO_CRASH: usize = usize::MAX;

/// Runs the scenario on a planner that crashes at the given call, then on its successor, and checks
/// the result. Returns the number of calls of the first planner.
async fn run_until_crash(crash_point: CrashPoint) -> usize {
    let bed = TestBed::new(3);
    let submitter = bed.start_planner(0).await;
    submitter.ownership.remove(crate::test_bed::PLANNED_SHARD);
    let job = submitter
        .handle
        .submit(batch_job(4, seconds(12)))
        .await
        .unwrap();
    let services = submitter.handle.submit(service_job(2)).await.unwrap();
    let to_cancel = batch_job(2, seconds(5_000));
    let to_cancel = submitter.handle.submit(to_cancel).await.unwrap();
    let ports = CrashingPorts::new(&bed.table, &bed.fleet, crash_point);
    let first = bed
        .start_planner_with(1, Arc::new(ports.clone()), Arc::new(ports.clone()))
        .await;
    sleep(seconds(6)).await;
    bed.set_domain("a", DomainState::Out);
    sleep(seconds(4)).await;
    submitter.handle.cancel(to_cancel).await.unwrap();
    sleep(seconds(16)).await;
    drop(first);
    let calls = ports.calls();
    bed.set_domain("a", DomainState::In);
    let second = bed.start_planner(2).await;
    let status = second.wait_until_ended(job, seconds(120)).await;
    assert_eq!(status.phase, JobPhase::Finished, "{crash_point:?}");
    assert!(
        status.results.iter().all(Option::is_some),
        "{crash_point:?}"
    );
    sleep(seconds(30)).await;
    assert_eq!(second.status(services).await.running, 2, "{crash_point:?}");
    assert_eq!(second.status(to_cancel).await.phase, JobPhase::Cancelled);
    check(&bed, job, crash_point);
    calls
}

fn check(bed: &TestBed, job: JobId, crash_point: CrashPoint) {
    let summary = bed.check();
    assert_eq!(summary.finishes, 4, "{job} {crash_point:?}: {summary:?}");
    assert_eq!(summary.repeated_resumes, 0, "{crash_point:?}: {summary:?}");
    assert_eq!(
        summary.starts_after_finish, 0,
        "{crash_point:?}: {summary:?}"
    );
    assert_eq!(bed.ledger.running().len(), 2, "{crash_point:?}");
}

// The planner crashes between any two of its calls. Its successor must neither lose nor repeat what
// the planner had committed but not started, started without learning of it, or learned of without
// committing it.
#[tokio::test(start_paused = true)]
async fn a_crash_at_any_call_repeats_and_loses_nothing() {
    let no_crash = CrashPoint {
        call: NO_CRASH,
        after_effect: false,
    };
    let calls = run_until_crash(no_crash).await;
    assert!(calls > 50, "the scenario has too few calls: {calls}");
    for call in 1..=calls {
        for after_effect in [false, true] {
            run_until_crash(CrashPoint { call, after_effect }).await;
        }
    }
}
