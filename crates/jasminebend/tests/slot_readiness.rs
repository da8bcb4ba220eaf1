//! A daemon is ready only once its gateway uses the daemon's slots.

use std::time::Duration;

use jasminebend::{
    SLOT_READY_DELAY,
    SlotReadiness, //
};

/// Guards against a new daemon that is ready as soon as it holds its first slots: its first callers would be refused,
/// because its gateway has not checked the held slots yet.
#[test]
fn held_slots_become_ready_after_the_delay() {
    let mut readiness = SlotReadiness::new();
    let step = Duration::from_millis(1);
    assert!(!readiness.observe(step, true));
    assert!(!readiness.observe(SLOT_READY_DELAY, true));
    assert!(readiness.observe(SLOT_READY_DELAY + step, true));
}

#[test]
fn losing_the_slots_restarts_the_delay() {
    let mut readiness = SlotReadiness::new();
    readiness.observe(Duration::ZERO, true);
    assert!(readiness.observe(SLOT_READY_DELAY, true));
    assert!(!readiness.observe(SLOT_READY_DELAY, false));
    assert!(!readiness.observe(SLOT_READY_DELAY * 2, true));
    assert!(readiness.observe(SLOT_READY_DELAY * 3, true));
}
