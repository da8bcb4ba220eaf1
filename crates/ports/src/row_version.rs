//! The version of a row.

use derive_more::{
    Display,
    From, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The version of a row. The table service sets it, and it increases with each change of the row.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);
