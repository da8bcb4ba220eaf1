//! The result of one poll of the table.

use std::time::Duration;

use crate::{
    ConfigurationHeader,
    MembersRow,
    OwnershipRow, //
};

/// A row and the version that the table assigned to it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionedRow<Row> {
    /// The version; `None` if the row does not exist yet.
    pub version: Option<u64>,
    /// The content of the row; empty if the row does not exist yet.
    pub row: Row,
}

/// The result of one poll of the table. Its rows may have been read one after another.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TableSnapshot {
    /// When the poll was sent, on the reader's clock. The rows are at least as new as this.
    pub asked_at: Duration,
    /// The members' row.
    pub members: VersionedRow<MembersRow>,
    /// The resources' row.
    pub ownership: VersionedRow<OwnershipRow>,
    /// The configuration's header.
    pub configuration: VersionedRow<ConfigurationHeader>,
}
