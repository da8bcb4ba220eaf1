//! How resources are divided among the members.

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
    machine_table::RANK_DELAY, //
};

/// How many resources a daemon gives away at once; the others go on meanwhile.
const RELEASES_AT_ONCE: usize = 16;

type Load = IndexMap<HolderId, usize>;

impl MemberMachine {
    /// Takes note that nothing which was begun on a resource is in progress any more.
    pub fn end_release(&mut self, resource: ResourceId) {
        if self.releasing.contains_key(&resource) {
            self.released.insert(resource);
        }
    }

    /// What is new here and was taken by force stays idle, as its former holder's requests may
    /// still run; what moved on needs no release any more.
    pub(crate) fn learn_holdings(&mut self, now: Duration, table: &TableSnapshot) {
        let row = &table.ownership.row;
        let id = self.hold.map(|hold| hold.id).or(self.lost);
        self.releasing.retain(|resource, epoch| {
            row.entry(*resource)
                .is_some_and(|entry| entry.holder == id && entry.epoch == *epoch)
        });
        let releasing = &self.releasing;
        self.released
            .retain(|resource| releasing.contains_key(resource));
        let Some(hold) = self.hold else {
            return;
        };
        let wait = self.full_wait(self.settings.longest_request);
        let idles = self.settings.guards.has(Guard::IdleAfterForce);
        for (resource, entry) in row.held_by(hold.id).filter(|(_, entry)| entry.forced) {
            let slots = matches!(resource, ResourceId::Slots(_));
            let known = self.idle_until.get(&resource);
            if slots && idles && known.is_none_or(|(epoch, _)| *epoch != entry.epoch) {
                self.idle_until.insert(resource, (entry.epoch, now + wait));
            }
        }
        let held = |resource: &ResourceId| {
            row.entry(*resource)
                .is_some_and(|entry| entry.holder == Some(hold.id))
        };
        self.idle_until.retain(|resource, _| held(resource));
    }

    pub(crate) fn start_releases(&mut self, now: Duration, actions: &mut Vec<MemberAction>) {
        for resource in self.excess(now) {
            let Some(entry) = self
                .table
                .as_ref()
                .and_then(|t| t.ownership.row.entry(resource))
            else {
                continue;
            };
            self.releasing.insert(resource, entry.epoch);
            actions.push(MemberAction::Release(resource));
        }
    }

