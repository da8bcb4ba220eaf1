//! Admission of long-running jobs to a pool that short jobs use as well.

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

/// The lowest key of a long-running job.
const FIRST_LONG_RUNNING_KEY: u64 = 10_000;
/// The interval at which a short job of four cores for half a second arrives: four cores on
/// average.
const SHORT_JOB_INTERVAL: Duration = Duration::from_millis(500);

fn long_running_job(count: u32) -> JobGraph {
    graph(vec![StepSpec {
        long_running: true,
        ..step(count, &[])
    }])
}

fn short_job() -> JobGraph {
    graph(vec![step(4, &[])])
}

/// Returns work of 90 s for long-running jobs and of 0.5 s for short ones.
fn job_work(task: TaskKey) -> TaskWork {
    let lasts = task.job() >= JobKey::new(FIRST_LONG_RUNNING_KEY);
    TaskWork {
        run_time: ms(if lasts { 90_000 } else { 500 }),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Requests admission of a job from the current owner.
fn request_admission(fleet: &mut Fleet, number: u64, graph: &JobGraph) -> Admission {
    let now = fleet.now;
    let dispatcher = &mut fleet.owner().dispatcher;
    dispatcher.admit(JobKey::new(number), "queue", graph, now)
}

/// Requests admission of a long-running job and submits it if granted; returns whether it was.
fn submit_if_admitted(fleet: &mut Fleet, number: u64, graph: JobGraph) -> bool {
    let granted = request_admission(fleet, number, &graph) == Admission::Granted;
    if granted {
        fleet.submit(number, graph);
    }
    granted
}

/// Returns a fleet of 40 cores without jobs.
fn idle_fleet() -> Fleet {
    let mut fleet = Fleet::new(10, 1).with_work(job_work);
    fleet.run_for(ms(100));
    fleet
}

/// Returns a fleet of 40 cores that has run short jobs for ten seconds, and these jobs.
fn busy_fleet() -> (Fleet, Vec<JobKey>) {
    let mut fleet = idle_fleet();
    let jobs = run_short_jobs(&mut fleet, 1, 20);
    (fleet, jobs)
}

/// Submits `count` short jobs at the usual interval and returns them.
fn run_short_jobs(fleet: &mut Fleet, first: u64, count: u64) -> Vec<JobKey> {
    let jobs = (first..first + count).map(|number| {
        let job = fleet.submit(number, short_job());
        fleet.run_for(SHORT_JOB_INTERVAL);
        job
    });
    jobs.collect()
}

/// Returns how many of the jobs have completed.
fn completed_count(fleet: &mut Fleet, jobs: &[JobKey]) -> usize {
    let completed = JobProgress::Ended(JobOutcome::Completed);
    let done = jobs
        .iter()
        .filter(|job| fleet.progress(**job) == Some(completed));
    done.count()
}

/// Guards against short jobs that starve behind long-running jobs that came first.
#[test]
fn short_jobs_complete_however_many_long_running_jobs_arrive() {
    let (mut fleet, _) = busy_fleet();
    let mut jobs = Vec::new();
    for number in 0..30 {
        submit_if_admitted(
            &mut fleet,
            FIRST_LONG_RUNNING_KEY + number,
            long_running_job(3),
        );
        jobs.extend(run_short_jobs(&mut fleet, 1000 + number, 1));
    }
    fleet.run_for(ms(1500));
    assert_eq!(completed_count(&mut fleet, &jobs), jobs.len());
}

/// Guards against keeping capacity free for short jobs that never came.
#[test]
fn long_running_jobs_get_the_whole_pool_without_short_jobs() {
    let mut fleet = idle_fleet();
    let granted = (0..15).filter(|number| {
        let granted = submit_if_admitted(
            &mut fleet,
            FIRST_LONG_RUNNING_KEY + number,
            long_running_job(4),
        );
        fleet.run_for(ms(100));
        granted
    });
    assert_eq!(granted.count(), 10);
}

/// Guards against keeping capacity free for short jobs that have not come for minutes.
#[test]
fn capacity_that_short_jobs_no_longer_need_is_granted() {
    let (mut fleet, _) = busy_fleet();
    let wide = long_running_job(36);
    assert_ne!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY, &wide),
        Admission::Granted
    );
    fleet.run_for(Duration::from_secs(300));
    assert_eq!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY, &wide),
        Admission::Granted
    );
}

