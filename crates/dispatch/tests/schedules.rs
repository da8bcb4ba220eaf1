//! Start of the occurrences of repeated jobs, and the end of such jobs.

mod common;

use common::{
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_dispatch::{
    JobGraph,
    JobOutcome,
    JobProgress,
    JobSchedule,
    StepSpec, //
};

fn repeated(steps: Vec<StepSpec>, first: u64, count: u32) -> JobGraph {
    JobGraph {
        schedule: Some(JobSchedule {
            first: ms(first),
            interval: ms(2000),
            count,
        }),
        ..graph(steps)
    }
}

fn gang(count: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(count, &[])
    }
}

/// Guards against reporting a repeated job as completed after its first occurrence: each member of
/// a gang reports the same completion, and each report was counted as a completed occurrence.
#[test]
fn repeated_gang_job_ends_after_its_last_occurrence() {
    let mut fleet = Fleet::new(3, 1);
    let job = fleet.submit(1, repeated(vec![gang(4)], 1500, 3));
    fleet.run_for(ms(2400));
    assert_eq!(fleet.begin_count(job), 4, "one occurrence");
    assert_eq!(fleet.progress(job), Some(JobProgress::Running));
    fleet.run_for(ms(5000));
    assert_eq!(fleet.begin_count(job), 12);
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}

/// Guards against the same double count by a successor, which reads from the record that the first
/// occurrence has ended, and receives the unacknowledged completion again from the worker.
#[test]
fn completion_reported_again_to_a_successor_is_no_further_occurrence() {
    let mut fleet = Fleet::new(2, 1);
    let job = fleet.submit(1, repeated(vec![step(1, &[])], 1100, 2));
    while fleet.records.is_empty() {
        fleet.run_for(ms(10));
    }
    let frozen = fleet.now + ms(60_000);
    fleet.owner().suspended_until = frozen;
    fleet.replace_owner();
    fleet.run_for(ms(500));
    assert_eq!(fleet.progress(job), Some(JobProgress::Running));
    fleet.run_for(ms(4000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.begin_count(job), 2);
}

/// Guards against occurrences that start before they are due, also when two of them overlap.
#[test]
fn occurrences_start_when_due_and_may_overlap() {
    let mut fleet = Fleet::new(3, 1).with_work(|_| jasminebend_standins::TaskWork {
        run_time: ms(3000),
        fails: false,
        size: jasminebend_base::ResourceAmount::new(1000, 100),
    });
    let job = fleet.submit(1, repeated(vec![step(2, &[])], 3000, 2));
    fleet.run_for(ms(1900));
    assert_eq!(fleet.begin_count(job), 0, "its time is at 3 s");
    assert_eq!(fleet.progress(job), Some(JobProgress::Queued));
    fleet.run_for(ms(1000));
    assert_eq!(fleet.begin_count(job), 2);
    fleet.run_for(ms(1500));
    assert_eq!(fleet.begin_count(job), 4, "the first has not ended");
    fleet.run_for(ms(5000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
}
