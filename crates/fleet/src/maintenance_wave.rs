//! A maintenance wave that the operator requests.

use std::{
    sync::Arc,
    time::Duration, //
};

/// A maintenance wave: each of these VMs goes down for maintenance once, at most `max_down` of them at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct MaintenanceWave {
    /// The wave's number, which identifies it.
    pub number: u64,
    /// The names of the VMs.
    pub vms: Vec<Arc<str>>,
    /// The time within which the whole wave should be completed.
    pub duration: Duration,
    /// The most VMs of the wave that may be down at the same time.
    pub max_down: usize,
}
