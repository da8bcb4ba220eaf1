//! The change of one row in a transaction.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RowExpectation,
    RowKey, //
};

/// The change of one row in a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RowChange {
    /// The key of the row.
    pub key: RowKey,
    /// The state that the row must have before the transaction.
    pub expected: RowExpectation,
    /// The new value; `None` deletes the row.
    #[serde(with = "crate::optional_row_value")]
    pub value: Option<Vec<u8>>,
}

impl RowChange {
    /// Creates a change that writes a value to a row that matches `expected`.
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

    /// Creates a change that deletes a row that matches `expected`.
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
