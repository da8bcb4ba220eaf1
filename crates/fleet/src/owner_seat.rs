//! What the owner of the jobs and workers holds.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        HashMap,
        HashSet, //
    },
    time::Duration,
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

/// What the owner of the jobs and workers holds. It is over for good once another owner is known.
pub(crate) struct OwnerSeat {
    pub(crate) record: OwnerRecord,
    /// The guard that the owner's row still names this seat.
    pub(crate) guard: RowGuard,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    /// The versions of the jobs' progress rows.
    pub(crate) progress_versions: RefCell<HashMap<JobKey, u64>>,
    /// The workers that are attended.
    pub(crate) attended: RefCell<HashSet<WorkerKey>>,
    /// Wakes the planner.
    pub(crate) plan: Notify,
    /// Wakes the committer.
    pub(crate) commit: Notify,
    /// Counts the commits.
    pub(crate) committed: watch::Sender<u64>,
    /// In how many rows a former owner kept its workers.
    pub(crate) kept_rows: Cell<usize>,
    /// Whether the set of workers has changed since it was last kept.
    pub(crate) workers_changed: Cell<bool>,
    /// Until when a former owner may not know that it was replaced.
    pub(crate) shared_until: Cell<Duration>,
    /// Whether what is on record was read.
    pub(crate) loaded: Cell<bool>,
    /// When the last question was sent whose answer confirmed the seat.
    confirmed: Cell<Duration>,
    over: watch::Sender<bool>,
}

impl OwnerSeat {
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
            attended: RefCell::new(HashSet::new()),
            plan: Notify::new(),
            commit: Notify::new(),
            committed: watch::Sender::new(0),
            kept_rows: Cell::new(0),
            workers_changed: Cell::new(true),
            shared_until: Cell::new(Duration::ZERO),
            loaded: Cell::new(false),
            confirmed: Cell::new(now),
            over: watch::Sender::new(false),
        }
    }

    pub(crate) fn with_shared_until(self, until: Duration) -> Self {
        self.shared_until.set(until);
        self
    }

    pub(crate) fn token(&self) -> u64 {
        self.record.token
    }

    /// Takes note that a question sent at `sent` was answered: the seat stood then.
    pub(crate) fn confirm(&self, sent: Duration) {
        self.confirmed.set(self.confirmed.get().max(sent));
    }

    /// Returns for how long the seat has not been confirmed.
    pub(crate) fn unconfirmed(&self, now: Duration) -> Duration {
        now.saturating_sub(self.confirmed.get())
    }

    pub(crate) fn is_over(&self) -> bool {
        *self.over.borrow()
    }

    /// Ends the seat.
    pub(crate) fn depose(&self) {
        self.over.send_replace(true);
        self.plan.notify_one();
        self.commit.notify_one();
    }

    /// Waits until the seat is over.
    pub(crate) async fn ended(&self) {
        let mut over = self.over.subscribe();
        // The sender lives as long as the seat.
        drop(over.wait_for(|over| *over).await);
    }
}
