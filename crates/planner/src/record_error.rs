//! Why a stored record cannot be read.

use derive_more::{
    Display,
    Error, //
};

/// Why a stored record cannot be read.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum RecordError {
    /// It was written by a release that this one does not know.
    #[display("the record has the unknown version {found}; run the release that wrote it")]
    Version {
        /// The version found.
        found: u8,
    },
    /// It is cut short or altered.
    #[display("the record is cut short or altered")]
    Torn,
    /// It could not be encoded.
    #[display("the record cannot be encoded")]
    Encoding,
}
