//! Distributes the resources among the members.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_base::ResourceId;

use crate::{
    Guard,
    HolderId,
    MemberAction,
    MemberMachine,
    MembersRow,
    OwnershipRow,
    SharedWrite,
    TableSnapshot,
    VersionedRow,
    machine_table::DELAY_PER_RANK, //
};

/// How many resources a daemon releases at a time; it keeps using the others meanwhile.
const MAX_CONCURRENT_RELEASES: usize = 16;

/// The number of resources that each member holds.
type LoadByHolder = IndexMap<HolderId, usize>;

impl MemberMachine {
    /// Records that no work begun on a resource is in progress any more.
    pub fn finish_release(&mut self, resource: ResourceId) {
        if self.releasing.contains_key(&resource) {
            self.released.insert(resource);
        }
    }

    /// Updates what this daemon knows of its resources after a read of the table. Slot shares newly
    /// taken over without a release stay idle, as their former holder's requests may still run.
    /// Releases of resources that have since moved to another holder are forgotten.
    pub(crate) fn update_held_resources(&mut self, now: Duration, table: &TableSnapshot) {
        let row = &table.ownership.row;
        let id = self
            .held_seat
            .map(|held_seat| held_seat.id)
            .or(self.lost_holder_id);
        self.releasing.retain(|resource, epoch| {
            row.entry(*resource)
                .is_some_and(|entry| entry.holder == id && entry.epoch == *epoch)
        });
        let releasing = &self.releasing;
        self.released
            .retain(|resource| releasing.contains_key(resource));
        self.released_idle
            .retain(|resource| releasing.contains_key(resource));
        let Some(id) = id else {
            return;
        };
        let wait = self.with_drift_margin(self.settings.longest_request);
        let idles = self
            .settings
            .guards
            .is_enabled(Guard::IdleAfterForcedTransfer);
        for (resource, entry) in row.held_by(id).filter(|(_, entry)| entry.forced) {
            let slots = matches!(resource, ResourceId::Slots(_));
            let known = self.idle_until.get(&resource);
            if slots && idles && known.is_none_or(|(epoch, _)| *epoch != entry.epoch) {
                self.idle_until.insert(resource, (entry.epoch, now + wait));
            }
        }
        let held = |resource: &ResourceId| {
            row.entry(*resource)
                .is_some_and(|entry| entry.holder == Some(id))
        };
        self.idle_until.retain(|resource, _| held(resource));
    }

    /// Starts the releases that are due, and adds an action for each.
    pub(crate) fn start_releases(&mut self, now: Duration, actions: &mut Vec<MemberAction>) {
        for resource in self.excess_resources(now) {
            let Some(entry) = self
                .table
                .as_ref()
                .and_then(|t| t.ownership.row.entry(resource))
            else {
                continue;
            };
            let idle_until = self.idle_until.get(&resource);
            if idle_until.is_some_and(|(epoch, until)| *epoch == entry.epoch && *until > now) {
                self.released_idle.insert(resource);
            }
            self.releasing.insert(resource, entry.epoch);
            actions.push(MemberAction::Release(resource));
        }
    }

