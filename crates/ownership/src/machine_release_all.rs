//! Releases all resources of a daemon, after it lost its seat or because it leaves.

use jasminebend_base::ResourceId;

use crate::{
    MemberMachine,
    OwnershipRow,
    SharedWrite,
    VersionedRow, //
};

impl MemberMachine {
    /// Returns the write that gives back the resources held under a lost seat, each once no work on
    /// it is in progress.
    pub(crate) fn return_resources_write(&mut self) -> Option<SharedWrite> {
        let lost_holder_id = self.lost_holder_id?;
        let table = self.table.as_ref()?;
        let mut row = table.ownership.row.clone();
        let mut has_unreleased = false;
        for (resource, _) in table.ownership.row.held_by(lost_holder_id) {
            if !self.released.contains(&resource) {
                has_unreleased = true;
                continue;
            }
            let is_idle = self.released_idle.contains(&resource);
            match self.choose_receiver(&table.members.row, &row, resource, None) {
                Some(receiver) => row.assign(resource, receiver, is_idle),
                None => clear_holder(&mut row, resource, is_idle),
            }
        }
        // The last read before the loss may lack resources that were assigned to this daemon just
        // before it.
        let read_since = self
            .seat_lost_at
            .is_some_and(|seat_lost_at| table.requested_at > seat_lost_at);
        if !has_unreleased && read_since && row == table.ownership.row {
            self.lost_holder_id = None;
            self.releasing.clear();
            self.released.clear();
            self.released_idle.clear();
            return None;
        }
        self.ownership_write(row)
    }

    /// Returns the write that hands over released resources. Once none is left, it gives up the
    /// seat in the same write.
    pub(crate) fn leave_write(&mut self) -> Option<SharedWrite> {
        let held_seat = self.held_seat.filter(|_| self.leaving)?;
        let table = self.table.as_ref()?;
        let mut row = table.ownership.row.clone();
        for resource in &self.released {
            let is_idle = self.released_idle.contains(resource);
            match self.choose_receiver(&table.members.row, &row, *resource, Some(held_seat.id)) {
                Some(receiver) => row.assign(*resource, receiver, is_idle),
                None => clear_holder(&mut row, *resource, is_idle),
            }
        }
        if row.held_by(held_seat.id).next().is_some() {
            return self.ownership_write(row);
        }
        let mut members = table.members.row.clone();
        let record = members.seat_mut(held_seat.id.seat)?;
        record.epoch = record.newest_epoch() + 1;
        record.holder = None;
        record.intent = None;
        let mut write = self.members_row_write(members);
        let version = table.ownership.version;
        write.ownership = version.is_some().then_some(VersionedRow { version, row });
        Some(write)
    }
}

/// Leaves a resource without a holder, under a new epoch; `forced` if requests of an earlier holder may run.
fn clear_holder(row: &mut OwnershipRow, resource: ResourceId, forced: bool) {
    if let Some(entry) = row.entry_mut(resource) {
        entry.holder = None;
        entry.epoch = entry.epoch.next();
        entry.forced = forced;
    }
}
