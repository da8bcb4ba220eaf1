//! A late measurement of a service.

use std::time::Duration;

use crate::ClassKey;

/// A late measurement of a service, with the classes that shared its VM when it was made.
#[derive(Clone, Copy, Debug)]
pub struct ServiceReading<'a> {
    /// When it was made.
    pub measured: Duration,
    /// The service's class.
    pub service: ClassKey,
    /// The time that 99 of 100 of its requests stayed below.
    pub latency_p99: Duration,
    /// Its load then: the processors that it used over those that it declares.
    pub load: f64,
    /// The classes that shared the VM then, each with the number of its tasks, a throttled one counted
    /// as the share of its speed.
    pub company: &'a [(ClassKey, f64)],
}
