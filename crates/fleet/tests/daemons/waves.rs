//! Maintenance waves. Time is simulated: it advances only while all tasks wait.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
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
    MaintenanceWave,
    StoreRow,
    StoreTable, //
};
use tokio::{
    task::spawn_local,
    time, //
};

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

/// A VM as the platform knows it.
#[derive(Clone, Copy, Default)]
struct FencedVm {
    token: u64,
    calls: u32,
    maintained: bool,
    down_until: Option<time::Instant>,
}

/// VMs that go down for their maintenance, each with its own fencing token.
#[derive(Default)]
struct FencedVms {
    vms: Rc<RefCell<BTreeMap<String, FencedVm>>>,
    /// The most VMs that were down at a time.
    most_down: Rc<Cell<usize>>,
    /// The VM that is busy.
    busy: RefCell<Option<String>>,
    /// How many of the next calls get no answer, and are carried out late.
    late_calls: Cell<u32>,
}

/// How late a call for maintenance may be carried out.
const CALL_DELAY: Duration = Duration::from_secs(8);
const MAINTENANCE_TIME: Duration = Duration::from_secs(6);

impl FencedVms {
    fn new(count: usize) -> Rc<Self> {
        let vms = Self::default();
        let names = (0..count).map(|number| (vm_name(number).to_string(), FencedVm::default()));
        vms.vms.borrow_mut().extend(names);
        Rc::new(vms)
    }

    fn calls(&self, number: usize) -> u32 {
        self.vms.borrow()[&*vm_name(number)].calls
    }

    fn is_maintained(&self, number: usize) -> bool {
        self.vms.borrow()[&*vm_name(number)].maintained
    }
}

fn carry_out(
    vms: &RefCell<BTreeMap<String, FencedVm>>,
    most_down: &Cell<usize>,
    name: &str,
    token: u64,
) -> MaintenanceOutcome {
    let mut vms = vms.borrow_mut();
    let now = time::Instant::now();
    let Some(vm) = vms.get_mut(name) else {
        return MaintenanceOutcome::Never;
    };
    if token < vm.token {
        return MaintenanceOutcome::Fenced;
    }
    vm.token = token;
    vm.calls += 1;
    if !vm.maintained {
        vm.maintained = true;
        vm.down_until = Some(now + MAINTENANCE_TIME);
    }
    let is_down = |vm: &&FencedVm| vm.down_until.is_some_and(|until| now < until);
    most_down.set(most_down.get().max(vms.values().filter(is_down).count()));
    MaintenanceOutcome::Begun
}

#[async_trait(?Send)]
impl FleetVms for FencedVms {
    async fn list(&self) -> Option<Vec<ListedVm>> {
        let now = time::Instant::now();
        let vms = self.vms.borrow();
        let listed = (0..vms.len()).map(|number| {
            let vm = vms[&*vm_name(number)];
            ListedVm {
                vm: vm_name(number),
                up: vm.down_until.is_none_or(|until| now >= until),
                worker: Some(format!("worker-{number}").into()),
            }
        });
        Some(listed.collect())
    }

    async fn start_maintenance(
        &self,
        vm: &str,
        _wave: u64,
        _holder: &str,
        token: u64,
    ) -> MaintenanceOutcome {
        if self.busy.borrow().as_deref() == Some(vm) {
            return MaintenanceOutcome::Busy;
        }
        if self.late_calls.get() == 0 {
            return carry_out(&self.vms, &self.most_down, vm, token);
        }
        self.late_calls.set(self.late_calls.get() - 1);
        let (vms, most_down) = (Rc::clone(&self.vms), Rc::clone(&self.most_down));
        let vm = vm.to_owned();
        spawn_local(async move {
            time::sleep(CALL_DELAY).await;
            carry_out(&vms, &most_down, &vm, token);
        });
        time::sleep(Duration::from_secs(2)).await;
        MaintenanceOutcome::Unknown
    }
}

