//! The port to the clock.

use std::time::{
    Duration,
    SystemTime, //
};

/// The port to the clock.
pub trait ClockSource: Send + Sync {
    /// Returns the time since an arbitrary origin that is fixed for this process; it never
    /// decreases. Deadlines and leases are measured by it.
    fn monotonic(&self) -> Duration;

    /// Returns the wall-clock time. It is for logs and for display only, because it may jump; no
    /// decision depends on it.
    fn wall(&self) -> SystemTime;
}
