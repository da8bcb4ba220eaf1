//! A late measurement of a service.

use std::time::Duration;

use crate::{
    ClassKey,
    LoadLevel, //
};

/// A late measurement of a service, with the classes that shared its VM when it was made.
#[derive(Clone, Copy, Debug)]
pub struct ServiceReading<'a> {
    /// The service's class.
    pub service: ClassKey,
    /// The time that 99 of 100 of its requests stayed below.
    pub latency_p99: Duration,
    /// Its load then.
    pub level: LoadLevel,
    /// The classes that shared the VM then, with the number of tasks of each.
    pub company: &'a [(ClassKey, u16)],
}
