//! Throttle, evict, stop.

use std::time::Duration;

use jasminebend_placement::{
    LadderAction,
    LadderReading,
    LoadLadder, //
};

const LAG: u64 = 20;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Feeds readings every five seconds, each `LAG` late; returns the actions with their times.
fn climb<Ratio>(until: u64, ratio: Ratio) -> Vec<(u64, LadderAction)>
where
    Ratio: Fn(u64, u32) -> f64,
{
    let mut ladder = LoadLadder::new();
    let mut speeds = vec![(0, 1000)];
    let mut actions = Vec::new();
    for now in (LAG..until).step_by(5) {
        let made = now - LAG;
        let speed = speeds
            .iter()
            .rev()
            .find(|(since, _)| *since <= made)
            .unwrap()
            .1;
        let reading = LadderReading {
            measured: seconds(made),
            latency_ratio: ratio(made, speed),
            predicted_ratio: 0.0,
            lifted_ratio: 0.0,
            memory_share: 0.5,
        };
        let action = ladder.observe(seconds(now), &reading);
        if action != LadderAction::Hold {
            actions.push((now, action));
            speeds.push((now, ladder.speed_millis()));
        }
    }
    actions
}

#[test]
fn pressure_that_stays_climbs_rung_by_rung_each_judged_by_later_readings() {
    let actions = climb(300, |_, _| 1.3);
    assert_eq!(actions[0], (LAG + 5, LadderAction::Throttle(500)));
    assert_eq!(actions[1].1, LadderAction::Throttle(250));
    assert_eq!(actions[2].1, LadderAction::Evict);
    for pair in actions.windows(2) {
        assert!(pair[1].0 - pair[0].0 >= LAG, "{actions:?}");
    }
}

#[test]
fn one_slow_reading_or_a_full_but_fast_worker_does_nothing() {
    assert!(climb(600, |made, _| if made == 100 { 3.0 } else { 0.9 }).is_empty());
}

#[test]
fn a_throttle_that_helps_is_kept_and_lifted_after_calm() {
    let actions = climb(600, |made, speed| match (made < 60, speed) {
        (true, 1000) => 1.3,
        _ => 0.5,
    });
    let expected = [LadderAction::Throttle(500), LadderAction::Throttle(1000)];
    assert_eq!(
        actions
            .iter()
            .map(|(_, action)| *action)
            .collect::<Vec<_>>(),
        expected
    );
}

// The load jumps up and down for hours. Each time it falls the throttle is lifted, and each time it
// rises the service is slow until the late readings come: the ladder swings with the load.
#[test]
fn a_square_wave_swings_the_ladder_less_and_less() {
    let wave = |made: u64, speed: u32| match (made / 120) % 2 {
        0 => 1.4 * f64::from(speed) / 1000.0 + 0.3,
        _ => 0.4,
    };
    let actions = climb(4 * 3600, wave);
    let hours = |hour: u64| {
        let within = |(time, _): &&(u64, LadderAction)| *time / 3600 == hour;
        actions.iter().filter(within).count()
    };
    assert!(hours(0) <= 20, "{} in the first hour", hours(0));
    assert!(hours(3) <= 4, "{} in the fourth", hours(3));
    assert!(
        actions
            .iter()
            .all(|(_, action)| *action != LadderAction::Evict)
    );
}

#[test]
fn memory_is_relieved_at_once() {
    let mut ladder = LoadLadder::new();
    let mut reading = LadderReading {
        measured: seconds(10),
        latency_ratio: 0.1,
        predicted_ratio: 0.0,
        lifted_ratio: 0.0,
        memory_share: 0.97,
    };
    assert_eq!(ladder.observe(seconds(20), &reading), LadderAction::Evict);
    assert_eq!(ladder.observe(seconds(21), &reading), LadderAction::Hold);
    reading.measured = seconds(30);
    reading.memory_share = 1.1;
    assert_eq!(ladder.observe(seconds(40), &reading), LadderAction::Stop);
}
