//! The table of the world: three rows under compare-and-set.

use jasminebend_ownership::{
    ConfigurationHeader,
    MembersRow,
    OwnershipRow,
    SharedWrite,
    VersionedRow, //
};

#[derive(Default)]
pub(crate) struct Rows {
    pub(crate) members: VersionedRow<MembersRow>,
    pub(crate) ownership: VersionedRow<OwnershipRow>,
    pub(crate) configuration: VersionedRow<ConfigurationHeader>,
    version: u64,
}

impl Rows {
    /// Makes a transaction, and tells whether its expectations held.
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

fn expects<Row>(change: &Option<VersionedRow<Row>>, row: &VersionedRow<Row>) -> bool {
    change
        .as_ref()
        .is_none_or(|change| change.version == row.version)
}

fn put<Row>(change: &Option<VersionedRow<Row>>, row: &mut VersionedRow<Row>, version: u64)
where
    Row: Clone,
{
    if let Some(change) = change {
        row.row = change.row.clone();
        row.version = Some(version);
    }
}
