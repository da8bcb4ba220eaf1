//! Reads parts of the store page by page.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    mem,
    rc::Rc, //
};

use tokio::task::JoinSet;

use crate::{
    StoreError,
    StoreRow,
    StoreTable,
    monitored_store::MonitoredStore,
    shared_state::SharedState, //
};

/// The most parts that are read at a time: the answers share the VM's link with all other traffic.
const MAX_CONCURRENT_READS: usize = 4;

/// Reads the rows of a part page by page. What was read is kept when a call fails.
#[derive(Debug)]
pub(crate) struct PartReader {
    table: StoreTable,
    part: String,
    /// The smallest key that was not read yet.
    from: String,
    /// The first key that is not to be read.
    to: Option<String>,
    rows: Vec<StoreRow>,
    /// The store's version at the first page; later changes may be missing.
    version: Option<u64>,
    is_complete: bool,
    /// The number of pages that this reader and others with the same count have read.
    page_count: Rc<Cell<u64>>,
}

impl PartReader {
    /// Creates a reader of the rows with keys from `from`, inclusive, to `to`, exclusive.
    pub(crate) fn new(table: StoreTable, part: &str, from: &str, to: Option<&str>) -> Self {
        Self {
            table,
            part: part.to_owned(),
            from: from.to_owned(),
            to: to.map(str::to_owned),
            rows: Vec::new(),
            version: None,
            is_complete: false,
            page_count: Rc::default(),
        }
    }

    /// Counts the pages that are read in `page_count` too.
    pub(crate) fn with_page_count(self, page_count: &Rc<Cell<u64>>) -> Self {
        Self {
            page_count: Rc::clone(page_count),
            ..self
        }
    }

    /// Creates a reader of all rows.
    pub(crate) fn of_part(table: StoreTable, part: &str) -> Self {
        Self::new(table, part, "", None)
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    pub(crate) fn rows(&self) -> &[StoreRow] {
        &self.rows
    }

    pub(crate) fn into_rows(self) -> Vec<StoreRow> {
        self.rows
    }

    /// Returns the store's version at the first page, or `None` before it was read.
    pub(crate) fn first_version(&self) -> Option<u64> {
        self.version
    }

    /// Reads the remaining pages.
    ///
    /// # Errors
    ///
    /// Any [`StoreError`] of the first call that fails; another call to this function continues there.
    pub(crate) async fn read(&mut self, store: &MonitoredStore) -> Result<(), StoreError> {
        while !self.is_complete {
            let page = store
                .read_page(self.table, &self.part, &self.from, self.to.as_deref())
                .await?;
            self.page_count.set(self.page_count.get() + 1);
            self.version.get_or_insert(page.version);
            if let Some(last) = page.items.last() {
                // The smallest key greater than the last one.
                self.from = format!("{}\0", last.key);
            }
            self.is_complete = !page.more || page.items.is_empty();
            self.rows.extend(page.items);
        }
        Ok(())
    }
}

/// Reads the remaining pages of all parts, at most [`MAX_CONCURRENT_READS`] at a time.
///
/// # Errors
///
/// Any [`StoreError`] of a part; the others are read nevertheless.
pub(crate) async fn read_parts(
    shared: &Rc<SharedState>,
    parts: &mut Vec<PartReader>,
) -> Result<(), StoreError> {
    let unread = Rc::new(RefCell::new(mem::take(parts)));
    let mut reads = JoinSet::new();
    for _ in 0..MAX_CONCURRENT_READS {
        reads.spawn_local(read_from_queue(Rc::clone(shared), Rc::clone(&unread)));
    }
    let mut result = Ok(());
    while let Some(read) = reads.join_next().await {
        let (read, error) = read.unwrap_or((Vec::new(), Some(StoreError::Unknown)));
        parts.extend(read);
        if let Some(error) = error {
            result = Err(error);
        }
    }
    result
}

/// Reads parts from a queue until it is empty; returns them, and an error if one could not be read.
async fn read_from_queue(
    shared: Rc<SharedState>,
    unread: Rc<RefCell<Vec<PartReader>>>,
) -> (Vec<PartReader>, Option<StoreError>) {
    let mut parts = Vec::new();
    let mut error = None;
    loop {
        let next = unread.borrow_mut().pop();
        let Some(mut part) = next else {
            return (parts, error);
        };
        error = part.read(&shared.store).await.err().or(error);
        parts.push(part);
    }
}
