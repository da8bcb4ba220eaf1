//! What became of a transaction.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RowKey,
    RowVersion,
    TableRow, //
};

/// What became of a transaction that the table service answered.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// Every change took effect; the written rows have this version.
    Committed(RowVersion),
    /// An expectation did not hold, and nothing took effect.
    Conflict {
        /// The first row whose expectation did not hold.
        key: RowKey,
        /// That row as it is; `None` if it does not exist.
        found: Option<TableRow>,
    },
}
