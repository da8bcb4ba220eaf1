//! When the store counts as failing, and when as available again.

use std::time::Duration;

use jasminebend_fleet::StoreHealth;

const fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn failing_at(millis: u64) -> StoreHealth {
    let mut health = StoreHealth::new();
    health.record_failure(at(0), at(millis));
    health
}

/// Guards against taking the store for available too early: the answer to a call from before the outage arrived late.
#[test]
fn an_answer_to_a_call_from_before_the_outage_does_not_end_it() {
    let mut health = failing_at(1200);
    assert!(!health.record_answer(at(1100)));
    assert!(health.is_failing());
    assert!(health.record_answer(at(1200)));
    assert!(!health.is_failing());
}

/// Guards against taking the store for lost while it answers: one connection went silent, and the call on it timed out
/// after newer calls had been answered.
#[test]
fn a_late_failure_beside_newer_answers_is_no_outage() {
    let mut health = StoreHealth::new();
    health.record_answer(at(500));
    health.record_failure(at(100), at(1300));
    assert!(!health.is_failing());
    health.record_failure(at(600), at(1800));
    assert!(health.is_failing());
}

#[test]
fn an_outage_lasts_from_its_first_failure() {
    let mut health = failing_at(400);
    health.record_failure(at(300), at(900));
    assert_eq!(health.failing_for(at(1000)), at(600));
    health.record_answer(at(950));
    assert_eq!(health.failing_for(at(1000)), at(0));
}

#[test]
fn the_store_is_available_since_the_call_that_ended_the_outage() {
    let mut health = StoreHealth::new();
    assert_eq!(health.available_for(at(5000)), Duration::MAX);
    health.record_failure(at(5000), at(5100));
    assert_eq!(health.available_for(at(6000)), Duration::ZERO);
    health.record_answer(at(7000));
    assert_eq!(health.available_for(at(7300)), at(300));
}
