//! Tests of the overload control of a worker: when it throttles, evicts and stops batch tasks.

use std::time::Duration;

use jasminebend_placement::{
    OverloadAction,
    OverloadController,
    OverloadReading, //
};

const READING_DELAY_SECONDS: u64 = 20;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Feeds a reading every five seconds, each `READING_DELAY_SECONDS` late. `ratio` returns the ratio
/// of latency to target for the time of the measurement, in seconds, and the speed then. Returns
/// the actions other than `Hold` with their times in seconds.
fn actions_until<Ratio>(until: u64, ratio: Ratio) -> Vec<(u64, OverloadAction)>
where
    Ratio: Fn(u64, u32) -> f64,
{
    let mut controller = OverloadController::new();
    let mut speeds = vec![(0, 1000)];
    let mut actions = Vec::new();
    for now in (READING_DELAY_SECONDS..until).step_by(5) {
        let measured_at = now - READING_DELAY_SECONDS;
        let speed = speeds
            .iter()
            .rev()
            .find(|(since, _)| *since <= measured_at)
            .unwrap()
            .1;
        let reading = OverloadReading {
            measured_at: seconds(measured_at),
            latency_ratio: ratio(measured_at, speed),
            predicted_ratio: 0.0,
            unthrottled_ratio: 0.0,
            memory_share: 0.5,
        };
        let action = controller.observe(seconds(now), &reading);
        if action != OverloadAction::NoChange {
            actions.push((now, action));
            speeds.push((now, controller.speed_millis()));
        }
    }
    actions
}

#[test]
fn lasting_overload_raises_the_level_only_on_readings_made_after_the_last_change() {
    let actions = actions_until(300, |_, _| 1.3);
    assert_eq!(
        actions[0],
        (READING_DELAY_SECONDS + 5, OverloadAction::Throttle(500))
    );
    assert_eq!(actions[1].1, OverloadAction::Throttle(250));
    assert_eq!(actions[2].1, OverloadAction::Evict);
    for pair in actions.windows(2) {
        assert!(
            pair[1].0 - pair[0].0 >= READING_DELAY_SECONDS,
            "{actions:?}"
        );
    }
}

#[test]
fn one_slow_reading_or_latency_just_below_the_target_causes_no_action() {
    assert!(
        actions_until(600, |measured_at, _| if measured_at == 100 {
            3.0
        } else {
            0.9
        })
        .is_empty()
    );
}

#[test]
fn an_effective_throttle_is_kept_and_lifted_after_calm() {
    let actions = actions_until(600, |measured_at, speed| match (measured_at < 60, speed) {
        (true, 1000) => 1.3,
        _ => 0.5,
    });
    let expected = [
        OverloadAction::Throttle(500),
        OverloadAction::Throttle(1000),
    ];
    assert_eq!(
        actions
            .iter()
            .map(|(_, action)| *action)
            .collect::<Vec<_>>(),
        expected
    );
}

// Guards against oscillation under a load that jumps up and down for hours: each time the load
// falls the throttle is lifted, and each time it rises the service is slow until the late readings
// arrive.
#[test]
fn a_square_wave_load_changes_the_level_less_and_less_often() {
    let square_wave = |measured_at: u64, speed: u32| match (measured_at / 120) % 2 {
        0 => 1.4 * f64::from(speed) / 1000.0 + 0.3,
        _ => 0.4,
    };
    let actions = actions_until(4 * 3600, square_wave);
    let actions_in_hour = |hour: u64| {
        let is_in_hour = |(time, _): &&(u64, OverloadAction)| *time / 3600 == hour;
        actions.iter().filter(is_in_hour).count()
    };
    assert!(
        actions_in_hour(0) <= 20,
        "{} in the first hour",
        actions_in_hour(0)
    );
    assert!(
        actions_in_hour(3) <= 4,
        "{} in the fourth",
        actions_in_hour(3)
    );
    assert!(
        actions
            .iter()
            .all(|(_, action)| *action != OverloadAction::Evict)
    );
}

#[test]
fn high_memory_use_evicts_or_stops_a_task_at_once() {
    let mut controller = OverloadController::new();
    let mut reading = OverloadReading {
        measured_at: seconds(10),
        latency_ratio: 0.1,
        predicted_ratio: 0.0,
        unthrottled_ratio: 0.0,
        memory_share: 0.97,
    };
    assert_eq!(
        controller.observe(seconds(20), &reading),
        OverloadAction::Evict
    );
    assert_eq!(
        controller.observe(seconds(21), &reading),
        OverloadAction::NoChange
    );
    reading.measured_at = seconds(30);
    reading.memory_share = 1.1;
    assert_eq!(
        controller.observe(seconds(40), &reading),
        OverloadAction::Stop
    );
}
