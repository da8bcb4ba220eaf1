//! The shared rows in the table, and their codec.

use std::time::Duration;

use jasminebend_ownership::{
    SharedWrite,
    TableSnapshot,
    VersionedRow, //
};
use jasminebend_ports::{
    RowChange,
    RowExpectation,
    RowKey,
    RowVersion,
    TableRow,
    TableService, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::row_error::RowError;

/// All rows that a poll reads begin so; one scan reads them.
const PREFIX: &str = "cluster/";
const MEMBERS: &str = "cluster/members";
const OWNERSHIP: &str = "cluster/ownership";
const CONFIGURATION: &str = "cluster/configuration";
const DOCUMENTS: &str = "configuration/";

/// More rows than a poll finds, so that one scan is enough.
const SCAN_LIMIT: usize = 16;

/// Stands first in each row; a daemon that does not know it must not change the row.
const ROW_FORMAT: u8 = 1;

/// Returns the key of a configuration's document.
pub(crate) fn document_key(version: u64) -> RowKey {
    RowKey::from(format!("{DOCUMENTS}{version:020}"))
}

/// Reads the shared rows.
pub(crate) async fn read_snapshot(
    table: &dyn TableService,
    requested_at: Duration,
) -> Result<TableSnapshot, RowError> {
    let rows = table
        .scan(&RowKey::from(PREFIX), None, SCAN_LIMIT)
        .await
        .map_err(RowError::Table)?;
    Ok(TableSnapshot {
        requested_at,
        members: find_row(&rows, MEMBERS)?,
        ownership: find_row(&rows, OWNERSHIP)?,
        configuration: find_row(&rows, CONFIGURATION)?,
    })
}

/// Returns the changes that a write makes.
pub(crate) fn row_changes(write: &SharedWrite) -> Result<Vec<RowChange>, RowError> {
    let members = write.members.as_ref().map(|row| change(MEMBERS, row));
    let ownership = write.ownership.as_ref().map(|row| change(OWNERSHIP, row));
    let header = write.configuration.as_ref();
    let header = header.map(|row| change(CONFIGURATION, row));
    members.into_iter().chain(ownership).chain(header).collect()
}

fn find_row<Row>(rows: &[TableRow], key: &str) -> Result<VersionedRow<Row>, RowError>
where
    Row: Default + DeserializeOwned,
{
    let Some(found) = rows.iter().find(|row| row.key.as_str() == key) else {
        return Ok(VersionedRow::default());
    };
    let Some((&ROW_FORMAT, value)) = found.value.split_first() else {
        return Err(RowError::OtherFormat);
    };
    Ok(VersionedRow {
        version: Some(found.version.0),
        row: postcard::from_bytes(value).map_err(|_| RowError::Malformed)?,
    })
}

fn change<Row>(key: &str, row: &VersionedRow<Row>) -> Result<RowChange, RowError>
where
    Row: Serialize,
{
    let value = postcard::to_extend(&row.row, vec![ROW_FORMAT]).map_err(|_| RowError::Malformed)?;
    let expected = match row.version {
        Some(version) => RowExpectation::Version(RowVersion(version)),
        None => RowExpectation::Absent,
    };
    Ok(RowChange::put(key, expected, value))
}
