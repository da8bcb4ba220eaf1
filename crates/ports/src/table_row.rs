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
    /// The key of the row.
    pub key: RowKey,
    /// The version of the row.
    pub version: RowVersion,
    /// The id of the write that created this version.
    pub write: WriteId,
    /// The value of the row; base64 in JSON.
    #[serde(with = "crate::row_value")]
    pub value: Vec<u8>,
}
