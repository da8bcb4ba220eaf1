//! The table row with all resources.

use jasminebend_base::ResourceId;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    HolderId,
    OwnershipEntry, //
};

/// The table row with all resources. A poll reads a single row however many resources there are,
/// and all resources of a dead daemon move in one write.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnershipRow {
    /// The slot shares, by number.
    pub slots: Vec<OwnershipEntry>,
    /// The shards, by number.
    pub shards: Vec<OwnershipEntry>,
}

impl OwnershipRow {
    /// Creates a row of resources without holders.
    pub fn new(slots: u16, shards: u16) -> Self {
        Self {
            slots: vec![OwnershipEntry::default(); usize::from(slots)],
            shards: vec![OwnershipEntry::default(); usize::from(shards)],
        }
    }

    /// Returns a resource's entry; `None` if there is no such resource.
    pub fn entry(&self, resource: ResourceId) -> Option<&OwnershipEntry> {
        match resource {
            ResourceId::Slots(number) => self.slots.get(usize::from(number)),
            ResourceId::Shard(number) => self.shards.get(usize::from(number)),
        }
    }

    /// Returns a resource's entry for modification; `None` if there is no such resource.
    pub fn entry_mut(&mut self, resource: ResourceId) -> Option<&mut OwnershipEntry> {
        match resource {
            ResourceId::Slots(number) => self.slots.get_mut(usize::from(number)),
            ResourceId::Shard(number) => self.shards.get_mut(usize::from(number)),
        }
    }

    /// Returns all resources with their entries.
    pub fn entries(&self) -> impl Iterator<Item = (ResourceId, &OwnershipEntry)> {
        let slots = (0u16..).map(ResourceId::Slots).zip(&self.slots);
        let shards = (0u16..).map(ResourceId::Shard).zip(&self.shards);
        slots.chain(shards)
    }

    /// Returns the resources that one process holds, with their entries.
    pub fn held_by(&self, id: HolderId) -> impl Iterator<Item = (ResourceId, &OwnershipEntry)> {
        self.entries()
            .filter(move |(_, entry)| entry.holder == Some(id))
    }

    /// Assigns a resource to a holder, under a new epoch.
    pub fn assign(&mut self, resource: ResourceId, holder: HolderId, forced: bool) {
        if let Some(entry) = self.entry_mut(resource) {
            *entry = OwnershipEntry {
                holder: Some(holder),
                epoch: entry.epoch.next(),
                forced,
            };
        }
    }
}
