//! What operators see of the members.

use jasminebend_base::{
    ConfigurationVersion,
    DomainName,
    DomainState,
    SeatNumber, //
};
use serde::Serialize;

/// What operators see of the members, as this daemon knows it.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ClusterStatus {
    /// The seat of this daemon, if it has one.
    pub seat: Option<SeatNumber>,
    /// Whether this daemon may start work.
    pub may_start: bool,
    /// Whether this daemon read the table lately.
    pub table_fresh: bool,
    /// Whether more than half of the members vouch for this daemon.
    pub peers_vouch: bool,
    /// The version that this daemon acts by.
    pub in_force: ConfigurationVersion,
    /// The newest version known to be accepted.
    pub accepted: ConfigurationVersion,
    /// The newest version known to be proposed or accepted.
    pub announced: ConfigurationVersion,
    /// The members by seat; empty seats are left out.
    pub members: Vec<MemberStatus>,
    /// The failure domains.
    pub domains: Vec<DomainStatus>,
    /// Slot shares that nobody may use now, because their daemon is not known to be gone.
    pub slots_unusable: usize,
    /// Shards that nobody holds.
    pub shards_unheld: usize,
}

/// What operators see of one member.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The seat.
    pub seat: SeatNumber,
    /// The seat's incarnation; differs after each restart.
    pub incarnation: u64,
    /// Where peers reach it.
    pub peer: String,
    /// Where operators reach it.
    pub admin: Option<String>,
    /// The failure domain that it lies in.
    pub domain: DomainName,
    /// Whether this daemon heard it lately.
    pub heard: bool,
    /// The version that it acts by, if it was heard lately.
    pub in_force: Option<ConfigurationVersion>,
    /// How many slot shares it holds.
    pub slots: usize,
    /// How many shards it holds.
    pub shards: usize,
}

/// What operators see of one failure domain.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct DomainStatus {
    /// The domain.
    pub name: DomainName,
    /// What operators set.
    pub state: DomainState,
    /// Whether every shard's owner acts by it, so that nothing starts there any more.
    pub confirmed: bool,
    /// The seats of shard owners that have not confirmed it.
    pub waiting_for: Vec<SeatNumber>,
}
