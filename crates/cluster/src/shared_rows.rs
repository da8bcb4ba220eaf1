//! Reads, encodes and decodes the shared rows in the table.

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

/// The key prefix of the rows that a poll reads, so that one scan reads all of them.
const POLLED_ROWS_PREFIX: &str = "cluster/";
/// The key of the row that lists the members by seat.
const MEMBERS_KEY: &str = "cluster/members";
/// The key of the row with the holders of slot shares and shards.
const OWNERSHIP_KEY: &str = "cluster/ownership";
/// The key of the row with the configuration's committed and announced versions.
const CONFIGURATION_KEY: &str = "cluster/configuration";
/// The key prefix of the configuration's documents, outside the rows that a poll reads.
const DOCUMENT_KEY_PREFIX: &str = "configuration/";

/// The maximum number of rows in a scan: more than there are, so that one scan reads all of them.
const MAX_SCANNED_ROWS: usize = 16;

/// The format version, which is the first byte of each row. A daemon must not write a row whose format
/// version it does not know.
const ROW_FORMAT_VERSION: u8 = 1;

/// Returns the key of the document of a configuration version.
pub(crate) fn document_key(version: u64) -> RowKey {
    RowKey::from(format!("{DOCUMENT_KEY_PREFIX}{version:020}"))
}

/// Reads the shared rows. `requested_at` is the time before the read; the rows are at least as new.
pub(crate) async fn read_snapshot(
    table: &dyn TableService,
    requested_at: Duration,
) -> Result<TableSnapshot, RowError> {
    let rows = table
        .scan(&RowKey::from(POLLED_ROWS_PREFIX), None, MAX_SCANNED_ROWS)
        .await
        .map_err(RowError::Table)?;
    Ok(TableSnapshot {
        requested_at,
        members: find_row(&rows, MEMBERS_KEY)?,
        ownership: find_row(&rows, OWNERSHIP_KEY)?,
        configuration: find_row(&rows, CONFIGURATION_KEY)?,
    })
}

/// Returns the row changes of a write, each under compare-and-set.
pub(crate) fn row_changes(write: &SharedWrite) -> Result<Vec<RowChange>, RowError> {
    let members = write.members.as_ref().map(|row| put_row(MEMBERS_KEY, row));
    let ownership = write
        .ownership
        .as_ref()
        .map(|row| put_row(OWNERSHIP_KEY, row));
    let header = write.configuration.as_ref();
    let header = header.map(|row| put_row(CONFIGURATION_KEY, row));
    members.into_iter().chain(ownership).chain(header).collect()
}

/// Returns the decoded row under a key, or the default row if there is none.
fn find_row<Row>(rows: &[TableRow], key: &str) -> Result<VersionedRow<Row>, RowError>
where
    Row: Default + DeserializeOwned,
{
    let Some(found) = rows.iter().find(|row| row.key.as_str() == key) else {
        return Ok(VersionedRow::default());
    };
    let Some((&ROW_FORMAT_VERSION, value)) = found.value.split_first() else {
        return Err(RowError::UnknownFormat);
    };
    Ok(VersionedRow {
        version: Some(found.version.0),
        row: postcard::from_bytes(value).map_err(|_| RowError::Malformed)?,
    })
}

/// Returns the change that writes a row, if it still has the version that was read.
fn put_row<Row>(key: &str, row: &VersionedRow<Row>) -> Result<RowChange, RowError>
where
    Row: Serialize,
{
    let value =
        postcard::to_extend(&row.row, vec![ROW_FORMAT_VERSION]).map_err(|_| RowError::Malformed)?;
    let expected = match row.version {
        Some(version) => RowExpectation::Version(RowVersion(version)),
        None => RowExpectation::Absent,
    };
    Ok(RowChange::put(key, expected, value))
}
