//! The adapter to the operating system's clock.

use std::time::{
    Duration,
    SystemTime, //
};

use tokio::time::Instant;

use crate::ClockSource;

/// The adapter to the operating system's clock. Its monotonic time is that of the tokio runtime,
/// and stops while a test pauses the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
}

impl SystemClock {
    /// Creates a clock whose origin is now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for SystemClock {
    fn monotonic(&self) -> Duration {
        self.origin.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
