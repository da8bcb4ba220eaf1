//! The figures that the dispatcher goes by.

use std::time::Duration;

use crate::PolicySwitches;

/// The figures that the dispatcher goes by; most are bounds of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// How long a worker's lease lasts without a renewal. Tasks of a worker that fell silent wait for its
    /// end; a renewal comes every 2 s, and an owner that died is replaced within 2 s.
    pub lease: Duration,
    /// How long a worker waits at most for an end before it answers a renewal.
    pub longest_wait: Duration,
    /// How long an owner goes on giving orders after it was last confirmed that it still is the owner.
    pub unconfirmed: Duration,
    /// How long a stop takes at most.
    pub stop: Duration,
    /// How many times as long a task takes far from its data.
    pub remote_factor: f64,
    /// For how long a service may be harmed by fillers.
    pub harm: Duration,
    /// How long a service's task counts as away after its loss.
    pub notice: Duration,
    /// How much earlier than its time an occurrence may start.
    pub early: Duration,
    /// What a trial does without.
    pub switches: PolicySwitches,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            longest_wait: Duration::from_secs(2),
            unconfirmed: Duration::from_millis(2000),
            stop: Duration::from_millis(900),
            remote_factor: 2.0,
            harm: Duration::from_secs(4),
            notice: Duration::from_millis(4500),
            early: Duration::ZERO,
            switches: PolicySwitches::default(),
        }
    }
}
