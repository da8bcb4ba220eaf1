//! The settings of the cluster part.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use jasminebend_base::{
    DomainName,
    VmName, //
};
use jasminebend_ownership::OwnershipSettings;
use jasminebend_wire::{
    KeyRing,
    PeerKey, //
};

const DEFAULT_SEATS: u8 = 7;
const DEFAULT_SLOT_SHARES: u16 = 70;
const DEFAULT_SHARDS: u16 = 7;

/// The settings of the cluster part. Seats, slot shares and shards must be the same at all daemons.
#[derive(Clone, Debug)]
pub struct ClusterSettings {
    pub(crate) peer_listen: SocketAddr,
    pub(crate) admin_address: Option<SocketAddr>,
    pub(crate) domain: DomainName,
    pub(crate) vm: Option<VmName>,
    pub(crate) keys: KeyRing,
    pub(crate) rule: OwnershipSettings,
    pub(crate) tick: Duration,
    pub(crate) poll: Duration,
    pub(crate) vm_poll: Duration,
    pub(crate) vm_absence: Duration,
    pub(crate) proposal_timeout: Duration,
}

impl ClusterSettings {
    /// Creates settings with the default sizes and durations.
    pub fn new(peer_listen: SocketAddr, domain: DomainName, key: PeerKey) -> Self {
        Self {
            peer_listen,
            admin_address: None,
            domain,
            vm: None,
            keys: KeyRing::new(key),
            rule: OwnershipSettings::new(DEFAULT_SEATS, DEFAULT_SLOT_SHARES, DEFAULT_SHARDS),
            tick: Duration::from_millis(100),
            poll: Duration::from_secs(1),
            vm_poll: Duration::from_secs(5),
            vm_absence: Duration::from_secs(150),
            proposal_timeout: Duration::from_secs(10),
        }
    }

    /// Uses this many seats, from 1 to 64.
    pub fn with_seats(mut self, seats: u8) -> Self {
        self.rule.seats = seats;
        self
    }

    /// Uses this many slot shares.
    pub fn with_slot_shares(mut self, slot_shares: u16) -> Self {
        self.rule.slot_shares = slot_shares;
        self
    }

    /// Uses this many shards.
    pub fn with_shards(mut self, shards: u16) -> Self {
        self.rule.shards = shards;
        self
    }

    /// Names the address of the administration API, which `status` shows.
    pub fn with_admin_address(mut self, address: SocketAddr) -> Self {
        self.admin_address = Some(address);
        self
    }

    /// Names the VM that this daemon runs on, as the VM list does.
    pub fn with_vm(mut self, vm: VmName) -> Self {
        self.vm = Some(vm);
        self
    }

    /// Accepts another peer key too, for replacing keys without a restart.
    pub fn with_next_key(mut self, key: PeerKey) -> Self {
        self.keys = self.keys.with_next(key);
        self
    }

    /// Sets the longest request there may be: slots taken from a lost daemon stay idle that long.
    pub fn with_longest_request(mut self, longest: Duration) -> Self {
        self.rule.longest_request = longest;
        self
    }

    /// Sets how long a read of the table, or the word of more than half of the members, allows to
    /// start work.
    pub fn with_freshness(mut self, freshness: Duration) -> Self {
        self.rule.validity_period = freshness;
        self
    }

    /// Sets how often peers are asked.
    pub fn with_heartbeat(mut self, heartbeat: Duration) -> Self {
        self.rule.heartbeat_interval = heartbeat;
        self
    }

    /// Sets how often the table is polled.
    pub fn with_poll(mut self, poll: Duration) -> Self {
        self.poll = poll;
        self
    }

    /// Sets how often the VM list is read, and how long a daemon's VM must be absent from it until
    /// the daemon counts as gone; the latter must be longer than twice the list's lag.
    pub fn with_vm_list(mut self, poll: Duration, absence: Duration) -> Self {
        self.vm_poll = poll;
        self.vm_absence = absence;
        self
    }

    /// Sets how long an operator waits for a change at the most.
    pub fn with_proposal_timeout(mut self, timeout: Duration) -> Self {
        self.proposal_timeout = timeout;
        self
    }
}
