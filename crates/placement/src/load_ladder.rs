//! Throttle, checkpoint and evict, stop.

use std::time::Duration;

use crate::{
    LadderAction,
    LadderReading, //
};

/// Latency over target from which a rung is climbed, and below which one is climbed down.
const HIGH: f64 = 1.0;
const LOW: f64 = 0.85;
/// The readings in a row that it takes to climb up and down.
const READINGS_UP: u32 = 2;
const READINGS_DOWN: u32 = 3;
/// How long the worker must have been calm before it climbs down; doubled each time that pressure
/// comes back soon after, up to the limit.
const CALM_TIME: Duration = Duration::from_secs(30);
const CALM_LIMIT: Duration = Duration::from_secs(480);
/// Memory in use from which a task leaves at once, and from which it is not even checkpointed.
const MEMORY_HIGH: f64 = 0.95;
const MEMORY_FULL: f64 = 1.0;
const SPEEDS: [u32; 3] = [1000, 500, 250];

/// The ladder of one worker; its rungs are for the batch tasks that are to blame. Measurements are late, so a rung is judged only by readings made after
/// it was climbed; otherwise the ladder would run to its top on the readings of one peak. A load
/// that comes and goes would swing it: each return of pressure doubles the calm that it takes to
/// climb down.
#[derive(Clone, Debug)]
pub struct LoadLadder {
    rung: usize,
    changed: Duration,
    high: u32,
    low: u32,
    calm_since: Option<Duration>,
    calm_time: Duration,
    descended: Option<Duration>,
}

impl Default for LoadLadder {
    fn default() -> Self {
        Self {
            rung: 0,
            changed: Duration::ZERO,
            high: 0,
            low: 0,
            calm_since: None,
            calm_time: CALM_TIME,
            descended: None,
        }
    }
}

impl LoadLadder {
    /// Creates a ladder at its foot.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the share of their speed that batch tasks have, in thousandths.
    pub fn speed_millis(&self) -> u32 {
        SPEEDS[self.rung]
    }

    /// Goes on from the rung of a worker whose tasks were found throttled.
    pub fn resume(&mut self, speed_millis: u32) {
        let rung = SPEEDS.iter().position(|speed| *speed <= speed_millis);
        self.rung = self.rung.max(rung.unwrap_or(SPEEDS.len() - 1));
    }

    /// Takes a reading in.
    pub fn observe(&mut self, now: Duration, reading: &LadderReading) -> LadderAction {
        // A prediction knows of the rung that was just climbed; a measurement may not yet.
        if reading.predicted_ratio > HIGH {
            return self.climb(now);
        }
        if reading.measured < self.changed {
            return LadderAction::Hold;
        }
        if reading.memory_share >= MEMORY_HIGH {
            return self.relieve_memory(now, reading.memory_share);
        }
        if reading.latency_ratio > HIGH {
            return self.note_high(now);
        }
        self.high = 0;
        if reading.latency_ratio < LOW && reading.lifted_ratio < HIGH {
            return self.note_low(now, reading.measured);
        }
        self.low = 0;
        self.calm_since = None;
        LadderAction::Hold
    }

    fn relieve_memory(&mut self, now: Duration, share: f64) -> LadderAction {
        self.changed = now;
        match share > MEMORY_FULL {
            true => LadderAction::Stop,
            false => LadderAction::Evict,
        }
    }

    fn note_high(&mut self, now: Duration) -> LadderAction {
        self.high += 1;
        if self.high < READINGS_UP {
            return LadderAction::Hold;
        }
        self.climb(now)
    }

    fn climb(&mut self, now: Duration) -> LadderAction {
        self.high = 0;
        self.low = 0;
        self.calm_since = None;
        self.changed = now;
        self.note_return(now);
        if self.rung + 1 < SPEEDS.len() {
            self.rung += 1;
            return LadderAction::Throttle(self.speed_millis());
        }
        LadderAction::Evict
    }

    fn note_return(&mut self, now: Duration) {
        let Some(descended) = self.descended.take() else {
            return;
        };
        let soon = now.saturating_sub(descended) < self.calm_time * 4;
        self.calm_time = match soon {
            true => (self.calm_time * 2).min(CALM_LIMIT),
            false => CALM_TIME,
        };
    }

    fn note_low(&mut self, now: Duration, measured: Duration) -> LadderAction {
        self.low += 1;
        let since = *self.calm_since.get_or_insert(measured);
        let calm = measured.saturating_sub(since) >= self.calm_time;
        if self.rung == 0 || self.low < READINGS_DOWN || !calm {
            return LadderAction::Hold;
        }
        self.low = 0;
        self.calm_since = None;
        self.changed = now;
        self.descended = Some(now);
        self.rung -= 1;
        LadderAction::Throttle(self.speed_millis())
    }
}
