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
    WorkerKey, //
};
use tokio::sync::{
    Notify,
    watch, //
};

use crate::{
    OwnerQuorum,
    OwnerRecord,
    RowGuard,
    WitnessWorker, //
};

/// State of this daemon's term as the owner of the jobs and workers. A term begins when the daemon writes the owner's
/// row with a new fencing token, and is over for good once another owner is known.
pub(crate) struct OwnerTerm {
    /// The owner's row as this daemon wrote it.
    pub(crate) record: OwnerRecord,
    /// The guard that requires the owner's row to be the one that began this term.
    pub(crate) guard: RowGuard,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    /// The store's versions of the rows with jobs' progress, and with ends of jobs that can't be read, by the rows' keys.
    pub(crate) progress_versions: RefCell<HashMap<String, u64>>,
    /// The workers whose leases are being renewed.
    pub(crate) renewed_workers: RefCell<HashSet<WorkerKey>>,
    /// Wakes the task that plans orders.
    pub(crate) plan_wakeup: Notify,
    /// Wakes the task that commits progress.
    pub(crate) commit_wakeup: Notify,
    /// The number of progress commits so far.
    pub(crate) committed: watch::Sender<u64>,
    /// The store's versions of the rows that list the workers; 0 for a row that does not exist.
    pub(crate) worker_row_versions: RefCell<Vec<u64>>,
    /// Whether the set of workers has changed since it was last recorded.
    pub(crate) workers_changed: Cell<bool>,
    /// Wakes the task that records the workers.
    pub(crate) workers_wakeup: Notify,
    /// When all former owners have certainly stopped acting, by the monotonic clock; [`Duration::MAX`] before the set of
    /// members was read.
    pub(crate) former_owners_until: Cell<Duration>,
    /// Until when a former owner may add jobs that it learns of, by the monotonic clock.
    pub(crate) former_adds_until: Cell<Duration>,
    /// The members by whose word this daemon may act without the store; `None` before they were read.
    pub(crate) quorum: RefCell<Option<OwnerQuorum>>,
    /// The store's version of the row with the set of members; 0 if there is none.
    pub(crate) member_set_version: Cell<u64>,
    /// Whether all records have been read from the store.
    pub(crate) loaded: Cell<bool>,
    /// Whether jobs are held back since they could not all be read again after the store has dropped its history.
    pub(crate) holds_jobs: Cell<bool>,
    /// The number of pages of records that have been read.
    pub(crate) page_count: Rc<Cell<u64>>,
    /// When the last call was sent whose answer confirmed the term.
    confirmed: Cell<Duration>,
    /// When the last call to the store was sent whose answer confirmed the term.
    store_confirmed: Cell<Duration>,
    /// When the store had answered the claim that began the term.
    claimed_at: Duration,
    over: watch::Sender<bool>,
}

impl OwnerTerm {
    pub(crate) fn new(
        record: OwnerRecord,
        guard: RowGuard,
        dispatcher: Dispatcher,
        sent: Duration,
        claimed_at: Duration,
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
            worker_row_versions: RefCell::new(Vec::new()),
            workers_changed: Cell::new(true),
            workers_wakeup: Notify::new(),
            former_owners_until: Cell::new(Duration::MAX),
            former_adds_until: Cell::new(Duration::MAX),
            quorum: RefCell::new(None),
            member_set_version: Cell::new(0),
            loaded: Cell::new(false),
            holds_jobs: Cell::new(false),
            page_count: Rc::default(),
            confirmed: Cell::new(sent),
            store_confirmed: Cell::new(sent),
            claimed_at,
            over: watch::Sender::new(false),
        }
    }

    pub(crate) fn with_page_count(self, page_count: Rc<Cell<u64>>) -> Self {
        Self { page_count, ..self }
    }

    pub(crate) fn token(&self) -> u64 {
        self.record.token
    }

    /// Returns whether there was no owner before this one.
    pub(crate) fn is_first_owner(&self) -> bool {
        self.dispatcher.borrow().former_token().is_none()
    }

    /// Returns whether calls to a worker still carry this token. If they carry a higher one, as the worker has restarted, a
    /// refusal of this one tells of no successor.
    pub(crate) fn uses_token(&self, worker: WorkerKey, token: u64) -> bool {
        self.dispatcher.borrow().worker_token(worker) == token
    }

    /// Returns when the store had answered the claim that began the term.
    pub(crate) fn claimed_at(&self) -> Duration {
        self.claimed_at
    }

    /// Records that a call to the store sent at `sent` confirmed the term as of that time.
    pub(crate) fn confirm(&self, sent: Duration) {
        self.store_confirmed
            .set(self.store_confirmed.get().max(sent));
        self.confirmed.set(self.confirmed.get().max(sent));
    }

    /// Records that the daemons `confirming` have answered probes sent at `sent` that they know no newer owner.
    pub(crate) fn confirm_by_members(
        &self,
        confirming: &HashSet<String>,
        sent: Duration,
        grace: Duration,
    ) {
        let quorum = self.quorum.borrow();
        let dispatcher = self.dispatcher.borrow();
        let answered_call_at =
            |worker: &WitnessWorker| dispatcher.answered_call_at(&worker.id, worker.incarnation);
        let store_confirmed = self.store_confirmed.get();
        let as_of = quorum.as_ref().and_then(|quorum| {
            quorum.confirmed_as_of(confirming, sent, store_confirmed, grace, answered_call_at)
        });
        if let Some(as_of) = as_of {
            self.confirmed.set(self.confirmed.get().max(as_of));
        }
    }

    /// Returns the time since the store last confirmed the term.
    pub(crate) fn time_since_store_confirmation(&self, now: Duration) -> Duration {
        now.saturating_sub(self.store_confirmed.get())
    }

    /// Returns whether all former owners have certainly stopped acting.
    pub(crate) fn is_settled(&self, now: Duration) -> bool {
        now >= self.former_owners_until.get()
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
