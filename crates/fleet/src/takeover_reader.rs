//! Reads the records that a new owner needs.

use std::{
    cell::Cell,
    rc::Rc, //
};

use crate::{
    RegistryChange,
    RowPage,
    StoreError,
    StoreRow,
    StoreTable,
    job_reader::JobReader,
    job_watch::JobWatchPosition,
    part_reader::PartReader,
    shared_state::{
        SHARD_PART,
        SharedState, //
    }, //
};

/// Reads the registry, the jobs and their progress. What was read is kept when a call fails: on a narrow link the records
/// take seconds.
pub(crate) struct TakeoverReader {
    registry: Option<RowPage<RegistryChange>>,
    progress: PartReader,
    jobs: JobReader,
    /// The number of pages that were read.
    page_count: Rc<Cell<u64>>,
}

/// All records that a new owner needs.
pub(crate) struct TakeoverRecords {
    pub(crate) registry: RowPage<RegistryChange>,
    pub(crate) progress: Vec<StoreRow>,
    pub(crate) jobs: JobReader,
    /// The point from which to watch the jobs.
    pub(crate) job_position: JobWatchPosition,
}

impl TakeoverReader {
    pub(crate) fn new(shared: &SharedState) -> Self {
        let page_count = Rc::default();
        Self {
            registry: None,
            progress: progress_reader(&page_count),
            jobs: JobReader::new(shared.now()).with_page_count(&page_count),
            page_count,
        }
    }

    /// Returns the number of pages that were read, which goes on counting.
    pub(crate) fn page_count(&self) -> Rc<Cell<u64>> {
        Rc::clone(&self.page_count)
    }

    /// Discards all but the jobs, which are watched from where they were read: until its row is replaced another owner can
    /// change their progress, and start tasks on workers that were listed since.
    pub(crate) fn keep_jobs_only(&mut self) {
        self.registry = None;
        self.progress = progress_reader(&self.page_count);
    }

    /// Reads what was not read yet.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of a call that failed; another call to this function continues there.
    pub(crate) async fn read(&mut self, shared: &Rc<SharedState>) -> Result<(), StoreError> {
        let (registry, progress, jobs) = tokio::join!(
            read_registry(shared, &mut self.registry),
            self.progress.read(&shared.store),
            self.jobs.read(shared),
        );
        registry.and(progress).and(jobs)
    }

    /// Returns the records, or `None` if they were not all read.
    pub(crate) fn into_records(self) -> Option<TakeoverRecords> {
        let job_position = self.jobs.position()?;
        Some(TakeoverRecords {
            registry: self.registry?,
            progress: self.progress.into_rows(),
            jobs: self.jobs,
            job_position,
        })
    }
}

fn progress_reader(page_count: &Rc<Cell<u64>>) -> PartReader {
    PartReader::of_part(StoreTable::Progress, SHARD_PART).with_page_count(page_count)
}

async fn read_registry(
    shared: &SharedState,
    registry: &mut Option<RowPage<RegistryChange>>,
) -> Result<(), StoreError> {
    if registry.is_none() {
        let store = &shared.store;
        *registry = Some(store.call(store.port().read_registry()).await?);
    }
    Ok(())
}
