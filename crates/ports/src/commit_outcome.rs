//! The outcome of a transaction.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RowKey,
    RowVersion,
    TableRow, //
};

/// The outcome of a transaction, as the table service returns it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// Every change took effect. The written rows now have this version.
    Committed(RowVersion),
    /// A row did not match its expectation, and no change took effect.
    Conflict {
        /// The key of the first row that did not match its expectation.
        key: RowKey,
        /// The present content of that row; `None` if it does not exist.
        found: Option<TableRow>,
    },
}
