//! Measure of the machine's suspensions.

use std::time::{
    Duration,
    Instant, //
};

use jasminebend_ports::{
    ClockSource,
    SuspensionMeter,
    SystemClock, //
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against an owner that acts on a confirmation from before a suspension: its clock had stood still meanwhile.
#[test]
fn time_of_suspensions_is_measured() {
    let meter = SuspensionMeter::new(ms(1000), ms(61_000));
    assert_eq!(meter.suspended_time(ms(62_000), ms(2000)), Duration::ZERO);
    assert_eq!(meter.suspended_time(ms(69_000), ms(3000)), ms(6000));
    assert_eq!(meter.suspended_time(ms(76_000), ms(8000)), ms(8000));
}

/// Guards against a clock that goes backward: the process was paused between the readings of the two clocks.
#[test]
fn pause_between_the_readings_counts_as_no_suspension() {
    let meter = SuspensionMeter::new(ms(1000), ms(61_000));
    assert_eq!(meter.suspended_time(ms(62_000), ms(2500)), Duration::ZERO);
    assert_eq!(meter.suspended_time(ms(69_000), ms(3000)), ms(6000));
    assert_eq!(meter.suspended_time(ms(70_000), ms(4400)), ms(6000));
}

/// Guards against a clock that counts a suspension where there was none.
#[test]
fn clock_advances_by_the_time_that_passes() {
    let before = Instant::now();
    let clock = SystemClock::new();
    let after = Instant::now();
    let mut last = Duration::ZERO;
    while after.elapsed() < ms(50) {
        let least = after.elapsed();
        let now = clock.monotonic();
        assert!(now >= last && now >= least, "{now:?}");
        assert!(now <= before.elapsed(), "{now:?}");
        last = now;
    }
}
