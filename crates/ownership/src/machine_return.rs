//! How a daemon gives up everything: after it lost its seat, or because it leaves.

use jasminebend_base::ResourceId;

use crate::{
    MemberMachine,
    OwnershipRow,
    SharedWrite,
    VersionedRow, //
};

impl MemberMachine {
    /// A daemon that lost its seat gives back what it held once nothing of it is in progress.
    pub(crate) fn returning_write(&mut self) -> Option<SharedWrite> {
        let lost = self.lost?;
        let table = self.table.as_ref()?;
        let mut row = table.ownership.row.clone();
        let mut busy = false;
        for (resource, _) in table.ownership.row.held_by(lost) {
            if !self.released.contains(&resource) {
                busy = true;
                continue;
            }
            match self.receiver(&table.members.row, &row, resource, None) {
                Some(receiver) => row.assign(resource, receiver, false),
                None => give_back(&mut row, resource),
            }
        }
        // What was read before the loss may lack what was given to this daemon just before it.
        let read_since = self.lost_at.is_some_and(|lost_at| table.asked_at > lost_at);
        if !busy && read_since && row == table.ownership.row {
            self.lost = None;
            self.releasing.clear();
            self.released.clear();
            return None;
        }
        self.ownership_write(row)
    }

    /// Gives up the seat together with the last resource.
    pub(crate) fn leave_write(&mut self) -> Option<SharedWrite> {
        let hold = self.hold.filter(|_| self.leaving)?;
        let table = self.table.as_ref()?;
        let mut row = table.ownership.row.clone();
        for resource in &self.released {
            match self.receiver(&table.members.row, &row, *resource, Some(hold.id)) {
                Some(receiver) => row.assign(*resource, receiver, false),
                None => give_back(&mut row, *resource),
            }
        }
        if row.held_by(hold.id).next().is_some() {
            return self.ownership_write(row);
        }
        let mut members = table.members.row.clone();
        let record = members.seat_mut(hold.id.seat)?;
        record.epoch = record.newest_epoch() + 1;
        record.holder = None;
        record.intent = None;
        let mut write = self.members_write(members);
        let version = table.ownership.version;
        write.ownership = version.is_some().then_some(VersionedRow { version, row });
        Some(write)
    }
}

fn give_back(row: &mut OwnershipRow, resource: ResourceId) {
    if let Some(entry) = row.entry_mut(resource) {
        entry.holder = None;
        entry.epoch = entry.epoch.next();
        entry.forced = false;
    }
}
