//! Errors of a shard's journal.

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

/// The reason why a shard's journal cannot be used. The shard's owner then starts nothing.
#[derive(Clone, Copy, Debug, Display, Error, From, PartialEq)]
pub enum JournalError {
    /// The table service failed or did not answer; the operation is retried.
    #[display("the journal cannot be read: {_0}")]
    Table(TableError),
    /// The object store failed or did not answer; the operation is retried.
    #[display("the journal's snapshot cannot be read: {_0}")]
    Object(ObjectError),
    /// A record of the journal cannot be decoded.
    #[display("the journal holds a record that cannot be read: {_0}")]
    Record(RecordError),
    /// A logged transition cannot be applied to the ledger's state.
    #[display("a journal entry cannot be applied: {_0}")]
    Ledger(LedgerError),
    /// A snapshot or row that the journal should contain does not exist.
    #[display("row or snapshot {sequence:016x} of the journal is missing")]
    #[from(skip)]
    Missing {
        /// Sequence number of the missing log row or snapshot; 0 is the head row or the first log
        /// row.
        sequence: u64,
    },
    /// A newer owner wrote to the journal.
    #[display("epoch {newer} took the shard over")]
    #[from(skip)]
    Deposed {
        /// The newer owner's epoch.
        newer: OwnerEpoch,
    },
}

impl JournalError {
    /// Returns whether a retry may succeed without an operator's intervention.
    pub fn is_transient(self) -> bool {
        matches!(self, Self::Table(_) | Self::Object(_))
    }
}
