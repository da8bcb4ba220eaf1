//! A call of the table service over HTTP.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RowChange,
    RowKey,
    WriteId, //
};

/// A call of the table service: the body of `POST /v1/table`, in JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum TableRequest {
    /// Answered with a [`crate::TableRow`] or `null`.
    Read {
        /// The row.
        key: RowKey,
    },
    /// Answered with a list of [`crate::TableRow`].
    Scan {
        /// What the keys start with.
        prefix: RowKey,
        /// The key that the answer starts behind.
        after: Option<RowKey>,
        /// The most rows that the answer may hold.
        limit: usize,
    },
    /// Answered with a [`crate::CommitOutcome`].
    Commit {
        /// The identity of the write.
        write: WriteId,
        /// The changes.
        changes: Vec<RowChange>,
    },
}

impl TableRequest {
    /// The path that takes the calls.
    pub const PATH: &str = "/v1/table";
}
