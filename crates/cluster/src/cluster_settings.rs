//! The settings of the cluster part.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use jasminebend_base::{
    DomainName,
    VmName, //
};
use jasminebend_ingress::ConnectionLimits;
use jasminebend_ownership::OwnershipSettings;
use jasminebend_wire::{
    KeyRing,
    PeerKey, //
};

use crate::tcp_link::DEFAULT_PEER_LIMITS;

const DEFAULT_SEATS: u8 = 7;
const DEFAULT_SLOT_SHARES: u16 = 70;
const DEFAULT_SHARDS: u16 = 7;

/// The settings of the cluster part. The numbers of seats, slot shares and shards must be the same at
/// all daemons.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    /// The address on which to listen for peers.
    pub(crate) peer_listen_address: SocketAddr,
    /// What the clients of that address may hold.
    pub(crate) peer_limits: ConnectionLimits,
    /// The address of the administration API as shown in the status; `None` shows no address.
    pub(crate) admin_address: Option<SocketAddr>,
    /// The failure domain of this daemon.
    pub(crate) domain: DomainName,
    /// The name in the VM list of the VM on which this daemon runs; `None` if it is unknown.
    pub(crate) vm: Option<VmName>,
    /// The keys that authenticate frames between daemons.
    pub(crate) keys: KeyRing,
    /// The settings of the ownership protocol.
    pub(crate) ownership: OwnershipSettings,
    /// The interval at which the actor performs what is due.
    pub(crate) tick_interval: Duration,
    /// The mean interval at which the table is polled.
    pub(crate) poll_interval: Duration,
    /// The mean interval at which the VM list is read.
    pub(crate) vm_list_interval: Duration,
    /// How long a VM must be absent from the VM list before its daemon counts as terminated.
    pub(crate) min_vm_absence: Duration,
    /// The maximum duration for which a proposed change is pursued.
    pub(crate) proposal_timeout: Duration,
}

impl ClusterSettings {
    /// Creates settings with the default sizes and durations.
    pub fn new(peer_listen_address: SocketAddr, domain: DomainName, key: PeerKey) -> Self {
        Self {
            peer_listen_address,
            peer_limits: DEFAULT_PEER_LIMITS,
            admin_address: None,
            domain,
            vm: None,
            keys: KeyRing::new(key),
            ownership: OwnershipSettings::new(DEFAULT_SEATS, DEFAULT_SLOT_SHARES, DEFAULT_SHARDS),
            tick_interval: Duration::from_millis(100),
            poll_interval: Duration::from_secs(1),
            vm_list_interval: Duration::from_secs(5),
            min_vm_absence: Duration::from_secs(150),
            proposal_timeout: Duration::from_secs(10),
        }
    }

    /// Sets the most connections of peers, and the most bytes of their incomplete frames.
    pub fn with_peer_limits(mut self, connections: usize, bytes: usize) -> Self {
        self.peer_limits.connections = connections;
        self.peer_limits.request_bytes = bytes;
        self
    }

    /// Sets the number of seats, from 1 to 64.
    pub fn with_seats(mut self, seats: u8) -> Self {
        self.ownership.seats = seats;
        self
    }

    /// Sets the number of slot shares.
    pub fn with_slot_shares(mut self, slot_shares: u16) -> Self {
        self.ownership.slot_shares = slot_shares;
        self
    }

    /// Sets the number of shards.
    pub fn with_shards(mut self, shards: u16) -> Self {
        self.ownership.shards = shards;
        self
    }

    /// Sets the address of the administration API, which the status shows.
    pub fn with_admin_address(mut self, address: SocketAddr) -> Self {
        self.admin_address = Some(address);
        self
    }

    /// Sets the VM on which this daemon runs, by its name in the VM list.
    pub fn with_vm(mut self, vm: VmName) -> Self {
        self.vm = Some(vm);
        self
    }

    /// Accepts a second peer key, so that keys can be replaced without a restart.
    pub fn with_next_key(mut self, key: PeerKey) -> Self {
        self.keys = self.keys.with_next_key(key);
        self
    }

    /// Sets the maximum duration of a request. Slot shares taken over from a lost daemon stay idle for
    /// this long.
    pub fn with_longest_request(mut self, longest: Duration) -> Self {
        self.ownership.longest_request = longest;
        self
    }

    /// Sets how long a daemon may start work after a read of the table, or after a confirmation by
    /// more than half of the members.
    pub fn with_validity_period(mut self, period: Duration) -> Self {
        self.ownership.validity_period = period;
        self
    }

    /// Sets the interval at which peers are asked for confirmation.
    pub fn with_heartbeat_interval(mut self, interval: Duration) -> Self {
        self.ownership.heartbeat_interval = interval;
        self
    }

    /// Sets the mean interval at which the table is polled.
    pub fn with_poll_interval(mut self, interval: Duration) -> Self {
        self.poll_interval = interval;
        self
    }

    /// Sets the mean interval at which the VM list is read, and how long a VM must be absent from the
    /// list before its daemon counts as terminated. The latter must be longer than twice the list's
    /// lag.
    pub fn with_vm_list(mut self, interval: Duration, min_absence: Duration) -> Self {
        self.vm_list_interval = interval;
        self.min_vm_absence = min_absence;
        self
    }

    /// Sets the maximum time for which an operator waits for a proposed change.
    pub fn with_proposal_timeout(mut self, timeout: Duration) -> Self {
        self.proposal_timeout = timeout;
        self
    }
}
