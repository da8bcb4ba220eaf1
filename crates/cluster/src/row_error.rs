//! Why the shared rows could not be read or written.

use derive_more::{
    Display,
    Error, //
};
use jasminebend_ports::TableError;

/// Why the shared rows could not be read or written.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum RowError {
    /// The table gave no answer.
    #[display("{_0}")]
    Table(#[error(source)] TableError),
    /// A later release wrote the row.
    #[display("a shared row is of another release's format")]
    OtherFormat,
    /// Other daemons were started with other numbers of seats, slot shares or shards.
    #[display(
        "the numbers of seats, slot shares and shards differ from those of the other daemons"
    )]
    OtherSizes,
    /// The row cannot be read.
    #[display("a shared row is malformed")]
    Malformed,
}
