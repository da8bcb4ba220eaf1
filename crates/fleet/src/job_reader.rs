//! Reads all jobs and cancellations in the store.

use std::{
    cell::Cell,
    rc::Rc,
    time::Duration, //
};

use crate::{
    StoreError,
    StoreRow,
    StoreTable,
    job_watch::JobWatchPosition,
    part_reader::{
        PartReader,
        read_parts, //
    },
    shared_state::{
        CANCELLATION_SUFFIX,
        SharedState,
        all_job_parts, //
    }, //
};

/// Reads all jobs and cancellations. What was read is kept when a call fails.
#[derive(Debug)]
pub(crate) struct JobReader {
    parts: Vec<PartReader>,
    /// When the first call was sent.
    sent_at: Duration,
}

impl JobReader {
    /// Creates a reader that begins at `now`.
    pub(crate) fn new(now: Duration) -> Self {
        let parts = all_job_parts();
        Self {
            parts: parts
                .map(|part| PartReader::of_part(StoreTable::Jobs, &part))
                .collect(),
            sent_at: now,
        }
    }

    /// Counts the pages that are read in `page_count` too.
    pub(crate) fn with_page_count(self, page_count: &Rc<Cell<u64>>) -> Self {
        let parts = self.parts.into_iter();
        Self {
            parts: parts.map(|part| part.with_page_count(page_count)).collect(),
            ..self
        }
    }

    /// Reads what was not read yet.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a part that could not be read; another call to this function continues there.
    pub(crate) async fn read(&mut self, shared: &Rc<SharedState>) -> Result<(), StoreError> {
        read_parts(shared, &mut self.parts).await
    }

    /// Returns the point from which to watch for changes of what was read, or `None` if no part was read. Changes of the
    /// pages of a part that is still being read count too: it is read on from its last page.
    pub(crate) fn position(&self) -> Option<JobWatchPosition> {
        self.complete_parts().next()?;
        let versions = self.parts.iter().filter_map(PartReader::first_version);
        Some(JobWatchPosition::new(versions.min()?, self.sent_at))
    }

    /// Returns the rows of the parts that were read, cancellations last.
    pub(crate) fn rows(&self) -> Vec<&StoreRow> {
        let mut rows: Vec<&StoreRow> = self.complete_parts().flat_map(PartReader::rows).collect();
        rows.sort_by_key(|row| is_cancellation(row));
        rows
    }

    fn complete_parts(&self) -> impl Iterator<Item = &PartReader> {
        self.parts.iter().filter(|part| part.is_complete())
    }
}

/// Returns whether a row of the table of jobs is a cancellation.
pub(crate) fn is_cancellation(row: &StoreRow) -> bool {
    row.key.ends_with(CANCELLATION_SUFFIX)
}
