//! Maintenance waves. Time is simulated: it advances only while all tasks wait.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use async_trait::async_trait;
use jasminebend_dispatch::{
    JobGraph,
    JobOutcome,
    JobProgress, //
};
use jasminebend_fleet::{
    FleetVms,
    ListedVm,
    MaintenanceOutcome,
    MaintenanceWave, //
};
use tokio::time;

use crate::test_fleet::{
    TestDaemon,
    TestFleet,
    job,
    run_simulated,
    submit,
    wait_for_progress, //
};

const COMPLETED: JobProgress = JobProgress::Ended(JobOutcome::Completed);

/// VMs that have all been maintained: they are up, and a further call succeeds and does nothing.
struct MaintainedVms;

fn vm_name(number: usize) -> Arc<str> {
    format!("vm-{number}").into()
}

#[async_trait(?Send)]
impl FleetVms for MaintainedVms {
    async fn list(&self) -> Option<Vec<ListedVm>> {
        let vms = (0..2).map(|number| ListedVm {
            vm: vm_name(number),
            up: true,
            worker: Some(format!("worker-{number}").into()),
        });
        Some(vms.collect())
    }

    async fn start_maintenance(
        &self,
        _vm: &str,
        _wave: u64,
        _holder: &str,
        _token: u64,
    ) -> MaintenanceOutcome {
        MaintenanceOutcome::Begun
    }
}

/// VMs that stay up, with one answer to all calls.
struct FixedVms {
    count: usize,
    outcome: Cell<MaintenanceOutcome>,
    is_listed: Cell<bool>,
}

impl FixedVms {
    fn new(count: usize, outcome: MaintenanceOutcome) -> Rc<Self> {
        Rc::new(Self {
            count,
            outcome: Cell::new(outcome),
            is_listed: Cell::new(true),
        })
    }
}

#[async_trait(?Send)]
impl FleetVms for FixedVms {
    async fn list(&self) -> Option<Vec<ListedVm>> {
        let vms = (0..self.count).map(|number| ListedVm {
            vm: vm_name(number),
            up: true,
            worker: Some(format!("worker-{number}").into()),
        });
        self.is_listed.get().then(|| vms.collect())
    }

    async fn start_maintenance(
        &self,
        _vm: &str,
        _wave: u64,
        _holder: &str,
        _token: u64,
    ) -> MaintenanceOutcome {
        self.outcome.get()
    }
}

fn wave_of(vms: &FixedVms) -> MaintenanceWave {
    MaintenanceWave {
        number: 1,
        vms: (0..vms.count).map(vm_name).collect(),
        duration: Duration::from_secs(60),
        max_down: 1,
    }
}

/// Starts a daemon on a fleet with these VMs and a wave that asks for all of them.
fn daemon_with_wave(fleet: &TestFleet, vms: &Rc<FixedVms>) -> TestDaemon {
    fleet.store.waves.borrow_mut().push(wave_of(vms));
    *fleet.vms.borrow_mut() = Some(Rc::clone(vms) as Rc<dyn FleetVms>);
    fleet.daemon()
}

/// Starts a daemon, lets a task that can't move run on the only worker for longer than the test, and then requests a
/// wave.
async fn daemon_with_lengthy_drain(fleet: &TestFleet, vms: &Rc<FixedVms>) -> TestDaemon {
    *fleet.vms.borrow_mut() = Some(Rc::clone(vms) as Rc<dyn FleetVms>);
    let owner = fleet.daemon();
    fleet.workers.run_time.set(Duration::from_secs(60));
    let mut lengthy = job(&[(1, &[])]);
    lengthy.steps[0].estimate = Duration::from_secs(60);
    submit(&owner.job_api, 1, &lengthy).await;
    time::sleep(Duration::from_secs(5)).await;
    assert_eq!(fleet.workers.running_tasks().len(), 1);
    fleet.workers.run_time.set(Duration::from_millis(150));
    request_waves(fleet, &owner, vec![wave_of(vms)]);
    time::sleep(Duration::from_secs(5)).await;
    submit(&owner.job_api, 2, &job(&[(1, &[])])).await;
    time::sleep(Duration::from_secs(5)).await;
    assert_eq!(fleet.workers.running_tasks().len(), 1);
    wait_for_progress(&owner.job_api, 2, JobProgress::Queued).await;
    owner
}

/// Replaces the requested waves.
fn request_waves(fleet: &TestFleet, daemon: &TestDaemon, waves: Vec<MaintenanceWave>) {
    *fleet.store.waves.borrow_mut() = waves;
    daemon.store_client.forget_history();
}

/// Returns a job of one step of long-running tasks.
fn long_running_job(count: u32, max_unavailable: u32) -> JobGraph {
    let mut graph = job(&[(count, &[])]);
    for step in &mut graph.steps {
        step.long_running = true;
        step.max_unavailable = max_unavailable;
    }
    graph
}

/// Guards against workers that a successor drains again after their maintenance, and never uses any more.
#[test]
fn workers_maintained_under_a_former_owner_take_tasks() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let owner = fleet.daemon();
        submit(&owner.job_api, 1, &job(&[(1, &[])])).await;
        wait_for_progress(&owner.job_api, 1, COMPLETED).await;
        fleet.store.waves.borrow_mut().push(MaintenanceWave {
            number: 1,
            vms: vec![vm_name(0), vm_name(1)],
            duration: Duration::from_secs(60),
            max_down: 1,
        });
        *fleet.vms.borrow_mut() = Some(Rc::new(MaintainedVms));
        let successor = fleet.daemon();
        owner.kill();
        time::sleep(Duration::from_secs(60)).await;
        submit(&successor.job_api, 2, &job(&[(1, &[])])).await;
        time::sleep(Duration::from_secs(20)).await;
        wait_for_progress(&successor.job_api, 2, COMPLETED).await;
    });
}

