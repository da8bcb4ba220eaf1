//! The state of a row that a change requires.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::RowVersion;

/// The state of a row that a change requires. If a row does not match, the whole transaction has no
/// effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowExpectation {
    /// The row must not exist.
    Absent,
    /// The row must have this version.
    Version(RowVersion),
    /// The row may have any state. Only for a row that has a single writer.
    Any,
}
