//! The port of the clock.

use std::time::{
    Duration,
    SystemTime, //
};

/// The port of the clock.
pub trait ClockSource: Send + Sync {
    /// Returns the time since an origin of this process's own; it never goes back. Deadlines and
    /// leases are counted on it.
    fn monotonic(&self) -> Duration;

    /// Returns the time of day, for logs and for people; no decision rests on it.
    fn wall(&self) -> SystemTime;
}