    /// Returns the resources that this daemon should start to release: all of them if it leaves or
    /// has lost its seat, otherwise those that it holds in excess of the least loaded member.
    fn excess_resources(&self, now: Duration) -> Vec<ResourceId> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let row = &table.ownership.row;
        if let Some(id) = self.lost_holder_id.or(self
            .held_seat
            .map(|held_seat| held_seat.id)
            .filter(|_| self.leaving))
        {
            let unreleased = row
                .held_by(id)
                .map(|(resource, _)| resource)
                .filter(|resource| !self.releasing.contains_key(resource));
            return unreleased.collect();
        }
        let Some(held_seat) = self.held_seat.filter(|_| self.table_is_fresh(now)) else {
            return Vec::new();
        };
        let free_releases = MAX_CONCURRENT_RELEASES.saturating_sub(self.releasing.len());
        let slots = self.excess_of_kind(now, held_seat.id, is_slots);
        let shards = self.excess_of_kind(now, held_seat.id, is_shard);
        slots
            .into_iter()
            .chain(shards)
            .take(free_releases)
            .collect()
    }

    /// Returns the resources of one kind that this daemon should release so that its load exceeds
    /// that of the least loaded reachable member by at most one. Resources that are idle after a
    /// takeover stay.
    fn excess_of_kind(
        &self,
        now: Duration,
        id: HolderId,
        kind: fn(&ResourceId) -> bool,
    ) -> Vec<ResourceId> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let row = &table.ownership.row;
        let mut load = load_by_holder(&table.members.row, row, kind);
        load.retain(|holder, _| self.has_recent_message(holder.seat, now));
        let mut excess = Vec::new();
        for (resource, _) in row.held_by(id).filter(|(resource, _)| kind(resource)) {
            let Some((receiver, least)) = least_loaded(&load) else {
                break;
            };
            let own = load.get(&id).copied().unwrap_or(0);
            if own < least + 2 {
                break;
            }
            load.insert(id, own - 1);
            load.insert(receiver, least + 1);
            let idle = self.idle_for(now, resource).is_zero();
            if idle && !self.releasing.contains_key(&resource) {
                excess.push(resource);
            }
        }
        excess
    }

    /// Returns the write that hands over released resources and assigns orphaned ones. Daemons
    /// assign orphans one after another by rank, to spare the table concurrent equal writes.
    pub(crate) fn balance_write(&mut self, now: Duration) -> Option<SharedWrite> {
        let held_seat = self.held_seat?;
        let table = self.table.as_ref()?;
        let mut row = table.ownership.row.clone();
        if table.ownership.version.is_none() {
            row = OwnershipRow::new(self.settings.slot_shares, self.settings.shards);
        }
        self.assign_released(&table.members.row, &mut row, held_seat.id);
        let handed = row != table.ownership.row;
        let mut assigned = row.clone();
        self.assign_orphans(&table.members.row, &mut assigned);
        if assigned == row {
            self.orphans_first_seen_at = None;
        } else {
            let seen = *self.orphans_first_seen_at.get_or_insert(now);
            if now >= seen.saturating_add(DELAY_PER_RANK * self.rank(now)) || handed {
                row = assigned;
            }
        }
        self.ownership_write(row)
    }

    /// Returns the write of the resources' row, or `None` if the row is unchanged. The write also
    /// expects the members' row to be unchanged: a resource assigned to a daemon that has just lost
    /// its seat would never be found again.
    pub(crate) fn ownership_write(&self, row: OwnershipRow) -> Option<SharedWrite> {
        let table = self.table.as_ref()?;
        (row != table.ownership.row).then(|| SharedWrite {
            members: Some(table.members.clone()),
            ownership: Some(VersionedRow {
                version: table.ownership.version,
                row,
            }),
            ..SharedWrite::default()
        })
    }

    /// Assigns the released resources to the least loaded member, which may be this daemon itself.
    fn assign_released(&self, members: &MembersRow, row: &mut OwnershipRow, id: HolderId) {
        for resource in &self.released {
            let held = row
                .entry(*resource)
                .is_some_and(|entry| entry.holder == Some(id));
            if held && let Some(receiver) = self.choose_receiver(members, row, *resource, Some(id))
            {
                row.assign(*resource, receiver, self.released_idle.contains(resource));
            }
        }
    }

    /// Assigns the orphaned resources: shards whose holder lost its seat, and slot shares that were
    /// released or whose holder is known to have terminated. Endpoints do not check epochs, so that
    /// a request of a paused holder could still arrive; therefore the loss of the seat alone does
    /// not free slot shares.
    pub(crate) fn assign_orphans(&self, members: &MembersRow, row: &mut OwnershipRow) {
        let orphans: Vec<ResourceId> = row
            .entries()
            .filter(|(resource, entry)| {
                entry.holder.is_none_or(|holder| {
                    members.has_lost_seat(holder)
                        && (self.may_take_unreleased(*resource, holder)
                            || self.was_own_unnoticed_seat(members, holder))
                })
            })
            .map(|(resource, _)| resource)
            .collect();
        for resource in orphans {
            let forced = row
                .entry(resource)
                .is_some_and(|entry| entry.holder.is_some() || entry.forced);
            if let Some(receiver) = self.choose_receiver(members, row, resource, None) {
                row.assign(resource, receiver, forced);
            }
        }
    }

    /// Assigns the resources of the seat's former process to the process that takes its seat.
    pub(crate) fn assign_to_successor(&self, row: &mut OwnershipRow, old: HolderId, new: HolderId) {
        let held: Vec<ResourceId> = row
            .held_by(old)
            .filter(|(resource, _)| self.may_take_unreleased(*resource, old))
            .map(|(resource, _)| resource)
            .collect();
        for resource in held {
            row.assign(resource, new, true);
        }
    }

    /// Returns whether a former holder is this process itself, under a seat that it never learned
    /// it held: the answer to its write was lost, and then the seat. It cannot have acted on those
    /// resources. What it did learn that it held is returned before it takes another seat.
    fn was_own_unnoticed_seat(&self, members: &MembersRow, holder: HolderId) -> bool {
        let record = members.seat(holder.seat);
        let mut former = record.iter().flat_map(|record| &record.former);
        self.lost_holder_id.is_none()
            && former.any(|former| {
                former.holder.incarnation == holder.incarnation
                    && former.holder.daemon.nonce == self.daemon.nonce
            })
    }

    /// Returns whether a resource may be taken from a holder that has not released it.
    fn may_take_unreleased(&self, resource: ResourceId, holder: HolderId) -> bool {
        is_shard(&resource)
            || self.terminated.contains(&holder)
            || !self
                .settings
                .guards
                .is_enabled(Guard::SlotsOnlyFromTerminated)
    }

    /// Returns the least loaded member that may receive a resource. Excluded are members known to
    /// have terminated, members whose seat has an announced change, and this daemon if it leaves.
    /// The load of `giver` is counted without the resource.
    pub(crate) fn choose_receiver(
        &self,
        members: &MembersRow,
        row: &OwnershipRow,
        resource: ResourceId,
        giver: Option<HolderId>,
    ) -> Option<HolderId> {
        let kind = if is_shard(&resource) {
            is_shard
        } else {
            is_slots
        };
        let mut load = load_by_holder(members, row, kind);
        load.retain(|holder, _| {
            let leaving = self.leaving
                && self
                    .held_seat
                    .is_some_and(|held_seat| held_seat.id == *holder);
            let emptied = members
                .seat(holder.seat)
                .is_none_or(|record| record.intent.is_some());
            !self.terminated.contains(holder) && !leaving && !emptied
        });
        if let Some(giver) = giver
            && let Some(own) = load.get_mut(&giver)
        {
            *own = own.saturating_sub(1);
        }
        least_loaded(&load).map(|(receiver, _)| receiver)
    }
}

fn is_slots(resource: &ResourceId) -> bool {
    matches!(resource, ResourceId::Slots(_))
}

fn is_shard(resource: &ResourceId) -> bool {
    matches!(resource, ResourceId::Shard(_))
}

/// Returns how many resources of one kind each seat holder has.
fn load_by_holder(
    members: &MembersRow,
    row: &OwnershipRow,
    kind: fn(&ResourceId) -> bool,
) -> LoadByHolder {
    let mut load: LoadByHolder = members.holder_ids().map(|holder| (holder, 0)).collect();
    for (_, entry) in row.entries().filter(|(resource, _)| kind(resource)) {
        if let Some(count) = entry.holder.and_then(|holder| load.get_mut(&holder)) {
            *count += 1;
        }
    }
    load
}

/// Returns the holder with the lowest load, of equals the one with the lowest seat number.
fn least_loaded(load: &LoadByHolder) -> Option<(HolderId, usize)> {
    load.iter()
        .min_by_key(|(holder, count)| (**count, holder.seat))
        .map(|(holder, count)| (*holder, *count))
}
