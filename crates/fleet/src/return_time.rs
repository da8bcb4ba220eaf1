//! When a caller that was refused for want of the store should come back.

use std::time::Duration;

/// The least time: callers count it in whole seconds, and outages last seconds.
const LEAST: Duration = Duration::from_secs(1);
/// The most: a caller that comes back later has mostly gone elsewhere.
const MOST: Duration = Duration::from_secs(4);

/// Returns when a caller that was refused after this time without the store should come back.
///
/// An outage that has lasted for long will last on: half of what it has lasted. Callers come back some few times
/// only, and those that met a long outage early had used up their tries when it ended.
pub fn return_time(without_store: Duration) -> Duration {
    (without_store / 2).clamp(LEAST, MOST)
}
