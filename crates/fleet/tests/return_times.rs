//! When callers come back that were refused while the store was away.

use std::time::Duration;

use jasminebend_fleet::return_time;

/// The moments at which a caller that first came `after` the store was lost tries again, if it tries `tries` times.
fn returns(after: Duration, tries: usize) -> Vec<Duration> {
    let mut at = after;
    let next = std::iter::repeat_with(|| {
        // Callers count in whole seconds, rounded up.
        let seconds = return_time(at).as_secs_f64().ceil() as u64;
        at += Duration::from_secs(seconds);
        at
    });
    next.take(tries).collect()
}

/// A booking is given up by its caller: each of its four tries met the same outage of five seconds, since it was told
/// to come back after one second each time.
#[test]
fn a_caller_that_meets_an_outage_early_has_a_try_left_when_it_ends() {
    for millis in (0..5000).step_by(100) {
        let last = returns(Duration::from_millis(millis), 4).pop();
        assert!(last >= Some(Duration::from_secs(5)), "{millis}: {last:?}");
    }
}

#[test]
fn a_short_outage_costs_a_caller_a_second() {
    assert_eq!(return_time(Duration::ZERO), Duration::from_secs(1));
    assert_eq!(
        return_time(Duration::from_millis(1500)),
        Duration::from_secs(1)
    );
}

#[test]
fn a_caller_is_never_sent_away_for_long() {
    assert_eq!(
        return_time(Duration::from_secs(3600)),
        Duration::from_secs(4)
    );
}
