//! What every adapter of the object store must do. A new adapter is one more line at the end.

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
    FOREVER,
    IMPATIENT,
    LARGEST,
    ObjectHarness, //
};

fn key(text: &str) -> ObjectKey {
    ObjectKey::from(text)
}

async fn keeps_any_bytes_under_any_key(objects: ObjectHarness) {
    let bodies = [Bytes::new(), Bytes::from(vec![0xff; LARGEST])];
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

async fn refuses_what_is_too_large(objects: ObjectHarness) {
    let body = Bytes::from(vec![0; LARGEST + 1]);
    let answer = objects.port.put(&key("a"), body).await;
    assert_eq!(answer, Err(ObjectError::TooLarge));
    assert_eq!(objects.stand_in.keys(), []);
}

async fn tells_the_truth_about_a_failed_write(objects: ObjectHarness) {
    let cases = [
        (FaultKind::LoseRequest, ObjectError::Unknown, false),
        (FaultKind::LoseAnswer, ObjectError::Unknown, true),
        (FaultKind::CutAnswer, ObjectError::Unknown, true),
        (FaultKind::Refuse, ObjectError::Refused, false),
    ];
    for (fault, error, effect) in cases {
        let name = key(&format!("{fault:?}"));
        objects.stand_in.faults().once(CallKind::Put, fault);
        let answer = objects.port.put(&name, Bytes::from_static(b"1")).await;
        assert_eq!(answer, Err(error), "{fault:?}");
        let found = objects.port.get(&name).await.unwrap();
        assert_eq!(found.is_some(), effect, "{fault:?}");
    }
}

/// An object is damaged: its write was delivered a second time, late. The same bytes change nothing.
async fn a_write_delivered_twice_is_one_object(objects: ObjectHarness) {
    let twice = FaultKind::Duplicate(Duration::from_millis(10));
    objects.stand_in.faults().once(CallKind::Put, twice);
    let body = Bytes::from_static(b"1");
    objects.port.put(&key("a"), body.clone()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(30)).await;
    assert_eq!(objects.port.get(&key("a")).await, Ok(Some(body)));
    assert_eq!(objects.stand_in.keys().len(), 1);
}

/// A snapshot that exists is taken for absent, and the state starts over: an outage's refusal was
/// read as "no such object".
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
        keeps_any_bytes_under_any_key,
        refuses_what_is_too_large,
        tells_the_truth_about_a_failed_write,
        a_write_delivered_twice_is_one_object,
        an_outage_is_never_an_absent_object,
    ],
    in_memory => crate::harness::objects_in_memory,
    over_http => crate::harness::objects_over_http,
);

#[tokio::test]
async fn a_silent_store_gives_an_unknown_outcome_in_time() {
    for (fault, effect) in [
        (FaultKind::Slow(FOREVER), None),
        (FaultKind::SlowAnswer(FOREVER), Some(Bytes::new())),
    ] {
        let objects = harness::objects_over_http(IMPATIENT).await;
        objects.port.get(&key("a")).await.unwrap();
        objects.stand_in.faults().once(CallKind::Put, fault);
        let answer = objects.port.put(&key("a"), Bytes::new()).await;
        assert_eq!(answer, Err(ObjectError::Unknown), "{fault:?}");
        assert_eq!(objects.port.get(&key("a")).await, Ok(effect), "{fault:?}");
    }
}
