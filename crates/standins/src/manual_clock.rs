//! A clock for tests that moves only when it is advanced.

use std::{
    sync::{
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        SystemTime, //
    },
};

use jasminebend_ports::ClockSource;

/// A clock for tests that moves only when it is advanced. Its wall time starts at the Unix epoch.
#[derive(Debug, Default)]
pub struct ManualClock {
    /// The time since the clock's origin.
    now: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock at zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }
}

impl ClockSource for ManualClock {
    fn monotonic(&self) -> Duration {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.monotonic()
    }
}
