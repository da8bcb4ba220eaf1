//! The status of the cluster that operators see.

use jasminebend_base::{
    ConfigurationVersion,
    DomainName,
    DomainState,
    SeatNumber, //
};
use serde::Serialize;

/// The status of the cluster that operators see, as known to this daemon.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ClusterStatus {
    /// The seat of this daemon; `None` if it holds none.
    pub seat: Option<SeatNumber>,
    /// Whether this daemon may start work.
    pub may_start: bool,
    /// Whether this daemon read the table within the validity period.
    pub table_fresh: bool,
    /// Whether more than half of the members, this one included, currently confirm that they know no
    /// newer epoch.
    pub peers_vouch: bool,
    /// The configuration version by which this daemon acts.
    pub in_force: ConfigurationVersion,
    /// The newest configuration version known to be accepted.
    pub accepted: ConfigurationVersion,
    /// The newest configuration version known to be announced or accepted.
    pub announced: ConfigurationVersion,
    /// The members in the order of their seats; empty seats are omitted.
    pub members: Vec<MemberStatus>,
    /// The declared failure domains.
    pub domains: Vec<DomainStatus>,
    /// The number of slot shares that no daemon may use, because no member holds them. The shares of
    /// a daemon that lost its seat stay unusable until it is known to have terminated.
    pub slots_unusable: usize,
    /// The number of shards that no member holds.
    pub shards_unheld: usize,
}

/// The status of one member that operators see.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The number of the seat that the member holds.
    pub seat: SeatNumber,
    /// The incarnation of the member: the seat's epoch at which its process took the seat. It differs
    /// after each restart of the daemon.
    pub incarnation: u64,
    /// The address at which peers reach the member.
    pub peer: String,
    /// The address of the member's administration API; `None` if it has none.
    pub admin: Option<String>,
    /// The failure domain of the member.
    pub domain: DomainName,
    /// Whether this daemon recently received a message from the member.
    pub heard: bool,
    /// The configuration version by which the member acts; `None` without a recent message from it.
    pub in_force: Option<ConfigurationVersion>,
    /// The number of slot shares that the member holds.
    pub slots: usize,
    /// The number of shards that the member holds.
    pub shards: usize,
}

/// The status of one failure domain that operators see.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DomainStatus {
    /// The name of the failure domain.
    pub name: DomainName,
    /// The state that operators set.
    pub state: DomainState,
    /// Whether every owner of a shard acts by the configuration in force here, so that no work starts
    /// any more in a domain that is out.
    pub confirmed: bool,
    /// The seats of the shard owners that are not known to act by that configuration yet.
    pub waiting_for: Vec<SeatNumber>,
}