/// Guards against granting the same capacity to two jobs before either is on record.
#[test]
fn concurrent_requests_are_not_granted_the_same_capacity() {
    let mut fleet = idle_fleet();
    let graph = long_running_job(30);
    assert_eq!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY, &graph),
        Admission::Granted
    );
    assert_ne!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY + 1, &graph),
        Admission::Granted
    );
    // A caller that repeats its request receives the same grant.
    assert_eq!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY, &graph),
        Admission::Granted
    );
}

/// Guards against a grant whose job never arrives and that holds its capacity forever.
#[test]
fn grant_without_a_job_expires() {
    let mut fleet = idle_fleet();
    let graph = long_running_job(30);
    assert_eq!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY, &graph),
        Admission::Granted
    );
    fleet.run_for(Duration::from_secs(11));
    assert_eq!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY + 1, &graph),
        Admission::Granted
    );
}

/// Guards against refusing a caller that repeats its request for a job already on record.
#[test]
fn recorded_job_is_never_refused() {
    let (mut fleet, _) = busy_fleet();
    let graph = long_running_job(300);
    fleet.submit(FIRST_LONG_RUNNING_KEY, graph.clone());
    assert_eq!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY, &graph),
        Admission::Granted
    );
}

/// Guards against a new owner that refuses a job which the former owner granted a moment ago and
/// that may not be on record yet.
#[test]
fn successor_grants_requests_until_former_grants_are_on_record() {
    let (mut fleet, _) = busy_fleet();
    let graph = long_running_job(300);
    fleet.replace_owner();
    fleet.run_for(ms(1000));
    assert_eq!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY, &graph),
        Admission::Granted
    );
    fleet.run_for(Duration::from_secs(12));
    assert_ne!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY + 1, &graph),
        Admission::Granted
    );
}

/// Guards against a retry time after which there is still no capacity.
#[test]
fn refusal_estimates_when_long_running_jobs_free_enough_cpu() {
    let mut fleet = idle_fleet();
    for number in 0..10 {
        assert!(submit_if_admitted(
            &mut fleet,
            FIRST_LONG_RUNNING_KEY + number,
            long_running_job(4)
        ));
        fleet.run_for(ms(100));
    }
    // Four cores become free every five seconds, and are taken again.
    for number in 0..8 {
        fleet.run_for(ms(5000));
        fleet.cancel(JobKey::new(FIRST_LONG_RUNNING_KEY + number));
        fleet.run_for(ms(1500));
        assert!(submit_if_admitted(
            &mut fleet,
            FIRST_LONG_RUNNING_KEY + 10 + number,
            long_running_job(4)
        ));
    }
    fleet.run_for(ms(500));
    let refused = request_admission(
        &mut fleet,
        FIRST_LONG_RUNNING_KEY + 99,
        &long_running_job(8),
    );
    let Admission::Refused(shortage) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!((shortage.requested, shortage.available), (8000, 0));
    let back = shortage.retry_after.as_secs_f64();
    assert!((6.0..20.0).contains(&back), "{shortage:?}");
}

/// Guards against refusing long-running jobs because of a short job that no worker can ever hold.
#[test]
fn oversized_short_jobs_reserve_no_capacity() {
    let (mut fleet, _) = busy_fleet();
    let graph = long_running_job(20);
    fleet.submit(
        2000,
        common::graph(vec![StepSpec {
            size: ResourceAmount::new(u64::MAX, 100),
            ..step(20_000, &[])
        }]),
    );
    assert_eq!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY, &graph),
        Admission::Granted
    );
}

/// Guards against arithmetic overflow by jobs of absurd size: the owner would panic, or accept
/// every job.
#[test]
fn jobs_of_absurd_size_do_not_affect_others() {
    let (mut fleet, _) = busy_fleet();
    let huge = |long_running| {
        graph(vec![StepSpec {
            size: ResourceAmount::new(u64::MAX, 100),
            long_running,
            ..step(20_000, &[])
        }])
    };
    assert_ne!(
        request_admission(&mut fleet, FIRST_LONG_RUNNING_KEY, &huge(true)),
        Admission::Granted
    );
    fleet.submit(FIRST_LONG_RUNNING_KEY + 1, huge(true));
    fleet.submit(2000, huge(false));
    let jobs = run_short_jobs(&mut fleet, 1000, 10);
    fleet.run_for(ms(1500));
    let now = fleet.now;
    assert_eq!(
        fleet.owner().dispatcher.pool_usage(now)[0]
            .long_running
            .waiting,
        u64::MAX
    );
    assert_eq!(completed_count(&mut fleet, &jobs), jobs.len());
}
