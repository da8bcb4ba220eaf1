//! The overload control of one worker: throttle, evict with a checkpoint, stop.

use std::time::Duration;

use crate::{
    OverloadAction,
    OverloadReading, //
};

/// Ratio of latency to target above which the throttle level rises.
const OVERLOAD_LATENCY_RATIO: f64 = 1.0;
/// Ratio of latency to target below which a reading counts as calm.
const CALM_LATENCY_RATIO: f64 = 0.85;
/// Consecutive readings over the target that raise the level.
const READINGS_TO_RAISE: u32 = 2;
/// Consecutive calm readings needed to lower the level.
const READINGS_TO_LOWER: u32 = 3;
/// How long the worker must be calm before the level is lowered. Doubled each time that the
/// overload returns soon after, up to `MAX_CALM_DURATION`.
const MIN_CALM_DURATION: Duration = Duration::from_secs(30);
const MAX_CALM_DURATION: Duration = Duration::from_secs(480);
/// Share of the memory in use from which a task is evicted at once.
const EVICT_MEMORY_SHARE: f64 = 0.95;
/// Share of the memory in use above which a task is stopped without a checkpoint.
const STOP_MEMORY_SHARE: f64 = 1.0;
/// Speed of the throttled tasks at each level, in thousandths of full speed.
const SPEED_MILLIS_BY_LEVEL: [u32; 3] = [1000, 500, 250];

/// Decides when the batch tasks that cause an overload of one worker are throttled, evicted or
/// stopped. Measurements arrive late, so a level is judged only by readings made after it was set;
/// otherwise the readings of a single peak would raise it to the maximum. To prevent oscillation
/// under a load that rises and falls, each return of the overload doubles the calm time needed to
/// lower the level.
#[derive(Clone, Debug)]
pub struct OverloadController {
    /// The index of the present speed in `SPEED_MILLIS_BY_LEVEL`; zero is not throttled.
    level: usize,
    /// When the level last changed or a task was last evicted or stopped.
    last_action: Duration,
    /// Consecutive readings over the target.
    overload_readings: u32,
    /// Consecutive calm readings.
    calm_readings: u32,
    /// When the first of these calm readings was measured.
    calm_since: Option<Duration>,
    /// How long the worker must be calm before the level is lowered.
    required_calm: Duration,
    /// When the level was last lowered, if it was not raised since.
    last_lowered: Option<Duration>,
}

impl Default for OverloadController {
    fn default() -> Self {
        Self {
            level: 0,
            last_action: Duration::ZERO,
            overload_readings: 0,
            calm_readings: 0,
            calm_since: None,
            required_calm: MIN_CALM_DURATION,
            last_lowered: None,
        }
    }
}

impl OverloadController {
    /// Creates a controller that does not throttle.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the speed to which batch tasks are throttled, in thousandths of full speed.
    pub fn speed_millis(&self) -> u32 {
        SPEED_MILLIS_BY_LEVEL[self.level]
    }

    /// Continues from the level of a worker whose tasks were found throttled to `speed_millis`;
    /// never lowers the level.
    pub fn resume_from_speed(&mut self, speed_millis: u32) {
        let level = SPEED_MILLIS_BY_LEVEL
            .iter()
            .position(|speed| *speed <= speed_millis);
        self.level = self
            .level
            .max(level.unwrap_or(SPEED_MILLIS_BY_LEVEL.len() - 1));
    }

    /// Evaluates a reading that arrived at `now`, and returns the action to take.
    pub fn observe(&mut self, now: Duration, reading: &OverloadReading) -> OverloadAction {
        // A prediction includes the latest change of the level; a measurement may be older than it.
        if reading.predicted_ratio > OVERLOAD_LATENCY_RATIO {
            return self.raise_level(now);
        }
        if reading.measured_at < self.last_action {
            return OverloadAction::NoChange;
        }
        if reading.memory_share >= EVICT_MEMORY_SHARE {
            return self.act_on_memory_share(now, reading.memory_share);
        }
        if reading.latency_ratio > OVERLOAD_LATENCY_RATIO {
            return self.record_overload(now);
        }
        self.overload_readings = 0;
        if reading.latency_ratio < CALM_LATENCY_RATIO
            && reading.unthrottled_ratio < OVERLOAD_LATENCY_RATIO
        {
            return self.record_calm(now, reading.measured_at);
        }
        self.calm_readings = 0;
        self.calm_since = None;
        OverloadAction::NoChange
    }

    fn act_on_memory_share(&mut self, now: Duration, share: f64) -> OverloadAction {
        self.last_action = now;
        match share > STOP_MEMORY_SHARE {
            true => OverloadAction::Stop,
            false => OverloadAction::Evict,
        }
    }

    fn record_overload(&mut self, now: Duration) -> OverloadAction {
        self.overload_readings += 1;
        if self.overload_readings < READINGS_TO_RAISE {
            return OverloadAction::NoChange;
        }
        self.raise_level(now)
    }

    fn raise_level(&mut self, now: Duration) -> OverloadAction {
        self.overload_readings = 0;
        self.calm_readings = 0;
        self.calm_since = None;
        self.last_action = now;
        self.adjust_required_calm(now);
        if self.level + 1 < SPEED_MILLIS_BY_LEVEL.len() {
            self.level += 1;
            return OverloadAction::Throttle(self.speed_millis());
        }
        OverloadAction::Evict
    }

    fn adjust_required_calm(&mut self, now: Duration) {
        let Some(last_lowered) = self.last_lowered.take() else {
            return;
        };
        let soon = now.saturating_sub(last_lowered) < self.required_calm * 4;
        self.required_calm = match soon {
            true => (self.required_calm * 2).min(MAX_CALM_DURATION),
            false => MIN_CALM_DURATION,
        };
    }

    fn record_calm(&mut self, now: Duration, measured: Duration) -> OverloadAction {
        self.calm_readings += 1;
        let since = *self.calm_since.get_or_insert(measured);
        let calm = measured.saturating_sub(since) >= self.required_calm;
        if self.level == 0 || self.calm_readings < READINGS_TO_LOWER || !calm {
            return OverloadAction::NoChange;
        }
        self.calm_readings = 0;
        self.calm_since = None;
        self.last_action = now;
        self.last_lowered = Some(now);
        self.level -= 1;
        OverloadAction::Throttle(self.speed_millis())
    }
}
