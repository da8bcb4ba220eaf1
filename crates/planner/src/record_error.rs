//! The reason why a stored record cannot be read or encoded.

use derive_more::{
    Display,
    Error, //
};

/// The reason why a stored record cannot be read or encoded.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum RecordError {
    /// The record has a format version that this release does not know.
    #[display("the record has the unknown version {found}; run the release that wrote it")]
    Version {
        /// Version found in the record.
        found: u8,
    },
    /// The record is truncated or altered.
    #[display("the record is cut short or altered")]
    Corrupt,
    /// The record could not be encoded.
    #[display("the record cannot be encoded")]
    Encoding,
}
