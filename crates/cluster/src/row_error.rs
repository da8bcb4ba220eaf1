//! The reasons why the shared rows could not be read or written.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_ports::TableError;

/// The reason why the shared rows could not be read or written.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum RowError {
    /// The call of the table service failed.
    #[display("{_0}")]
    Table(#[error(source)] TableError),
    /// The row has a format that this release does not know, as it was written by a later one.
    #[display("a shared row has the format of another release")]
    UnknownFormat,
    /// The numbers of seats, slot shares or shards differ from those of the other daemons.
    #[display(
        "the numbers of seats, slot shares and shards differ from those of the other daemons"
    )]
    SettingsMismatch,
    /// The row cannot be decoded or encoded.
    #[display("a shared row is malformed")]
    Malformed,
}
