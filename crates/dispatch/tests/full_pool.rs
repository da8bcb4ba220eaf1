//! Load that fills a pool: long-running jobs come and stay, short work comes all the while.

mod common;

use std::time::Duration;

use common::{
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    Admission,
    JobGraph,
    JobKey,
    JobOutcome,
    JobProgress,
    StepSpec,
    TaskKey, //
};
use jasminebend_standins::TaskWork;

/// Keys from here on are long-running jobs'.
const FIRST_LONG_RUNNING: u64 = 10_000;
/// How often a short job of four cores for half a second comes: four cores on average.
const SHORT_EVERY: Duration = Duration::from_millis(500);

fn long_running(count: u32) -> JobGraph {
    graph(vec![StepSpec {
        lasting: true,
        ..step(count, &[])
    }])
}

fn short() -> JobGraph {
    graph(vec![step(4, &[])])
}

fn work(task: TaskKey) -> TaskWork {
    let lasts = task.job() >= JobKey::new(FIRST_LONG_RUNNING);
    TaskWork {
        lasts: ms(if lasts { 90_000 } else { 500 }),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

fn admit(fleet: &mut Fleet, number: u64, graph: &JobGraph) -> Admission {
    let now = fleet.now;
    let dispatcher = &mut fleet.owner().dispatcher;
    dispatcher.admit(JobKey::new(number), "queue", graph, now)
}

/// Has a long-running job ask for room, and submits it if there is.
fn offer(fleet: &mut Fleet, number: u64, graph: JobGraph) -> bool {
    let granted = admit(fleet, number, &graph) == Admission::Granted;
    if granted {
        fleet.submit(number, graph);
    }
    granted
}

/// A fleet of 40 cores without work.
fn idle_fleet() -> Fleet {
    let mut fleet = Fleet::new(10, 1).with_work(work);
    fleet.run_for(ms(100));
    fleet
}

/// A fleet of 40 cores that has served short jobs for ten seconds.
fn busy_fleet() -> (Fleet, Vec<JobKey>) {
    let mut fleet = idle_fleet();
    let jobs = serve_short(&mut fleet, 1, 20);
    (fleet, jobs)
}

fn serve_short(fleet: &mut Fleet, first: u64, count: u64) -> Vec<JobKey> {
    let jobs = (first..first + count).map(|number| {
        let job = fleet.submit(number, short());
        fleet.run_for(SHORT_EVERY);
        job
    });
    jobs.collect()
}

fn completed(fleet: &mut Fleet, jobs: &[JobKey]) -> usize {
    let completed = JobProgress::Ended(JobOutcome::Completed);
    let done = jobs
        .iter()
        .filter(|job| fleet.progress(**job) == Some(completed));
    done.count()
}

/// Guards against short work that starves behind long-running jobs that came first.
#[test]
fn short_work_finds_room_however_many_long_running_jobs_come() {
    let (mut fleet, _) = busy_fleet();
    let mut jobs = Vec::new();
    for number in 0..30 {
        offer(&mut fleet, FIRST_LONG_RUNNING + number, long_running(3));
        jobs.extend(serve_short(&mut fleet, 1000 + number, 1));
    }
    fleet.run_for(ms(1500));
    assert_eq!(completed(&mut fleet, &jobs), jobs.len());
}

/// Guards against room that is kept for nobody.
#[test]
fn without_short_work_long_running_jobs_get_the_whole_pool() {
    let mut fleet = idle_fleet();
    let granted = (0..15).filter(|number| {
        let granted = offer(&mut fleet, FIRST_LONG_RUNNING + number, long_running(4));
        fleet.run_for(ms(100));
        granted
    });
    assert_eq!(granted.count(), 10);
}

/// Guards against room that is kept for short work that has not come for minutes.
#[test]
fn room_that_short_work_needs_no_more_is_given_away() {
    let (mut fleet, _) = busy_fleet();
    let wide = long_running(36);
    assert_ne!(
        admit(&mut fleet, FIRST_LONG_RUNNING, &wide),
        Admission::Granted
    );
    fleet.run_for(Duration::from_secs(300));
    assert_eq!(
        admit(&mut fleet, FIRST_LONG_RUNNING, &wide),
        Admission::Granted
    );
}

/// Guards against two jobs that are granted the same room before either is on record.
#[test]
fn jobs_that_ask_at_once_are_not_granted_the_same_room() {
    let mut fleet = idle_fleet();
    let graph = long_running(30);
    assert_eq!(
        admit(&mut fleet, FIRST_LONG_RUNNING, &graph),
        Admission::Granted
    );
    assert_ne!(
        admit(&mut fleet, FIRST_LONG_RUNNING + 1, &graph),
        Admission::Granted
    );
    // A caller that asks again is not refused what it was granted.
    assert_eq!(
        admit(&mut fleet, FIRST_LONG_RUNNING, &graph),
        Admission::Granted
    );
}

/// Guards against a grant without a job that keeps its room for good.
#[test]
fn a_grant_whose_job_never_came_lapses() {
    let mut fleet = idle_fleet();
    let graph = long_running(30);
    assert_eq!(
        admit(&mut fleet, FIRST_LONG_RUNNING, &graph),
        Admission::Granted
    );
    fleet.run_for(Duration::from_secs(11));
    assert_eq!(
        admit(&mut fleet, FIRST_LONG_RUNNING + 1, &graph),
        Admission::Granted
    );
}

/// Guards against refusing a caller whose earlier try is on record.
#[test]
fn a_job_on_record_is_never_refused() {
    let (mut fleet, _) = busy_fleet();
    let graph = long_running(300);
    fleet.submit(FIRST_LONG_RUNNING, graph.clone());
    assert_eq!(
        admit(&mut fleet, FIRST_LONG_RUNNING, &graph),
        Admission::Granted
    );
}

/// Guards against a successor that refuses what its predecessor granted a moment ago.
#[test]
fn a_successor_refuses_nothing_that_may_be_on_its_way_to_the_record() {
    let (mut fleet, _) = busy_fleet();
    let graph = long_running(300);
    fleet.replace_owner();
    fleet.run_for(ms(1000));
    assert_eq!(
        admit(&mut fleet, FIRST_LONG_RUNNING, &graph),
        Admission::Granted
    );
    fleet.run_for(Duration::from_secs(12));
    assert_ne!(
        admit(&mut fleet, FIRST_LONG_RUNNING + 1, &graph),
        Admission::Granted
    );
}

/// Guards against a time to come back that no room will be there for.
#[test]
fn a_refused_caller_is_told_when_long_running_jobs_should_have_made_room() {
    let mut fleet = idle_fleet();
    for number in 0..10 {
        assert!(offer(
            &mut fleet,
            FIRST_LONG_RUNNING + number,
            long_running(4)
        ));
        fleet.run_for(ms(100));
    }
    // Four cores become free every five seconds, and are taken again.
    for number in 0..8 {
        fleet.run_for(ms(5000));
        fleet.cancel(JobKey::new(FIRST_LONG_RUNNING + number));
        fleet.run_for(ms(1500));
        assert!(offer(
            &mut fleet,
            FIRST_LONG_RUNNING + 10 + number,
            long_running(4)
        ));
    }
    fleet.run_for(ms(500));
    let refused = admit(&mut fleet, FIRST_LONG_RUNNING + 99, &long_running(8));
    let Admission::Refused(shortage) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!((shortage.demand, shortage.room), (8000, 0));
    let back = shortage.back.as_secs_f64();
    assert!((6.0..20.0).contains(&back), "{shortage:?}");
}

/// Guards against long-running jobs that are refused for a short job that can never run.
#[test]
fn short_jobs_that_no_worker_can_hold_keep_no_room() {
    let (mut fleet, _) = busy_fleet();
    let graph = long_running(20);
    fleet.submit(
        2000,
        common::graph(vec![StepSpec {
            size: ResourceAmount::new(u64::MAX, 100),
            ..step(20_000, &[])
        }]),
    );
    assert_eq!(
        admit(&mut fleet, FIRST_LONG_RUNNING, &graph),
        Admission::Granted
    );
}

/// Guards against an owner that ends, or that takes everything in, by a job of senseless size.
#[test]
fn jobs_of_senseless_size_cost_others_nothing() {
    let (mut fleet, _) = busy_fleet();
    let huge = |lasting| {
        graph(vec![StepSpec {
            size: ResourceAmount::new(u64::MAX, 100),
            lasting,
            ..step(20_000, &[])
        }])
    };
    assert_ne!(
        admit(&mut fleet, FIRST_LONG_RUNNING, &huge(true)),
        Admission::Granted
    );
    fleet.submit(FIRST_LONG_RUNNING + 1, huge(true));
    fleet.submit(2000, huge(false));
    let jobs = serve_short(&mut fleet, 1000, 10);
    fleet.run_for(ms(1500));
    let now = fleet.now;
    assert_eq!(
        fleet.owner().dispatcher.pool_use(now)[0]
            .long_running
            .wanted,
        u64::MAX
    );
    assert_eq!(completed(&mut fleet, &jobs), jobs.len());
}
