//! A clock that stands still until it is moved.

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

/// A clock that stands still until it is moved.
#[derive(Debug, Default)]
pub struct ManualClock {
    now: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock at its origin.
    pub fn new() -> Self {
        Self::default()
    }

    /// Moves the clock on.
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
