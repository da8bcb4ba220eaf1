//! Calls of a former owner that wait at a worker for an end while the worker begins to follow the successor.

mod common;

use common::{
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
    LeaseRenewal,
    OrderOutcome,
    StartOrder,
    WorkerKey,
    WorkerOrder, //
};
use jasminebend_standins::{
    SimulatedWorker,
    TaskWork, //
};

fn owner(token: u64, workers: &[SimulatedWorker], inherited: bool) -> Dispatcher {
    let mut owner = Dispatcher::new(token, DispatchSettings::default());
    owner.set_configuration(configuration(3));
    let until = inherited.then_some(ms(9000));
    for worker in workers {
        owner.upsert_worker(worker.record().clone(), until);
    }
    let job = AcceptedJob {
        queue: "queue".into(),
        rule: None,
        graph: graph(vec![step(1, &[]), step(1, &[0])]).into(),
        accepted: ms(1000),
        inherited,
    };
    owner.add_job(JobKey::new(7), job);
    owner
}

fn renew(owner: &mut Dispatcher, workers: &mut [SimulatedWorker], index: usize, at: u64) {
    let key = WorkerKey::new(index);
    let order = owner.next_renewal(key, true, ms(at));
    let report = workers[index].renew_lease(ms(at), owner.token(), order);
    owner.handle_renewal_report(key, ms(at), report.expect("it follows this owner"), ms(at));
}

/// Carries out the starts of a plan, with runs that take `run_ms`; returns the last one.
fn start(
    owner: &mut Dispatcher,
    workers: &mut [SimulatedWorker],
    at: u64,
    run_ms: u64,
) -> Option<StartOrder> {
    let mut last = None;
    for order in owner.plan(ms(at)).orders {
        let WorkerOrder::Start(start) = order else {
            continue;
        };
        let work = TaskWork {
            run_time: ms(run_ms),
            fails: false,
            size: ResourceAmount::new(1000, 100),
        };
        let deadline = owner
            .grant_order_deadline(start.worker, ms(at))
            .expect("its clock is known");
        let worker = &mut workers[start.worker.index()];
        let outcome = worker.start(ms(at), owner.token(), &start, deadline, work);
        assert_eq!(outcome, OrderOutcome::Taken);
        owner.handle_start_outcome(start.worker, start.task, start.run, outcome, ms(at));
        last = Some(start);
    }
    last
}

/// Lets a task of `run_ms` end on a worker that began to follow the successor at 1.5 s, and tells both owners.
fn end_task_after(run_ms: u64) {
    let ended_at = 1040 + run_ms;
    let capacity = ResourceAmount::new(4000, 4000);
    let names = ["w0", "w1", "w2"];
    let mut workers = names.map(|name| SimulatedWorker::new(name, capacity, 100, ms(1000)));
    let mut former = owner(1, &workers[..1], false);
    renew(&mut former, &mut workers, 0, 1010);
    renew(&mut former, &mut workers, 0, 1020);
    let first = start(&mut former, &mut workers, 1030, run_ms).expect("it starts");
    assert_eq!(first.worker.index(), 0);
    former.upsert_worker(workers[1].record().clone(), None);
    renew(&mut former, &mut workers, 1, 1040);
    // A call of the former owner waits at the first worker from here on. The successor does not reach the second one.
    let mut successor = owner(2, &workers, true);
    renew(&mut successor, &mut workers, 0, 1500);
    renew(&mut successor, &mut workers, 2, 1500);
    for at in (1600..ended_at).step_by(100) {
        renew(&mut successor, &mut workers, 0, at);
    }
    workers[0].advance_to(ms(ended_at));
    let list = LeaseRenewal {
        deadline: None,
        acknowledged: 0,
        max_wait: ms(0),
    };
    let told = workers[0]
        .renew_lease(ms(ended_at), 2, list)
        .expect("it follows the successor");
    assert_eq!(told.completions.len(), 1);
    former.handle_renewal_report(first.worker, ms(1050), told, ms(ended_at));
    // The first worker refuses the former owner's orders, the second one does not.
    workers[0].record_mut().draining = true;
    former.upsert_worker(workers[0].record().clone(), None);
    let by_former = start(&mut former, &mut workers, ended_at + 10, run_ms);
    assert_eq!(by_former.map(|start| start.worker.index()), Some(1));
    renew(&mut successor, &mut workers, 0, ended_at + 20);
    let by_successor = start(&mut successor, &mut workers, ended_at + 30, run_ms);
    assert_eq!(by_successor, None, "after a run of {run_ms} ms");
}

/// Guards against two runs of a task: a worker answers a former owner's call, which waited for an end, although it follows the
/// successor by then; each of the two starts the step that depends on the task that ended.
#[test]
fn step_after_an_end_that_a_waiting_call_told_of_starts_once() {
    // The call waits until 3.5 s at the longest.
    for run_ms in [1000, 1700, 2400] {
        end_task_after(run_ms);
    }
}
