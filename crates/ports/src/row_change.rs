//! One row's part of a transaction.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RowExpectation,
    RowKey, //
};

/// One row's part of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RowChange {
    /// The row.
    pub key: RowKey,
    /// What must hold of it beforehand.
    pub expected: RowExpectation,
    /// The new value; `None` deletes the row.
    #[serde(with = "crate::optional_row_value")]
    pub value: Option<Vec<u8>>,
}

impl RowChange {
    /// Creates a change that writes a value.
    pub fn put<Key>(key: Key, expected: RowExpectation, value: Vec<u8>) -> Self
    where
        Key: Into<RowKey>,
    {
        Self {
            key: key.into(),
            expected,
            value: Some(value),
        }
    }

    /// Creates a change that deletes the row.
    pub fn delete<Key>(key: Key, expected: RowExpectation) -> Self
    where
        Key: Into<RowKey>,
    {
        Self {
            key: key.into(),
            expected,
            value: None,
        }
    }
}
