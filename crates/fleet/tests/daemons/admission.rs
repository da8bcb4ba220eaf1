//! Admission control of long-running jobs, which would take the capacity for short work, at any daemon.

use std::time::Duration;

use jasminebend_dispatch::{
    JobGraph,
    JobKey,
    StepSpec, //
};
use jasminebend_fleet::{
    CallerAnswer,
    CallerVerb,
    JobRecord,
    StoreRow,
    StoreTable, //
};
use tokio::time;

use crate::test_fleet::{
    TestFleet,
    job,
    run_simulated,
    send_request,
    submit, //
};

/// The longest time a caller may wait for the answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

fn long_running(count: u32) -> JobGraph {
    let graph = job(&[(count, &[])]);
    let steps = graph.steps.into_iter().map(|step| StepSpec {
        long_running: true,
        ..step
    });
    JobGraph {
        steps: steps.collect(),
        ..graph
    }
}

async fn submit_to_two_daemons(
    fleet: &TestFleet,
    number: u64,
    graph: &JobGraph,
) -> [CallerAnswer; 2] {
    let (first, second) = (fleet.daemon(), fleet.daemon());
    time::sleep(Duration::from_secs(3)).await;
    [
        send_request(&first.job_api, number, CallerVerb::Submit(graph.clone())).await,
        send_request(&second.job_api, number, CallerVerb::Submit(graph.clone())).await,
    ]
}

/// Guards against a refused job that is recorded, and against different decisions at different daemons.
#[test]
fn a_job_without_free_capacity_is_refused_at_every_daemon_and_not_recorded() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let answers = submit_to_two_daemons(&fleet, 1, &long_running(20)).await;
        for answer in answers {
            assert!(matches!(answer, CallerAnswer::Refused(_)), "{answer:?}");
        }
        assert_eq!(fleet.store.count(StoreTable::Jobs), 0);
    });
}

#[test]
fn a_job_with_free_capacity_is_admitted_at_every_daemon() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let answers = submit_to_two_daemons(&fleet, 1, &long_running(6)).await;
        assert_eq!(answers, [CallerAnswer::Done, CallerAnswer::Done]);
    });
}

/// Guards against a refusal of a job that an earlier attempt recorded and the owner has not read yet.
#[test]
fn a_job_on_record_is_not_refused() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let daemon = fleet.daemon();
        time::sleep(Duration::from_secs(3)).await;
        let graph = long_running(20);
        let record = JobRecord {
            queue: "queue".to_owned(),
            accepted_ms: 0,
            graph: graph.clone(),
        };
        let key = JobKey::new(1);
        let value = postcard::to_stdvec(&record).unwrap();
        let part = format!("j{}", key.partition(16));
        let row = StoreRow::new(StoreTable::Jobs, &part, key.to_string(), value);
        fleet.store.write(vec![row]);
        let answer = send_request(&daemon.job_api, 1, CallerVerb::Submit(graph)).await;
        assert_eq!(answer, CallerAnswer::Done);
    });
}

/// Guards against callers that wait for an owner that does not answer.
#[test]
fn without_an_answer_from_the_owner_a_job_is_admitted() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        fleet.set_unreachable_owner();
        let daemon = fleet.daemon();
        time::sleep(Duration::from_secs(3)).await;
        let begun = time::Instant::now();
        let answer = send_request(&daemon.job_api, 1, CallerVerb::Submit(long_running(20))).await;
        assert_eq!(answer, CallerAnswer::Done);
        assert!(begun.elapsed() < ANSWER_LIMIT, "{:?}", begun.elapsed());
    });
}

/// Guards against a successor that grants long-running jobs the capacity that short work needs, because it saw no short
/// jobs arrive itself.
#[test]
fn a_successor_learns_the_demand_of_short_work_from_the_records() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let daemon = fleet.daemon();
        for number in 10..40 {
            submit(&daemon.job_api, number, &job(&[(4, &[])])).await;
            time::sleep(Duration::from_millis(150)).await;
        }
        daemon.kill();
        let next = fleet.daemon();
        time::sleep(Duration::from_secs(6)).await;
        let answer = send_request(&next.job_api, 1, CallerVerb::Submit(long_running(8))).await;
        assert!(matches!(answer, CallerAnswer::Refused(_)), "{answer:?}");
    });
}
