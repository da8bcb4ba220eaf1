//! The port of the platform's transactional table service.

use async_trait::async_trait;

use crate::{
    CommitOutcome,
    RowChange,
    RowKey,
    TableError,
    TableRow,
    WriteId, //
};

/// The port of the platform's transactional table service.
///
/// Reads are linearizable, and a commit is atomic. A commit whose outcome is unknown may take
/// effect later than a read that was sent after it; a writer therefore settles it with a
/// compare-and-set of its own and never by one read alone.
#[async_trait]
pub trait TableService: Send + Sync {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Any [`TableError`].
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, TableError>;

    /// Reads the rows whose key starts with `prefix` and sorts after `after`, in the order of their
    /// keys, `limit` of them at the most.
    ///
    /// # Errors
    ///
    /// Any [`TableError`].
    async fn scan(
        &self,
        prefix: &RowKey,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError>;

    /// Makes all changes or none; every written row keeps `write`.
    ///
    /// # Errors
    ///
    /// Any [`TableError`]; [`TableError::surely_not_run`] tells whether it may have taken effect.
    async fn commit(
        &self,
        write: WriteId,
        changes: Vec<RowChange>,
    ) -> Result<CommitOutcome, TableError>;
}
