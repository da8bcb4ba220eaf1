//! Maintenance waves that a successor finds.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use async_trait::async_trait;
use jasminebend_dispatch::{
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
