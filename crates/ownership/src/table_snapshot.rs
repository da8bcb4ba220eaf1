//! One poll of the table.

use std::time::Duration;

use crate::{
    ConfigurationHeader,
    MembersRow,
    OwnershipRow, //
};

/// A row and the version that the table gave it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionedRow<Row> {
    /// The version; `None` if the row does not exist yet.
    pub version: Option<u64>,
    /// The row; empty if it does not exist yet.
    pub row: Row,
}

/// One poll of the table. Its rows may have been read one after another.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableSnapshot {
    /// When the poll was sent, on the reader's clock: whatever is read was true after it.
    pub asked_at: Duration,
    /// The members.
    pub members: VersionedRow<MembersRow>,
    /// The resources.
    pub ownership: VersionedRow<OwnershipRow>,
    /// The configuration in force.
    pub configuration: VersionedRow<ConfigurationHeader>,
}