    /// Returns what this daemon should begin to give away.
    fn excess(&self, now: Duration) -> Vec<ResourceId> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let row = &table.ownership.row;
        if let Some(id) = self
            .lost
            .or(self.hold.map(|hold| hold.id).filter(|_| self.leaving))
        {
            let unreleased = row
                .held_by(id)
                .map(|(resource, _)| resource)
                .filter(|resource| !self.releasing.contains_key(resource));
            return unreleased.collect();
        }
        let Some(hold) = self.hold.filter(|_| self.table_is_fresh(now)) else {
            return Vec::new();
        };
        let room = RELEASES_AT_ONCE.saturating_sub(self.releasing.len());
        let slots = self.excess_of(now, hold.id, is_slots);
        let shards = self.excess_of(now, hold.id, is_shard);
        slots.into_iter().chain(shards).take(room).collect()
    }

    fn excess_of(
        &self,
        now: Duration,
        id: HolderId,
        kind: fn(&ResourceId) -> bool,
    ) -> Vec<ResourceId> {
        let Some(table) = &self.table else {
            return Vec::new();
        };
        let row = &table.ownership.row;
        let mut load = load_of(&table.members.row, row, kind);
        load.retain(|holder, _| self.is_heard(holder.seat, now));
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

    /// Returns the write that hands over what fell idle, and assigns what nobody holds.
    pub(crate) fn balance_write(&mut self, now: Duration) -> Option<SharedWrite> {
        let hold = self.hold?;
        let table = self.table.as_ref()?;
        let mut row = table.ownership.row.clone();
        if table.ownership.version.is_none() {
            row = OwnershipRow::new(self.settings.slot_shares, self.settings.shards);
        }
        self.hand_over(&table.members.row, &mut row, hold.id);
        let handed = row != table.ownership.row;
        let mut assigned = row.clone();
        self.assign_orphans(&table.members.row, &mut assigned);
        if assigned == row {
            self.orphans_seen = None;
        } else {
            let seen = *self.orphans_seen.get_or_insert(now);
            if now >= seen.saturating_add(RANK_DELAY * self.rank(now)) || handed {
                row = assigned;
            }
        }
        self.ownership_write(row)
    }

    /// Returns the write of the resources, if they change. It expects the members as they were read
    /// too: were a resource given to a daemon that has just lost its seat, nobody would find it again.
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

    /// Gives what was released to whoever holds least; back to this daemon if that is itself.
    fn hand_over(&self, members: &MembersRow, row: &mut OwnershipRow, id: HolderId) {
        for resource in &self.released {
            let held = row
                .entry(*resource)
                .is_some_and(|entry| entry.holder == Some(id));
            if held && let Some(receiver) = self.receiver(members, row, *resource, Some(id)) {
                row.assign(*resource, receiver, false);
            }
        }
    }

    /// Assigns what nobody holds: shards whose holder lost its seat, and slots that were given back
    /// or whose holder is known to be gone. Endpoints know no epochs, so that a paused holder's
    /// request could still arrive; hence slots wait for more than the loss of the seat.
    pub(crate) fn assign_orphans(&self, members: &MembersRow, row: &mut OwnershipRow) {
        let orphans: Vec<ResourceId> = row
            .entries()
            .filter(|(resource, entry)| {
                entry.holder.is_none_or(|holder| {
                    members.has_lost_seat(holder)
                        && (self.may_take(*resource, holder) || self.was_self(members, holder))
                })
            })
            .map(|(resource, _)| resource)
            .collect();
        for resource in orphans {
            let forced = row
                .entry(resource)
                .is_some_and(|entry| entry.holder.is_some());
            if let Some(receiver) = self.receiver(members, row, resource, None) {
                row.assign(resource, receiver, forced);
            }
        }
    }

    /// Keeps what the seat's former process held where it was.
    pub(crate) fn inherit(&self, row: &mut OwnershipRow, old: HolderId, new: HolderId) {
        let held: Vec<ResourceId> = row
            .held_by(old)
            .filter(|(resource, _)| self.may_take(*resource, old))
            .map(|(resource, _)| resource)
            .collect();
        for resource in held {
            row.assign(resource, new, true);
        }
    }

    /// Tells whether this process itself sat there without ever learning of it: the answer that would
    /// have told it was lost, and then the seat. It cannot have acted; what it did learn of holding is
    /// given back before another seat is taken.
    fn was_self(&self, members: &MembersRow, holder: HolderId) -> bool {
        let record = members.seat(holder.seat);
        let mut former = record.iter().flat_map(|record| &record.former);
        self.lost.is_none()
            && former.any(|former| {
                former.holder.incarnation == holder.incarnation
                    && former.holder.daemon.nonce == self.daemon.nonce
            })
    }

    fn may_take(&self, resource: ResourceId, holder: HolderId) -> bool {
        is_shard(&resource)
            || self.gone.contains(&holder)
            || !self.settings.guards.has(Guard::SlotsOnlyFromGone)
    }

    pub(crate) fn receiver(
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
        let mut load = load_of(members, row, kind);
        load.retain(|holder, _| {
            let leaving = self.leaving && self.hold.is_some_and(|hold| hold.id == *holder);
            let emptied = members
                .seat(holder.seat)
                .is_none_or(|record| record.intent.is_some());
            !self.gone.contains(holder) && !leaving && !emptied
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

fn load_of(members: &MembersRow, row: &OwnershipRow, kind: fn(&ResourceId) -> bool) -> Load {
    let mut load: Load = members.seated().map(|holder| (holder, 0)).collect();
    for (_, entry) in row.entries().filter(|(resource, _)| kind(resource)) {
        if let Some(count) = entry.holder.and_then(|holder| load.get_mut(&holder)) {
            *count += 1;
        }
    }
    load
}

fn least_loaded(load: &Load) -> Option<(HolderId, usize)> {
    load.iter()
        .min_by_key(|(holder, count)| (**count, holder.seat))
        .map(|(holder, count)| (*holder, *count))
}
