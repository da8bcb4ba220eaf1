//! Stops that are sent again to workers that answer renewals as late as they may.

mod common;

use std::time::Duration;

use common::{
    Faults,
    Fleet,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    DispatchSettings,
    JobKey,
    StepKey,
    StepSpec,
    TaskKey, //
};
use jasminebend_standins::TaskWork;

/// The time within which a job's next run begins while capacity is free.
const RESTART_LIMIT: Duration = Duration::from_millis(3000);

/// Returns endless work for job 1 and short work for the others.
fn endless_first_job(task: TaskKey) -> TaskWork {
    let is_first = task.job() == JobKey::new(1);
    TaskWork {
        run_time: if is_first { Duration::MAX } else { ms(300) },
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Lets the start of a second job's only task be lost beside a long-running task, and returns when it began after that.
fn restart_time_after_lost_start(max_stop_duration: Duration) -> Option<Duration> {
    let settings = DispatchSettings {
        max_stop_duration,
        ..DispatchSettings::default()
    };
    let mut fleet = Fleet::new(1, 1)
        .with_work(endless_first_job)
        .with_settings(settings)
        .with_delayed_renewals();
    let long_running = StepSpec {
        long_running: true,
        ..step(1, &[])
    };
    fleet.submit(1, graph(vec![long_running]));
    fleet.run_for(ms(3000));
    fleet.faults = Faults {
        lost: 100,
        ..Faults::default()
    };
    let submitted_at = fleet.now;
    let job = fleet.submit(2, graph(vec![step(1, &[])]));
    fleet.run_for(ms(100));
    fleet.faults = Faults::default();
    fleet.run_for(ms(15_000));
    assert_eq!(fleet.check_invariants(), Vec::<String>::new());
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    fleet
        .starts_of(step.task(0))
        .first()
        .map(|at| *at - submitted_at)
}

/// Guards against a run that is held for good: each repetition of its stop, which is answered, kept every report on the
/// worker's runs from being recent enough to show that the run is gone.
#[test]
fn lost_start_is_repeated_although_its_stop_is_sent_again_and_again() {
    for max_stop in [200, 400, 900] {
        let restarted_after = restart_time_after_lost_start(ms(max_stop));
        assert!(
            restarted_after.is_some_and(|after| after <= RESTART_LIMIT),
            "{restarted_after:?} with stops of {max_stop} ms"
        );
    }
}
