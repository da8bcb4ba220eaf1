//! Validation of job graphs, and the text form of job and task keys.

mod common;

use std::time::Duration;

use common::{
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_dispatch::{
    GraphError,
    JobGraph,
    JobKey,
    JobOutcome,
    JobProgress,
    StepSpec,
    TaskKey, //
};

#[test]
fn valid_graph_is_accepted() {
    let job = graph(vec![step(3, &[]), step(1, &[0]), step(2, &[0, 1])]);
    assert_eq!(job.validate(), Ok(()));
    assert_eq!(job.task_count(), 6);
}

#[test]
fn invalid_graph_is_rejected_with_its_reason() {
    let cases = [
        (graph(vec![]), GraphError::Steps { count: 0 }),
        (graph(vec![step(0, &[])]), GraphError::NoTasks { step: 0 }),
        (
            graph(vec![step(1, &[4])]),
            GraphError::UnknownStep { step: 0, before: 4 },
        ),
        (graph(vec![step(1, &[0])]), GraphError::Cycle),
        (graph(vec![step(1, &[1]), step(1, &[0])]), GraphError::Cycle),
        (
            graph(vec![step(u32::MAX, &[]), step(1, &[])]),
            GraphError::Tasks {
                count: u64::from(u32::MAX) + 1,
            },
        ),
        (
            JobGraph {
                payload: "x".repeat(4001).into(),
                ..graph(vec![step(1, &[])])
            },
            GraphError::Payload { bytes: 4001 },
        ),
    ];
    for (job, error) in cases {
        assert_eq!(job.validate(), Err(error), "{error}");
    }
}

#[test]
fn remaining_chain_is_the_longest_path_to_an_end() {
    let mut job = graph(vec![
        step(1, &[]),
        step(1, &[0]),
        step(1, &[0]),
        step(1, &[1, 2]),
    ]);
    job.steps[2].estimate = ms(2000);
    assert_eq!(
        job.remaining_chains(),
        [ms(3000), ms(1000), ms(2500), ms(500)]
    );
}

#[test]
fn keys_round_trip_through_their_text_form() {
    let key: JobKey = "5c0e7a21d94b36f8".parse().unwrap();
    assert_eq!(key.to_string(), "5c0e7a21d94b36f8");
    let task: TaskKey = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
    assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
    for wrong in [
        "",
        "5C0E7A21D94B36F8",
        "5c0e7a21d94b36f",
        "5c0e7a21d94b36f8a",
        "é",
    ] {
        assert!(wrong.parse::<JobKey>().is_err(), "{wrong:?}");
    }
    for wrong in [
        "5c0e7a21d94b36f8",
        "5c0e7a21d94b36f8.0.1",
        "5c0e7a21d94b36f8.0.1.2.3",
    ] {
        assert!(wrong.parse::<TaskKey>().is_err(), "{wrong:?}");
    }
}

/// Guards against a job that ends each owner that reads it: the sum of its estimates is longer than a time can be.
#[test]
fn huge_estimates_are_rejected_and_end_no_owner() {
    let huge = |dependencies: &[u16]| StepSpec {
        estimate: Duration::from_secs(12_000_000_000_000_000_000),
        ..step(1, dependencies)
    };
    let job = graph(vec![huge(&[]), huge(&[0])]);
    assert_eq!(job.validate(), Err(GraphError::Estimate { step: 0 }));
    let mut fleet = Fleet::new(1, 1);
    let key = fleet.submit(1, job);
    fleet.run_for(ms(3000));
    assert_eq!(
        fleet.progress(key),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
}
