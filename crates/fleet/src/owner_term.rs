//! State of this daemon's term as the owner.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        HashMap,
        HashSet, //
    },
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    Dispatcher,
    JobKey,
    WorkerKey, //
};
use tokio::sync::{
    Notify,
    watch, //
};

use crate::{
    OwnerRecord,
    RowGuard, //
};

/// State of this daemon's term as the owner of the jobs and workers. A term begins when the daemon writes the owner's
/// row with a new fencing token, and is over for good once another owner is known.
pub(crate) struct OwnerTerm {
    /// The owner's row as this daemon wrote it.
    pub(crate) record: OwnerRecord,
    /// The guard that requires the owner's row to be the one that began this term.
    pub(crate) guard: RowGuard,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    /// The store's versions of the jobs' progress rows.
    pub(crate) progress_versions: RefCell<HashMap<JobKey, u64>>,
    /// The workers whose leases are being renewed.
    pub(crate) renewed_workers: RefCell<HashSet<WorkerKey>>,
    /// Wakes the task that plans orders.
    pub(crate) plan_wakeup: Notify,
    /// Wakes the task that commits progress.
    pub(crate) commit_wakeup: Notify,
    /// The number of progress commits so far.
    pub(crate) committed: watch::Sender<u64>,
    /// The number of rows in which the former owner recorded its workers.
    pub(crate) worker_row_count: Cell<usize>,
    /// Whether the set of workers has changed since it was last recorded.
    pub(crate) workers_changed: Cell<bool>,
    /// Until when a former owner may act without knowing that it was replaced, by the monotonic clock.
    pub(crate) former_owner_until: Cell<Duration>,
    /// Whether all records have been read from the store.
    pub(crate) loaded: Cell<bool>,
    /// Whether jobs are held back since they could not all be read again after the store has dropped its history.
    pub(crate) holds_jobs: Cell<bool>,
    /// The number of pages of records that have been read.
    pub(crate) page_count: Rc<Cell<u64>>,
    /// When the last call was sent whose answer confirmed the term.
    confirmed: Cell<Duration>,
    over: watch::Sender<bool>,
}

impl OwnerTerm {
    pub(crate) fn new(
        record: OwnerRecord,
        guard: RowGuard,
        dispatcher: Dispatcher,
        now: Duration,
    ) -> Self {
        Self {
            record,
            guard,
            dispatcher: RefCell::new(dispatcher),
            progress_versions: RefCell::new(HashMap::new()),
            renewed_workers: RefCell::new(HashSet::new()),
            plan_wakeup: Notify::new(),
            commit_wakeup: Notify::new(),
            committed: watch::Sender::new(0),
            worker_row_count: Cell::new(0),
            workers_changed: Cell::new(true),
            former_owner_until: Cell::new(Duration::ZERO),
            loaded: Cell::new(false),
            holds_jobs: Cell::new(false),
            page_count: Rc::default(),
            confirmed: Cell::new(now),
            over: watch::Sender::new(false),
        }
    }

    pub(crate) fn with_page_count(self, page_count: Rc<Cell<u64>>) -> Self {
        Self { page_count, ..self }
    }

    pub(crate) fn with_former_owner_until(self, until: Duration) -> Self {
        self.former_owner_until.set(until);
        self
    }

    pub(crate) fn token(&self) -> u64 {
        self.record.token
    }

    /// Records that a call sent at `sent` confirmed the term as of that time.
    pub(crate) fn confirm(&self, sent: Duration) {
        self.confirmed.set(self.confirmed.get().max(sent));
    }

    /// Returns the time since the term was last confirmed.
    pub(crate) fn time_since_confirmation(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed.get())
    }

    pub(crate) fn is_over(&self) -> bool {
        *self.over.borrow()
    }

    /// Ends the term and wakes its tasks.
    pub(crate) fn end(&self) {
        self.over.send_replace(true);
        self.plan_wakeup.notify_one();
        self.commit_wakeup.notify_one();
    }

    /// Waits until the term is over.
    pub(crate) async fn until_over(&self) {
        let mut over = self.over.subscribe();
        // `wait_for` can't fail: `self` owns the sender.
        drop(over.wait_for(|over| *over).await);
    }
}
