//! Contract tests of the VM list.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    ResourceAmount,
    VmRecord,
    VmState,
    WorkerRecord, //
};
use jasminebend_ports::VmListError;
use jasminebend_standins::{
    CallKind,
    FaultKind,
    ManualClock, //
};

use crate::harness::{
    ENDLESS_DELAY,
    LONG_TIMEOUT,
    SHORT_TIMEOUT,
    VM_LIST_LAG,
    VmListHarness, //
};

type Fixture = (VmListHarness, Arc<ManualClock>);

fn vm(name: &str) -> VmRecord {
    VmRecord {
        name: name.into(),
        incarnation: 3,
        domain: "north".into(),
        state: VmState::Live,
        executor: None,
        worker: Some(WorkerRecord {
            address: ([127, 0, 0, 1], 80).into(),
            rack: "rack-1".to_owned(),
            capacity: ResourceAmount::new(32_000, 125_000).with_accelerators(2),
        }),
    }
}

async fn shows_changes_after_its_lag((list, clock): Fixture) {
    let before = list.port.read().await.unwrap();
    list.stand_in.add(vm("a"));
    list.stand_in.add(vm("b"));
    clock.advance(VM_LIST_LAG - Duration::from_millis(1));
    assert_eq!(list.port.read().await, Ok(before.clone()));
    list.stand_in.leave("a");
    clock.advance(Duration::from_millis(1));
    let added = list.port.read().await.unwrap();
    assert_eq!(added.vms, [vm("a"), vm("b")]);
    assert!(added.revision > before.revision);
    clock.advance(VM_LIST_LAG);
    let left = list.port.read().await.unwrap();
    assert_eq!(left.vms[0].state, VmState::Leaving);
    list.stand_in.remove("a");
    clock.advance(VM_LIST_LAG);
    let removed = list.port.read().await.unwrap();
    assert_eq!(removed.vms, [vm("b")]);
    assert!(removed.revision > left.revision && left.revision > added.revision);
}

/// A stale response must have an older revision, so that a reader can ignore it. Otherwise a VM that left reappears
/// when two servers respond in turn and one of them lags.
async fn a_stale_response_has_an_older_revision((list, clock): Fixture) {
    list.stand_in.add(vm("a"));
    clock.advance(VM_LIST_LAG);
    let fresh = list.port.read().await.unwrap();
    list.stand_in
        .faults()
        .queue_fault(CallKind::Read, FaultKind::Stale);
    let stale = list.port.read().await.unwrap();
    assert_eq!(stale.vms, []);
    assert!(stale.revision < fresh.revision);
}

async fn an_outage_is_never_an_empty_list((list, _clock): Fixture) {
    let cases = [
        (FaultKind::LoseAnswer, VmListError::Unavailable),
        (FaultKind::LoseRequest, VmListError::Unavailable),
        (FaultKind::CutAnswer, VmListError::Unavailable),
        (FaultKind::Refuse, VmListError::Unavailable),
        (FaultKind::Malformed, VmListError::Malformed),
    ];
    for (fault, error) in cases {
        list.stand_in.faults().set_fault(CallKind::Read, fault);
        assert_eq!(list.port.read().await, Err(error), "{fault:?}");
    }
}

contract!(
    [
        shows_changes_after_its_lag,
        a_stale_response_has_an_older_revision,
        an_outage_is_never_an_empty_list,
    ],
    in_memory => crate::harness::vm_list_in_memory,
    over_http => crate::harness::vm_list_over_http,
);

/// An unchanged list must not be sent again. A list of thousands of VMs changes every few minutes; sent on each poll,
/// it takes more network bandwidth than all other control traffic.
#[tokio::test]
async fn an_unchanged_list_is_not_sent_again() {
    let (list, clock) = crate::harness::vm_list_over_http(LONG_TIMEOUT).await;
    list.stand_in.add(vm("a"));
    clock.advance(VM_LIST_LAG);
    let first = list.port.read().await.unwrap();
    let sent = list.stand_in.faults().counts().bytes;
    assert_eq!(list.port.read().await, Ok(first));
    assert_eq!(list.stand_in.faults().counts().bytes, sent);
    list.stand_in.remove("a");
    clock.advance(VM_LIST_LAG);
    assert_eq!(list.port.read().await.unwrap().vms, []);
    assert!(list.stand_in.faults().counts().bytes > sent);
}

#[tokio::test]
async fn a_silent_list_times_out() {
    let (list, _clock) = crate::harness::vm_list_over_http(SHORT_TIMEOUT).await;
    for fault in [
        FaultKind::Slow(ENDLESS_DELAY),
        FaultKind::SlowAnswer(ENDLESS_DELAY),
    ] {
        list.stand_in.faults().queue_fault(CallKind::Read, fault);
        let answer = list.port.read().await;
        assert_eq!(answer, Err(VmListError::Unavailable), "{fault:?}");
    }
    assert!(list.port.read().await.is_ok());
}
