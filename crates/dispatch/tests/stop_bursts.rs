//! Many stops at once, to workers that do not answer.

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
    StepKey,
    StepSpec,
    TaskKey, //
};
use jasminebend_standins::TaskWork;

const WORKER_COUNT: usize = 20;
/// The time within which a task starts on a worker that answers: an order in flight to a silent one, and a plan.
const START_LIMIT: Duration = Duration::from_millis(700);

fn small_work(_task: TaskKey) -> TaskWork {
    TaskWork {
        run_time: ms(30_000),
        fails: false,
        size: ResourceAmount::new(100, 10),
    }
}

fn small_step(count: u32) -> StepSpec {
    StepSpec {
        size: ResourceAmount::new(100, 10),
        ..step(count, &[])
    }
}

/// Guards against tasks that wait beside free capacity until all stops of a large job have been sent to silent workers, each
/// of which takes a place among the orders in flight until it counts as lost.
#[test]
fn stops_to_silent_workers_leave_room_for_starts() {
    // Each silent worker has missed a call by then, so that nothing starts there.
    for silent_for in [1000, 2000] {
        let mut fleet = Fleet::new(WORKER_COUNT, 1).with_work(small_work);
        let large = fleet.submit(1, graph(vec![small_step(38 * WORKER_COUNT as u32)]));
        fleet.run_for(ms(4000));
        let until = fleet.now + ms(60_000);
        for worker in 1..WORKER_COUNT {
            fleet.unreachable_until[worker] = until;
        }
        fleet.run_for(ms(silent_for));
        fleet.cancel(large);
        fleet.run_for(ms(10));
        let submitted_at = fleet.now;
        let job = fleet.submit(2, graph(vec![small_step(1)]));
        fleet.run_for(ms(10_000));
        let step = StepKey {
            job,
            occurrence: 0,
            step: 0,
        };
        let started_at = fleet.starts_of(step.task(0)).first().copied();
        let waited = started_at.map(|at| at - submitted_at);
        assert!(
            waited.is_some_and(|waited| waited <= START_LIMIT),
            "{waited:?} with workers silent for {silent_for} ms"
        );
    }
}
