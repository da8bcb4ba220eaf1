//! Settings of the dispatcher.

use std::time::Duration;

use crate::PolicySwitches;

/// Settings of the dispatcher; most are limits of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// The duration of a worker's lease without a renewal. Tasks of a worker that fell silent wait
    /// for its expiry. A renewal is sent every 2 s, and an owner that died is replaced within 2 s.
    pub lease: Duration,
    /// The longest time that a worker waits for a run to end before it answers a renewal.
    pub max_renewal_wait: Duration,
    /// The time for which an owner continues to send orders after its ownership was last confirmed.
    pub unconfirmed: Duration,
    /// The longest time that stopping a run takes.
    pub stop: Duration,
    /// The factor by which a task takes longer on another rack than its data's.
    pub remote_factor: f64,
    /// The time for which fillers may slow a service down beyond its target.
    pub harm: Duration,
    /// The time for which a service's task counts as absent after its loss.
    pub notice: Duration,
    /// How much earlier than its due time an occurrence may start.
    pub early: Duration,
    /// The parts of the policy that are switched off, for trials.
    pub switches: PolicySwitches,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
            max_renewal_wait: Duration::from_secs(2),
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
