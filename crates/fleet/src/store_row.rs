//! Rows of the dispatcher's own tables in the platform's store.

use bytes::Bytes;
use derive_more::Display;

/// The dispatcher's own tables.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum StoreTable {
    /// Jobs and cancellations.
    #[display("jobs")]
    Jobs,
    /// The progress of each job, and what an owner records for its successor.
    #[display("progress")]
    Progress,
    /// The owner and the members.
    #[display("fleet")]
    Fleet,
}

/// A row of one of the dispatcher's tables.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreRow {
    /// The table that holds the row.
    pub table: StoreTable,
    /// The part of the table, a unit of transactions in the store.
    pub part: String,
    /// The key, unique within the part.
    pub key: String,
    /// The encoded record; empty for a cancellation or a removed member.
    pub value: Bytes,
    /// The store's version at the row's last change; 0 for a row that does not exist.
    pub version: u64,
}

/// A precondition of a commit: the version that a row must have.
#[derive(Clone, Debug, PartialEq)]
pub struct RowGuard {
    /// The table that holds the row.
    pub table: StoreTable,
    /// The part of the table.
    pub part: String,
    /// The row's key.
    pub key: String,
    /// The expected version; 0 if the row must not exist.
    pub version: u64,
}

/// A transaction: all rows are written if all guards hold, otherwise none is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RowCommit {
    /// The preconditions.
    pub guards: Vec<RowGuard>,
    /// The rows to write; their `version` fields are ignored.
    pub writes: Vec<StoreRow>,
}

impl StoreRow {
    /// Creates a row to write.
    pub fn new<Text, Value>(table: StoreTable, part: &str, key: Text, value: Value) -> Self
    where
        Text: Into<String>,
        Value: Into<Bytes>,
    {
        Self {
            table,
            part: part.to_owned(),
            key: key.into(),
            value: value.into(),
            version: 0,
        }
    }

    /// Returns the guard that requires this row to have `version`.
    pub fn guard(&self, version: u64) -> RowGuard {
        RowGuard {
            table: self.table,
            part: self.part.clone(),
            key: self.key.clone(),
            version,
        }
    }
}
