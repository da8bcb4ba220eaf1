//! Why a shard's journal cannot be used.

use derive_more::{
    Display,
    Error,
    From, //
};
use jasminebend_base::OwnerEpoch;
use jasminebend_placement::LedgerError;
use jasminebend_ports::{
    ObjectError,
    TableError, //
};

use crate::RecordError;

/// Why a shard's journal cannot be used. The shard then starts nothing.
#[derive(Clone, Copy, Debug, Display, Error, From, PartialEq)]
pub enum JournalError {
    /// The table service gave no answer; tried again.
    #[display("the journal cannot be read: {_0}")]
    Table(TableError),
    /// The object store gave no answer; tried again.
    #[display("the journal's snapshot cannot be read: {_0}")]
    Object(ObjectError),
    /// A record cannot be read.
    #[display("the journal holds a record that cannot be read: {_0}")]
    Record(RecordError),
    /// A transition does not follow.
    #[display("the journal does not follow: {_0}")]
    Ledger(LedgerError),
    /// The head names a snapshot or a row that is not there.
    #[display("the journal lacks row or snapshot {sequence:016x}")]
    #[from(skip)]
    Missing {
        /// The sequence number.
        sequence: u64,
    },
    /// A newer owner wrote to it.
    #[display("epoch {newer} took the shard over")]
    #[from(skip)]
    Deposed {
        /// The newer owner's epoch.
        newer: OwnerEpoch,
    },
}

impl JournalError {
    /// Tells whether trying again may help without anyone's doing.
    pub fn passes(self) -> bool {
        matches!(self, Self::Table(_) | Self::Object(_))
    }
}
