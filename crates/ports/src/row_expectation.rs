//! What a change expects of a row.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::RowVersion;

/// What a change expects of a row; if it does not hold, nothing of the transaction takes effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowExpectation {
    /// The row does not exist.
    Absent,
    /// The row has this version.
    Version(RowVersion),
    /// Anything; for writes that only their author ever makes.
    Any,
}
