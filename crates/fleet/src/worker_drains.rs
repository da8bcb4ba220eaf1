//! The workers that are drained for the maintenance of their VMs.

use std::{
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_dispatch::Dispatcher;

use crate::owner_term::OwnerTerm;

/// The workers that are drained for the maintenance of their VMs.
#[derive(Debug, Default)]
pub(crate) struct WorkerDrains {
    drains: IndexMap<Arc<str>, WorkerDrain>,
}

/// Why a worker is drained.
#[derive(Debug, Default)]
struct WorkerDrain {
    /// When a wave last asked for the drain.
    requested_at: Duration,
    /// Until when a call without an answer may be carried out.
    uncertain_until: Duration,
    /// When the platform confirmed the maintenance.
    confirmed_at: Option<Duration>,
}

impl WorkerDrain {
    fn is_needed(&self, worker: &str, requested_since: Duration, dispatcher: &Dispatcher) -> bool {
        // A worker that answers after the confirmation was maintained before.
        let is_maintained = self
            .confirmed_at
            .is_some_and(|at| !dispatcher.has_answered_since(worker, at));
        self.requested_at >= requested_since || is_maintained
    }
}

impl WorkerDrains {
    /// Records that a wave asks for the drain of a worker.
    pub(crate) fn request(&mut self, worker: &Arc<str>, now: Duration) {
        self.drain_mut(worker).requested_at = now;
    }

    /// Records that the platform confirmed the maintenance of a worker's VM.
    pub(crate) fn confirm(&mut self, worker: &Arc<str>, now: Duration) {
        self.drain_mut(worker).confirmed_at = Some(now);
    }

    /// Records that a call without an answer may be carried out until `until`.
    pub(crate) fn keep_until(&mut self, worker: &Arc<str>, until: Duration) {
        self.drain_mut(worker).uncertain_until = until;
    }

    /// Releases the workers that no wave has asked for since `requested_since`, unless their VM may go down.
    pub(crate) fn release_unneeded(
        &mut self,
        term: &OwnerTerm,
        requested_since: Duration,
        now: Duration,
    ) {
        let mut dispatcher = term.dispatcher.borrow_mut();
        let before = self.drains.len();
        self.drains.retain(|worker, drain| {
            let is_needed = now < drain.uncertain_until
                || drain.is_needed(worker, requested_since, &dispatcher);
            if !is_needed {
                dispatcher.cancel_maintenance(worker);
            }
            is_needed
        });
        if self.drains.len() < before {
            term.plan_wakeup.notify_one();
        }
    }

    fn drain_mut(&mut self, worker: &Arc<str>) -> &mut WorkerDrain {
        self.drains.entry(Arc::clone(worker)).or_default()
    }
}