/// Guards against a worker that stays drained although the platform answered that its VM is never to be maintained.
#[test]
fn worker_of_a_vm_that_needs_no_maintenance_takes_tasks() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let owner = daemon_with_wave(&fleet, &FixedVms::new(1, MaintenanceOutcome::Never));
        time::sleep(Duration::from_secs(5)).await;
        submit(&owner.job_api, 2, &job(&[(1, &[])])).await;
        wait_for_progress(&owner.job_api, 2, COMPLETED).await;
    });
}

/// Guards against a worker that stays drained after a call whose answer was lost, and a second one that did nothing.
#[test]
fn worker_of_a_vm_that_was_maintained_without_an_answer_takes_tasks() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let vms = FixedVms::new(1, MaintenanceOutcome::Unknown);
        let owner = daemon_with_wave(&fleet, &vms);
        time::sleep(Duration::from_secs(5)).await;
        vms.outcome.set(MaintenanceOutcome::Begun);
        time::sleep(Duration::from_secs(15)).await;
        submit(&owner.job_api, 2, &job(&[(1, &[])])).await;
        wait_for_progress(&owner.job_api, 2, COMPLETED).await;
    });
}

/// Guards against a worker that stays drained after the wave of its VM was withdrawn.
#[test]
fn worker_that_was_drained_for_a_withdrawn_wave_takes_tasks() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let vms = FixedVms::new(1, MaintenanceOutcome::Begun);
        let owner = daemon_with_lengthy_drain(&fleet, &vms).await;
        request_waves(&fleet, &owner, Vec::new());
        wait_for_progress(&owner.job_api, 2, COMPLETED).await;
    });
}

/// Guards against a worker that stays drained while the list of VMs can't be read, so that no call can follow.
#[test]
fn worker_that_was_drained_before_the_list_of_vms_failed_takes_tasks() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let vms = FixedVms::new(1, MaintenanceOutcome::Begun);
        let owner = daemon_with_lengthy_drain(&fleet, &vms).await;
        vms.is_listed.set(false);
        wait_for_progress(&owner.job_api, 2, COMPLETED).await;
    });
}

/// Guards against a worker that is empty and stays drained while the platform refuses all calls.
#[test]
fn worker_of_a_vm_whose_maintenance_is_refused_takes_tasks() {
    for outcome in [MaintenanceOutcome::Refused, MaintenanceOutcome::Busy] {
        run_simulated(async {
            let fleet = TestFleet::with_runtime_clock(1);
            let owner = daemon_with_wave(&fleet, &FixedVms::new(1, outcome));
            time::sleep(Duration::from_secs(5)).await;
            submit(&owner.job_api, 2, &job(&[(1, &[])])).await;
            wait_for_progress(&owner.job_api, 2, COMPLETED).await;
        });
    }
}

/// Guards against a task that starts on a VM that may still go down: its wave was withdrawn after a call without an
/// answer.
#[test]
fn worker_takes_no_task_while_an_unanswered_call_may_be_carried_out() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let vms = FixedVms::new(1, MaintenanceOutcome::Unknown);
        let owner = daemon_with_wave(&fleet, &vms);
        time::sleep(Duration::from_secs(4)).await;
        request_waves(&fleet, &owner, Vec::new());
        submit(&owner.job_api, 2, &job(&[(1, &[])])).await;
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(fleet.workers.started_runs(), 0);
        wait_for_progress(&owner.job_api, 2, COMPLETED).await;
    });
}

/// Guards against an operator who is told for good that a completed wave is running: an earlier write of its status got no answer,
/// and was applied late.
#[test]
fn late_write_of_a_status_does_not_replace_a_later_one() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let vms = FixedVms::new(1, MaintenanceOutcome::Refused);
        let owner = daemon_with_wave(&fleet, &vms);
        owner.store_client.late_status_writes.set(1);
        while owner.store_client.late_status_writes.get() > 0 {
            time::sleep(Duration::from_millis(10)).await;
        }
        vms.outcome.set(MaintenanceOutcome::Begun);
        time::sleep(Duration::from_millis(2500)).await;
        assert_eq!(fleet.store.is_shown_completed(1), Some(true));
        time::sleep(Duration::from_secs(20)).await;
        assert_eq!(fleet.store.is_shown_completed(1), Some(true));
    });
}

/// Guards against a wave whose status is not written by a successor: a former owner had written one.
#[test]
fn a_successor_writes_the_status_of_a_wave() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let vms = FixedVms::new(1, MaintenanceOutcome::Refused);
        let owner = daemon_with_wave(&fleet, &vms);
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(fleet.store.is_shown_completed(1), Some(false));
        let _successor = fleet.daemon();
        owner.kill();
        vms.outcome.set(MaintenanceOutcome::Begun);
        time::sleep(Duration::from_secs(60)).await;
        assert_eq!(fleet.store.is_shown_completed(1), Some(true));
    });
}

/// Guards against a worker that stays drained beside a long-running task that may never be unavailable.
#[test]
fn worker_that_can_never_be_drained_takes_tasks() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let owner = daemon_with_wave(&fleet, &FixedVms::new(1, MaintenanceOutcome::Refused));
        fleet.workers.run_time.set(Duration::MAX);
        submit(&owner.job_api, 1, &long_running_job(1, 0)).await;
        time::sleep(Duration::from_secs(60)).await;
        assert_eq!(fleet.workers.running_tasks().len(), 1);
        fleet.workers.run_time.set(Duration::from_millis(150));
        submit(&owner.job_api, 2, &job(&[(1, &[])])).await;
        wait_for_progress(&owner.job_api, 2, COMPLETED).await;
    });
}
