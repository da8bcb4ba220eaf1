//! Contract tests of the object store.

use std::time::Duration;

use bytes::Bytes;
use jasminebend_ports::{
    ObjectError,
    ObjectKey, //
};
use jasminebend_standins::{
    CallKind,
    FaultKind,
    OutageState, //
};

use crate::harness::{
    self,
    ENDLESS_DELAY,
    MAX_OBJECT_BYTES,
    ObjectHarness,
    SHORT_TIMEOUT, //
};

fn key(text: &str) -> ObjectKey {
    ObjectKey::from(text)
}

async fn stores_any_bytes_under_any_key(objects: ObjectHarness) {
    let bodies = [Bytes::new(), Bytes::from(vec![0xff; MAX_OBJECT_BYTES])];
    for name in ["a", "a/b", "a b?c#d%2F", "über/..", "a//b"] {
        for body in &bodies {
            objects.port.put(&key(name), body.clone()).await.unwrap();
            let found = objects.port.get(&key(name)).await.unwrap();
            assert_eq!(found.as_ref(), Some(body), "{name}");
        }
        assert_eq!(objects.stand_in.keys(), [key(name)]);
        for _ in 0..2 {
            objects.port.delete(&key(name)).await.unwrap();
        }
        assert_eq!(objects.port.get(&key(name)).await, Ok(None), "{name}");
    }
}

async fn refuses_objects_above_the_size_limit(objects: ObjectHarness) {
    let body = Bytes::from(vec![0; MAX_OBJECT_BYTES + 1]);
    let answer = objects.port.put(&key("a"), body).await;
    assert_eq!(answer, Err(ObjectError::TooLarge));
    assert_eq!(objects.stand_in.keys(), []);
}

async fn a_failed_write_reports_whether_it_may_have_run(objects: ObjectHarness) {
    let cases = [
        (FaultKind::LoseRequest, ObjectError::Unknown, false),
        (FaultKind::LoseAnswer, ObjectError::Unknown, true),
        (FaultKind::CutAnswer, ObjectError::Unknown, true),
        (FaultKind::Refuse, ObjectError::Refused, false),
    ];
    for (fault, error, effect) in cases {
        let name = key(&format!("{fault:?}"));
        objects.stand_in.faults().queue_fault(CallKind::Put, fault);
        let answer = objects.port.put(&name, Bytes::from_static(b"1")).await;
        assert_eq!(answer, Err(error), "{fault:?}");
        let found = objects.port.get(&name).await.unwrap();
        assert_eq!(found.is_some(), effect, "{fault:?}");
    }
}

/// A write that is delivered again must not corrupt the object or create another one.
async fn a_write_delivered_twice_is_one_object(objects: ObjectHarness) {
    let twice = FaultKind::Duplicate(Duration::from_millis(10));
    objects.stand_in.faults().queue_fault(CallKind::Put, twice);
    let body = Bytes::from_static(b"1");
    objects.port.put(&key("a"), body.clone()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert_eq!(objects.port.get(&key("a")).await, Ok(Some(body)));
    assert_eq!(objects.stand_in.keys().len(), 1);
}

/// An outage must not look like an absent object. Otherwise an existing snapshot is taken for absent, and a daemon
/// starts from empty state.
async fn an_outage_is_never_an_absent_object(objects: ObjectHarness) {
    let body = Bytes::from_static(b"1");
    objects.port.put(&key("a"), body).await.unwrap();
    for fault in [
        FaultKind::Refuse,
        FaultKind::LoseRequest,
        FaultKind::CutAnswer,
        FaultKind::Unreachable,
    ] {
        let outage = OutageState::Down(fault);
        objects.stand_in.faults().set_outage(outage);
        let found = objects.port.get(&key("a")).await;
        assert!(found.is_err(), "{fault:?} gave {found:?}");
    }
}

contract!(
    [
        stores_any_bytes_under_any_key,
        refuses_objects_above_the_size_limit,
        a_failed_write_reports_whether_it_may_have_run,
        a_write_delivered_twice_is_one_object,
        an_outage_is_never_an_absent_object,
    ],
    in_memory => crate::harness::objects_in_memory,
    over_http => crate::harness::objects_over_http,
);

#[tokio::test]
async fn a_silent_store_times_out_with_an_unknown_outcome() {
    for (fault, effect) in [
        (FaultKind::Slow(ENDLESS_DELAY), None),
        (FaultKind::SlowAnswer(ENDLESS_DELAY), Some(Bytes::new())),
    ] {
        let objects = harness::objects_over_http(SHORT_TIMEOUT).await;
        objects.port.get(&key("a")).await.unwrap();
        objects.stand_in.faults().queue_fault(CallKind::Put, fault);
        let answer = objects.port.put(&key("a"), Bytes::new()).await;
        assert_eq!(answer, Err(ObjectError::Unknown), "{fault:?}");
        assert_eq!(objects.port.get(&key("a")).await, Ok(effect), "{fault:?}");
    }
}
