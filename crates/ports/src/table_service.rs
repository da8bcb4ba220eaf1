//! The port to the platform's transactional table service.

use async_trait::async_trait;

use crate::{
    CommitOutcome,
    RowChange,
    RowKey,
    TableError,
    TableRow,
    WriteId, //
};

/// The port to the platform's transactional table service.
///
/// Reads are linearizable, and commits are atomic. A commit whose outcome is unknown may take
/// effect after a later read. A writer therefore resolves it by another commit with an expectation
/// (compare-and-set), never by a read alone.
#[async_trait]
pub trait TableService: Send + Sync {
    /// Reads a row; returns `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Any [`TableError`].
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, TableError>;

    /// Reads at most `limit` rows whose keys start with `prefix` and sort after `after`, in the
    /// order of their keys.
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

    /// Applies all changes or none; every written row stores `write` as the id of its last write.
    ///
    /// # Errors
    ///
    /// Any [`TableError`]; [`TableError::certainly_had_no_effect`] returns whether the commit
    /// certainly had no effect.
    async fn commit(
        &self,
        write: WriteId,
        changes: Vec<RowChange>,
    ) -> Result<CommitOutcome, TableError>;
}
