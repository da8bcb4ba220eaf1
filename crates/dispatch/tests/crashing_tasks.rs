//! Tasks that crash the workers that execute them, and innocent tasks whose workers crash.

mod common;

use std::time::Duration;

use common::{
    CrashMode,
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    JobKey,
    JobOutcome,
    JobProgress,
    StepKey,
    TaskKey, //
};
use jasminebend_standins::TaskWork;

/// How long after its start the guilty task crashes its worker.
const CRASH_DELAY: Duration = Duration::from_millis(10);
/// The number of crashes after which a task may only be started twice more.
const TOLERATED_CRASHES: usize = 3;
const TOLERATED_FURTHER_STARTS: usize = 2;
const FAILED: Option<JobProgress> = Some(JobProgress::Ended(JobOutcome::Failed));
const COMPLETED: Option<JobProgress> = Some(JobProgress::Ended(JobOutcome::Completed));

/// Returns the job whose first task crashes each worker that executes it.
fn guilty_job() -> JobKey {
    JobKey::new(1)
}

fn guilty_task() -> TaskKey {
    let step = StepKey {
        job: guilty_job(),
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

fn crashes(task: TaskKey) -> Option<Duration> {
    (task == guilty_task()).then_some(CRASH_DELAY)
}

/// Returns work of one core for 800 ms.
fn short_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(800),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Returns the violations of the limit on starts after the third crash under the guilty task.
fn check_starts(fleet: &Fleet) -> Vec<String> {
    let starts = fleet.starts_of(guilty_task());
    let further = starts
        .iter()
        .filter(|at| fleet.crash_count(guilty_task(), **at) >= TOLERATED_CRASHES);
    let further = further.count();
    match further > TOLERATED_FURTHER_STARTS {
        true => vec![format!("{further} starts after three crashes: {starts:?}")],
        false => Vec::new(),
    }
}

/// Guards against tasks that crash worker after worker and are started again without an end.
#[test]
fn task_that_crashes_its_workers_is_given_up_in_time() {
    for mode in [
        CrashMode::NewIdentity,
        CrashMode::SameIdentity,
        CrashMode::Silent,
    ] {
        let mut fleet = Fleet::new(8, 1).with_work(short_work).with_crashes(crashes);
        fleet.crash_mode = mode;
        fleet.submit(1, graph(vec![step(1, &[])]));
        fleet.run_for(ms(60_000));
        assert_eq!(check_starts(&fleet), Vec::<String>::new(), "{mode:?}");
        assert_eq!(fleet.progress(guilty_job()), FAILED, "{mode:?}");
        assert_eq!(fleet.check_invariants(), Vec::<String>::new(), "{mode:?}");
    }
}

/// Guards against work that never gets done, or is given up, because a task that crashes the same
/// workers is started beside it again and again.
#[test]
fn neighbours_of_a_crashing_task_complete() {
    let mut fleet = Fleet::new(6, 2).with_work(short_work).with_crashes(crashes);
    fleet.submit(1, graph(vec![step(3, &[])]));
    let innocent: Vec<JobKey> = (2..8)
        .map(|number| fleet.submit(number, graph(vec![step(3, &[])])))
        .collect();
    fleet.run_for(ms(60_000));
    assert_eq!(check_starts(&fleet), Vec::<String>::new());
    assert_eq!(fleet.progress(guilty_job()), FAILED);
    for job in innocent {
        assert_eq!(fleet.progress(job), COMPLETED, "{job}");
    }
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
}
