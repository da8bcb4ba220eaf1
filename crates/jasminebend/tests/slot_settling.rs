//! The balancer is told of a daemon only once its gateway uses the daemon's slots.

use std::time::Duration;

use jasminebend::{
    SETTLING,
    SlotSettling, //
};

/// Operators replace an entry VM. The new daemon takes its first slots, says at once that it is
/// ready, and its first callers are refused, because its gateway has not looked at the slots yet.
#[test]
fn slots_settle_before_callers_come() {
    let mut settling = SlotSettling::new();
    let step = Duration::from_millis(1);
    assert!(!settling.observe(step, true));
    assert!(!settling.observe(SETTLING, true));
    assert!(settling.observe(SETTLING + step, true));
}

#[test]
fn slots_that_were_lost_settle_anew() {
    let mut settling = SlotSettling::new();
    settling.observe(Duration::ZERO, true);
    assert!(settling.observe(SETTLING, true));
    assert!(!settling.observe(SETTLING, false));
    assert!(!settling.observe(SETTLING * 2, true));
    assert!(settling.observe(SETTLING * 3, true));
}
