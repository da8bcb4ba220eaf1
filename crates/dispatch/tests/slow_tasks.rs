//! Runs that make progress slowly, and runs that make none.

mod common;

use std::time::Duration;

use common::{
    Fleet,
    configuration,
    graph,
    ms,
    step, //
};
use jasminebend_base::ResourceAmount;
use jasminebend_dispatch::{
    AcceptedJob,
    DispatchSettings,
    Dispatcher,
    JobKey,
    OrderOutcome,
    RenewalReport,
    RunningTask,
    StepKey,
    StepSpec,
    TaskKey,
    WorkerOrder, //
};
use jasminebend_standins::TaskWork;

fn first_task(job: JobKey) -> TaskKey {
    let step = StepKey {
        job,
        occurrence: 0,
        step: 0,
    };
    step.task(0)
}

fn long_step(estimate: Duration) -> StepSpec {
    StepSpec {
        estimate,
        ..step(1, &[])
    }
}

/// Returns work for 150 s, of which a hundredth takes longer than a second.
fn long_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(150_000),
        fails: false,
        size: ResourceAmount::new(1000, 100),
    }
}

/// Guards against tasks that are started again and again, each time on another worker, and workers that are set aside for it: a
/// hundredth of a long task takes longer than the time after which a run counts as stuck.
#[test]
fn run_of_a_long_task_is_not_taken_for_a_stuck_one() {
    let mut fleet = Fleet::new(2, 1).with_work(long_work);
    let job = fleet.submit(1, graph(vec![long_step(ms(60_000))]));
    fleet.run_for(ms(40_000));
    assert_eq!(fleet.starts_of(first_task(job)).len(), 1);
}

/// Returns when a run without progress is stopped, for this estimate of its task.
fn stopped_after(estimate: Duration) -> Option<Duration> {
    let configuration = configuration(3);
    let queue = configuration.queues.keys().next().expect("it has a queue");
    let job = JobKey::new(1);
    let accepted = AcceptedJob {
        queue: queue.clone(),
        rule: None,
        graph: graph(vec![long_step(estimate)]).into(),
        accepted: Duration::ZERO,
        inherited: false,
    };
    let mut dispatcher = Dispatcher::new(1, DispatchSettings::default());
    dispatcher.set_configuration(configuration);
    dispatcher.add_job(job, accepted);
    let record = Fleet::new(1, 1).workers[0].record().clone();
    let worker = dispatcher.upsert_worker(record, None);
    let mut running = Vec::new();
    for turn in 0..200 {
        let now = ms(turn * 100);
        dispatcher.next_renewal(worker, true, now);
        let report = RenewalReport {
            clock: now,
            incarnation: None,
            running: running.clone(),
            completions: Vec::new(),
        };
        dispatcher.handle_renewal_report(worker, now, report, now);
        for order in dispatcher.plan(now).orders {
            let WorkerOrder::Start(start) = order else {
                return Some(now);
            };
            dispatcher.handle_start_outcome(
                worker,
                start.task,
                start.run,
                OrderOutcome::Taken,
                now,
            );
            running.push(RunningTask {
                task: start.task,
                run: start.run,
                checkpoint: None,
                progress_percent: 40,
                metric: None,
            });
        }
    }
    None
}

/// Guards against a task that waits on a worker where it stands still.
#[test]
fn run_that_stands_still_is_stopped() {
    let stopped = stopped_after(ms(500)).expect("it is stopped");
    assert!(stopped < ms(2500), "{stopped:?}");
    let stopped = stopped_after(ms(60_000)).expect("it is stopped");
    assert!(stopped < ms(8000), "{stopped:?}");
}
