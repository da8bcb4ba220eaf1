//! A row of the table service.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RowKey,
    RowVersion,
    WriteId, //
};

/// A row of the table service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableRow {
    /// The row's key.
    pub key: RowKey,
    /// Its version.
    pub version: RowVersion,
    /// The identity of the write that made this version.
    pub write: WriteId,
    /// Its value.
    #[serde(with = "crate::row_value")]
    pub value: Vec<u8>,
}
