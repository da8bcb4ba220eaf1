//! A planner that dies at each of its steps: take-over, accept, commit, start, renew, evict, resume,
//! move, cancel, finish and acknowledge.

use std::sync::Arc;

use jasminebend_base::DomainState;
use jasminebend_planner::{
    JobId,
    JobPhase, //
};
use tokio::time::sleep;

use crate::{
    severed_edges::{
        DeathPoint,
        SeveredEdges, //
    },
    test_bed::{
        TestBed,
        batch,
        seconds,
        service, //
    },
};

const NEVER: usize = usize::MAX;

/// Lets a planner start, evict, resume and finish tasks until it dies; then a successor goes on.
async fn live_and_die(death: DeathPoint) -> usize {
    let bed = TestBed::new(3);
    let submitter = bed.planner(0).await;
    submitter.ownership.lose(crate::test_bed::SHARD);
    let job = submitter
        .handle
        .submit(batch(4, seconds(12)))
        .await
        .unwrap();
    let services = submitter.handle.submit(service(2)).await.unwrap();
    let doomed = batch(2, seconds(5_000));
    let doomed = submitter.handle.submit(doomed).await.unwrap();
    let edges = SeveredEdges::new(&bed.table, &bed.fleet, death);
    let first = bed
        .planner_with(1, Arc::new(edges.clone()), Arc::new(edges.clone()))
        .await;
    sleep(seconds(6)).await;
    bed.set_domain("a", DomainState::Out);
    sleep(seconds(4)).await;
    submitter.handle.cancel(doomed).await.unwrap();
    sleep(seconds(16)).await;
    drop(first);
    let calls = edges.calls();
    bed.set_domain("a", DomainState::In);
    let second = bed.planner(2).await;
    let status = second.ended(job, seconds(120)).await;
    assert_eq!(status.phase, JobPhase::Finished, "{death:?}");
    assert!(status.results.iter().all(Option::is_some), "{death:?}");
    sleep(seconds(30)).await;
    assert_eq!(second.status(services).await.running, 2, "{death:?}");
    assert_eq!(second.status(doomed).await.phase, JobPhase::Cancelled);
    check(&bed, job, death);
    calls
}

fn check(bed: &TestBed, job: JobId, death: DeathPoint) {
    let summary = bed.check();
    assert_eq!(summary.finishes, 4, "{job} {death:?}: {summary:?}");
    assert_eq!(summary.repeated_resumes, 0, "{death:?}: {summary:?}");
    assert_eq!(summary.starts_after_finish, 0, "{death:?}: {summary:?}");
    assert_eq!(bed.ledger.running().len(), 2, "{death:?}");
}

// A customer sees a booking reconciled twice, or never. The planner dies between any two of its
// steps; what it had committed but not started, started but not heard of, or heard of but not
// committed, is started again elsewhere or forgotten by its successor.
#[tokio::test(start_paused = true)]
async fn a_death_at_any_step_doubles_and_loses_nothing() {
    let unharmed = DeathPoint {
        call: NEVER,
        after_effect: false,
    };
    let calls = live_and_die(unharmed).await;
    assert!(calls > 50, "the scenario has steps to die at: {calls}");
    for call in 1..=calls {
        for after_effect in [false, true] {
            live_and_die(DeathPoint { call, after_effect }).await;
        }
    }
}