/// Requests a wave of these VMs, one at a time, and starts a daemon.
fn daemon_with_fenced_vms(fleet: &TestFleet, vms: &Rc<FencedVms>) -> TestDaemon {
    let count = vms.vms.borrow().len();
    fleet.store.waves.borrow_mut().push(MaintenanceWave {
        number: 1,
        vms: (0..count).map(vm_name).collect(),
        duration: Duration::from_secs(60),
        max_down: 1,
    });
    *fleet.vms.borrow_mut() = Some(Rc::clone(vms) as Rc<dyn FleetVms>);
    fleet.daemon()
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

/// Guards against more VMs down at a time than the wave allows: a call of a former owner got no answer, and was carried out while
/// the VM was down that its successor had chosen.
#[test]
fn late_call_of_a_former_owner_takes_no_vm_down_beyond_the_limit() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(2);
        let vms = FencedVms::new(2);
        *vms.busy.borrow_mut() = Some(vm_name(0).to_string());
        vms.late_calls.set(1);
        let owner = daemon_with_fenced_vms(&fleet, &vms);
        while vms.late_calls.get() > 0 {
            time::sleep(Duration::from_millis(10)).await;
        }
        *vms.busy.borrow_mut() = None;
        let _successor = fleet.daemon();
        owner.kill();
        time::sleep(Duration::from_secs(60)).await;
        assert_eq!(vms.most_down.get(), 1);
        assert!(vms.is_maintained(0) && vms.is_maintained(1));
        assert_eq!(fleet.store.is_shown_completed(1), Some(true));
    });
}

/// Guards against VMs whose workers are drained again, and a wave that begins anew: a successor did not know which VMs a former
/// owner had sent into maintenance.
#[test]
fn a_successor_continues_a_wave() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(3);
        let vms = FencedVms::new(3);
        let owner = daemon_with_fenced_vms(&fleet, &vms);
        while !vms.is_maintained(1) {
            time::sleep(Duration::from_millis(10)).await;
        }
        time::sleep(Duration::from_secs(1)).await;
        let _successor = fleet.daemon();
        owner.kill();
        time::sleep(Duration::from_secs(40)).await;
        assert_eq!(vms.most_down.get(), 1);
        assert_eq!((vms.calls(0), vms.calls(2)), (1, 1));
        assert_eq!(fleet.store.is_shown_completed(1), Some(true));
    });
}

/// Guards against a call that is sent although a successor would not know of it.
#[test]
fn no_vm_is_sent_into_maintenance_without_a_record() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let vms = FencedVms::new(1);
        let owner = daemon_with_fenced_vms(&fleet, &vms);
        owner.store_client.refuses_wave_records.set(true);
        time::sleep(Duration::from_secs(5)).await;
        assert_eq!(vms.calls(0), 0);
        owner.store_client.refuses_wave_records.set(false);
        time::sleep(Duration::from_secs(20)).await;
        assert_eq!(vms.calls(0), 1);
    });
}

/// Guards against a call beside one of a former owner that may still be carried out: that owner's record can't be read.
#[test]
fn a_successor_outlasts_late_calls_that_it_can_not_know() {
    run_simulated(async {
        let fleet = TestFleet::with_runtime_clock(1);
        let vms = FixedVms::new(1, MaintenanceOutcome::Refused);
        let owner = daemon_with_wave(&fleet, &vms);
        time::sleep(Duration::from_secs(5)).await;
        owner.kill();
        let unreadable = StoreRow::new(StoreTable::Progress, "s0", "wave-1", vec![0xff]);
        fleet.store.write(vec![unreadable]);
        let fenced = FencedVms::new(1);
        *fleet.vms.borrow_mut() = Some(Rc::clone(&fenced) as Rc<dyn FleetVms>);
        let _successor = fleet.daemon();
        time::sleep(Duration::from_secs(12)).await;
        assert_eq!(fenced.calls(0), 0);
        time::sleep(Duration::from_secs(20)).await;
        assert_eq!(fenced.calls(0), 1);
    });
}
