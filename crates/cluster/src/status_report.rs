//! Builds the status that operators see.

use std::time::Duration;

use jasminebend_base::{
    Configuration,
    ConfigurationVersion,
    SeatNumber, //
};
use jasminebend_ownership::{
    HolderId,
    MemberMachine,
    OwnershipEntry,
    SeatHolder,
    TableSnapshot, //
};

use crate::{
    ClusterStatus,
    DomainStatus,
    MemberStatus, //
};

/// Builds the status from the state of the ownership protocol and the configuration in force.
pub(crate) fn cluster_status(
    machine: &MemberMachine,
    configuration: &Configuration,
    now: Duration,
) -> ClusterStatus {
    let empty = TableSnapshot::default();
    let table = machine.table().unwrap_or(&empty);
    ClusterStatus {
        seat: machine.held_seat().map(|hold| hold.id.seat),
        may_start: machine.may_start(now),
        table_fresh: machine.table_is_fresh(now),
        peers_vouch: machine.is_confirmed_by_majority(now),
        in_force: ConfigurationVersion(machine.configuration_in_force()),
        accepted: ConfigurationVersion(machine.newest_committed_configuration()),
        announced: ConfigurationVersion(machine.newest_known_configuration()),
        members: member_statuses(machine, table, now),
        domains: domain_statuses(machine, table, configuration, now),
        slots_unusable: count_orphaned(table, &table.ownership.row.slots),
        shards_unheld: count_orphaned(table, &table.ownership.row.shards),
    }
}

/// Counts the entries that no member holds.
fn count_orphaned(table: &TableSnapshot, entries: &[OwnershipEntry]) -> usize {
    let members = &table.members.row;
    let held = |entry: &&OwnershipEntry| entry.holder.is_some_and(|id| members.holds_seat(id));
    entries.len() - entries.iter().filter(held).count()
}

/// Returns the status of each member.
fn member_statuses(
    machine: &MemberMachine,
    table: &TableSnapshot,
    now: Duration,
) -> Vec<MemberStatus> {
    let seats = table.members.row.numbered_seats();
    seats
        .filter_map(|(seat, record)| Some((seat, record.holder.as_ref()?)))
        .map(|(seat, holder)| member_status(machine, table, seat, holder, now))
        .collect()
}

/// Returns the status of one member.
fn member_status(
    machine: &MemberMachine,
    table: &TableSnapshot,
    seat: SeatNumber,
    holder: &SeatHolder,
    now: Duration,
) -> MemberStatus {
    let id = HolderId {
        seat,
        incarnation: holder.incarnation,
    };
    let count = |entries: &[OwnershipEntry]| {
        entries
            .iter()
            .filter(|entry| entry.holder == Some(id))
            .count()
    };
    MemberStatus {
        seat,
        incarnation: holder.incarnation,
        peer: holder.daemon.peer.to_string(),
        admin: holder.daemon.admin.map(|address| address.to_string()),
        domain: holder.daemon.domain.clone(),
        heard: machine.has_recent_message(seat, now),
        in_force: machine
            .peer_configuration_in_force(seat, now)
            .map(ConfigurationVersion),
        slots: count(&table.ownership.row.slots),
        shards: count(&table.ownership.row.shards),
    }
}

/// Returns the status of each failure domain.
fn domain_statuses(
    machine: &MemberMachine,
    table: &TableSnapshot,
    configuration: &Configuration,
    now: Duration,
) -> Vec<DomainStatus> {
    let waiting_for = unconfirmed_owner_seats(machine, table, configuration.version.0, now);
    configuration
        .domains
        .iter()
        .map(|domain| DomainStatus {
            name: domain.name.clone(),
            state: domain.state,
            confirmed: waiting_for.is_empty(),
            waiting_for: waiting_for.clone(),
        })
        .collect()
}

/// Returns the seats of the shard owners that may still act by an older version than this one. Daemons
/// that lost their seats are omitted, as they may not act any more.
fn unconfirmed_owner_seats(
    machine: &MemberMachine,
    table: &TableSnapshot,
    version: u64,
    now: Duration,
) -> Vec<SeatNumber> {
    let mut seats: Vec<SeatNumber> = table
        .ownership
        .row
        .shards
        .iter()
        .filter_map(|entry| entry.holder)
        .filter(|id| table.members.row.holds_seat(*id))
        .map(|id| id.seat)
        .filter(|seat| {
            machine
                .peer_configuration_in_force(*seat, now)
                .is_none_or(|in_force| in_force < version)
        })
        .collect();
    seats.sort_unstable();
    seats.dedup();
    seats
}
