//! When the occurrences of a repeated job run, and when the job is over.

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

/// A caller's nightly job is shown as completed after its first night. Each member of a gang tells of the
/// same end; the owner took every one of them for an occurrence that had ended.
#[test]
fn a_repeated_job_of_gangs_is_over_after_its_last_occurrence() {
    let mut fleet = Fleet::new(3, 1);
    let job = fleet.submit(1, repeated(vec![gang(4)], 1500, 3));
    fleet.run_for(ms(2400));
    assert_eq!(fleet.begins(job), 4, "one occurrence");
    assert_eq!(fleet.progress(job), Some(JobProgress::Running));
    fleet.run_for(ms(5000));
    assert_eq!(fleet.begins(job), 12);
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.check(), Vec::<String>::new());
}

/// The same, by a successor: it reads that the first occurrence has ended, and hears of that end again from a
/// worker whose list was not acknowledged.
#[test]
fn an_end_that_a_successor_hears_again_is_no_further_occurrence() {
    let mut fleet = Fleet::new(2, 1);
    let job = fleet.submit(1, repeated(vec![step(1, &[])], 1100, 2));
    while fleet.records.is_empty() {
        fleet.run_for(ms(10));
    }
    let frozen = fleet.now + ms(60_000);
    fleet.owner().frozen_until = frozen;
    fleet.replace_owner();
    fleet.run_for(ms(500));
    assert_eq!(fleet.progress(job), Some(JobProgress::Running));
    fleet.run_for(ms(4000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
    assert_eq!(fleet.begins(job), 2);
}

/// Nothing starts before its time, also where two occurrences overlap.
#[test]
fn occurrences_start_at_their_times_and_may_overlap() {
    let mut fleet = Fleet::new(3, 1).with_work(|_| jasminebend_standins::TaskWork {
        lasts: ms(3000),
        fails: false,
        size: jasminebend_base::ResourceAmount::new(1000, 100),
    });
    let job = fleet.submit(1, repeated(vec![step(2, &[])], 3000, 2));
    fleet.run_for(ms(1900));
    assert_eq!(fleet.begins(job), 0, "its time is at 3 s");
    assert_eq!(fleet.progress(job), Some(JobProgress::Queued));
    fleet.run_for(ms(1000));
    assert_eq!(fleet.begins(job), 2);
    fleet.run_for(ms(1500));
    assert_eq!(fleet.begins(job), 4, "the first has not ended");
    fleet.run_for(ms(5000));
    assert_eq!(
        fleet.progress(job),
        Some(JobProgress::Ended(JobOutcome::Completed))
    );
}
