//! The workers that are drained for the maintenance of their VMs.

use std::{
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;

use crate::owner_term::OwnerTerm;

/// The workers that are drained for the maintenance of their VMs.
#[derive(Debug, Default)]
pub(crate) struct WorkerDrains {
    /// When the platform confirmed the maintenance of each worker's VM.
    confirmed: IndexMap<Arc<str>, Duration>,
}

impl WorkerDrains {
    /// Records that the platform confirmed the maintenance of a worker's VM at `now`.
    pub(crate) fn confirm(&mut self, worker: &Arc<str>, now: Duration) {
        self.confirmed.insert(Arc::clone(worker), now);
    }

    /// Releases the workers that answer calls although their VM's maintenance was confirmed: it had taken place before.
    pub(crate) fn release_survivors(&mut self, term: &OwnerTerm) {
        let mut dispatcher = term.dispatcher.borrow_mut();
        let survivors = self
            .confirmed
            .extract_if(.., |worker, at| dispatcher.has_answered_since(worker, *at));
        let survivors: Vec<Arc<str>> = survivors.map(|(worker, _)| worker).collect();
        for worker in &survivors {
            dispatcher.cancel_maintenance(worker);
        }
        if !survivors.is_empty() {
            term.plan_wakeup.notify_one();
        }
    }
}
