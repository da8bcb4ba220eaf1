//! The simulated table: three rows that change by compare-and-set.

use jasminebend_ownership::{
    ConfigurationHeader,
    MembersRow,
    OwnershipRow,
    SharedWrite,
    VersionedRow, //
};

/// The shared rows, with the versions that the table assigned to them.
#[derive(Default)]
pub(crate) struct SharedTable {
    pub(crate) members: VersionedRow<MembersRow>,
    pub(crate) ownership: VersionedRow<OwnershipRow>,
    pub(crate) configuration: VersionedRow<ConfigurationHeader>,
    version: u64,
}

impl SharedTable {
    /// Applies a transaction if all its expected versions match, and returns whether they did.
    pub(crate) fn apply(&mut self, write: &SharedWrite) -> bool {
        let holds = expects(&write.members, &self.members)
            && expects(&write.ownership, &self.ownership)
            && expects(&write.configuration, &self.configuration);
        if holds {
            self.version += 1;
            put(&write.members, &mut self.members, self.version);
            put(&write.ownership, &mut self.ownership, self.version);
            put(&write.configuration, &mut self.configuration, self.version);
        }
        holds
    }
}

/// Returns whether a change is absent or expects the current version of the row.
fn expects<Row>(change: &Option<VersionedRow<Row>>, row: &VersionedRow<Row>) -> bool {
    change
        .as_ref()
        .is_none_or(|change| change.version == row.version)
}

/// Replaces a row by a change, if there is one.
fn put<Row>(change: &Option<VersionedRow<Row>>, row: &mut VersionedRow<Row>, version: u64)
where
    Row: Clone,
{
    if let Some(change) = change {
        row.row = change.row.clone();
        row.version = Some(version);
    }
}
