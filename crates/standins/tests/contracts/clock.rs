//! Contract tests of clocks.

use std::time::Duration;

use jasminebend_ports::{
    ClockSource,
    SystemClock, //
};
use jasminebend_standins::ManualClock;

fn check_monotonic<Clock>(clock: &Clock)
where
    Clock: ClockSource,
{
    let mut last = Duration::ZERO;
    for _ in 0..1000 {
        let now = clock.monotonic();
        assert!(now >= last);
        last = now;
    }
}

#[test]
fn the_system_clock_is_monotonic() {
    check_monotonic(&SystemClock::new());
}

#[test]
fn the_manual_clock_is_monotonic() {
    check_monotonic(&ManualClock::new());
}

#[test]
fn the_manual_clock_moves_only_when_advanced() {
    let clock = ManualClock::new();
    clock.advance(Duration::from_secs(3));
    assert_eq!(clock.monotonic(), Duration::from_secs(3));
}

#[tokio::test(start_paused = true)]
async fn the_system_clock_follows_a_paused_runtime() {
    let clock = SystemClock::new();
    tokio::time::advance(Duration::from_secs(3600)).await;
    assert_eq!(clock.monotonic(), Duration::from_secs(3600));
}
