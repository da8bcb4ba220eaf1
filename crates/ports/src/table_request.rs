//! A request to the table service over HTTP.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RowChange,
    RowKey,
    WriteId, //
};

/// A request to the table service: the body of `POST /v1/table`, in JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum TableRequest {
    /// Reads one row. The answer is a [`crate::TableRow`], or `null` if the row does not exist.
    Read {
        /// The key of the row.
        key: RowKey,
    },
    /// Reads rows in the order of their keys. The answer is a list of [`crate::TableRow`].
    Scan {
        /// The prefix of the keys.
        prefix: RowKey,
        /// The key after which the scan starts; `None` starts at the first key.
        after: Option<RowKey>,
        /// The maximum number of rows in the answer.
        limit: usize,
    },
    /// Commits a transaction. The answer is a [`crate::CommitOutcome`].
    Commit {
        /// The id of the write, which each written row stores.
        write: WriteId,
        /// The changes, which take effect together or not at all.
        changes: Vec<RowChange>,
    },
}

impl TableRequest {
    /// The HTTP path of the requests.
    pub const PATH: &str = "/v1/table";
}
