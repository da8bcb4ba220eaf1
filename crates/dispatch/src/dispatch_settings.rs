//! Settings of the dispatcher.

use std::time::Duration;

use crate::PolicySwitches;

/// Settings of the dispatcher; most are limits of the platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchSettings {
    /// The duration of a worker's lease without a renewal. Tasks of a worker that fell silent wait
    /// for its expiry. A renewal is sent every 2 s, and an owner that died is replaced within 2 s. The worker is told a
    /// deadline that is earlier by `max_stop_duration`, so that its runs have ended when the lease expires.
    pub lease_duration: Duration,
    /// The longest lease that a worker accepts.
    pub max_lease_duration: Duration,
    /// The largest difference between this process's wall clock and a worker's.
    pub max_clock_skew: Duration,
    /// The longest time for which the registry lists a worker after its last heartbeat.
    pub registration_expiry: Duration,
    /// The time after its last renewal at which a draining worker is told to end its runs. Only the lapse of its lease shows
    /// that it has left; the shorter the lease, the sooner its tasks start elsewhere, and the sooner a takeover outlasts it.
    pub draining_lease_duration: Duration,
    /// The longest time that a worker waits for a run to end before it answers a renewal.
    pub max_renewal_wait: Duration,
    /// The time for which an owner continues to send orders after its ownership was last confirmed.
    pub unconfirmed_grace: Duration,
    /// The longest time that a worker takes to end a run after a stop, or after its deadline.
    pub max_stop_duration: Duration,
    /// The factor by which a task takes longer on another rack than its data's.
    pub remote_factor: f64,
    /// The time for which fillers may slow a service down beyond its target.
    pub max_interference: Duration,
    /// The time for which a service's task counts as absent after its loss.
    pub unavailability_notice: Duration,
    /// How much earlier than its due time an occurrence may start.
    pub early_start: Duration,
    /// The parts of the policy that are switched off, for trials.
    pub switches: PolicySwitches,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(5),
            max_lease_duration: Duration::from_secs(10),
            max_clock_skew: Duration::from_secs(5),
            registration_expiry: Duration::from_millis(4500),
            draining_lease_duration: Duration::from_secs(2),
            max_renewal_wait: Duration::from_secs(2),
            unconfirmed_grace: Duration::from_millis(2000),
            max_stop_duration: Duration::from_millis(900),
            remote_factor: 2.0,
            max_interference: Duration::from_secs(4),
            unavailability_notice: Duration::from_millis(4500),
            early_start: Duration::ZERO,
            switches: PolicySwitches::default(),
        }
    }
}
