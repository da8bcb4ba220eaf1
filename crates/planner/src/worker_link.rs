//! The state of a worker that a shard's owner tracks.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use indexmap::{
    IndexMap,
    IndexSet, //
};
use jasminebend_base::{
    DomainName,
    ResourceAmount, //
};
use jasminebend_placement::{
    JobId,
    OverloadController,
    TaskId, //
};
use jasminebend_ports::TaskAttempt;

use crate::{
    colocation_history::ColocationHistory,
    link_phase::LinkPhase, //
};

/// The state of a worker that a shard's owner tracks.
#[derive(Debug)]
pub(crate) struct WorkerLink {
    pub(crate) address: SocketAddr,
    /// The worker's new address in the VM list, while its runs may continue at the former one.
    pub(crate) new_address: Option<SocketAddr>,
    pub(crate) domain: DomainName,
    /// Whether the VM list contains the worker.
    pub(crate) listed: bool,
    /// Whether the VM list marks the worker's VM as leaving.
    pub(crate) leaving: bool,
    pub(crate) phase: LinkPhase,
    /// Time until which the worker may keep its tasks running without another renewal.
    pub(crate) lease_lapses_by: Duration,
    /// When the last answered renewal or adoption was sent.
    pub(crate) last_answered_call_sent: Duration,
    /// Whether an adoption or renewal is in progress.
    pub(crate) call_in_progress: bool,
    /// Whether the worker must be called again as soon as the call in progress is answered.
    pub(crate) call_again: bool,
    /// Time of the next call; other scheduled calls to this worker are stale.
    pub(crate) call_due: Option<Duration>,
    /// Number of lost answers in a row.
    pub(crate) unanswered_calls: u32,
    /// Incarnation of the worker process that was adopted.
    pub(crate) incarnation: Option<u64>,
    pub(crate) runs: IndexSet<TaskId>,
    /// Pre-committed runs that wait for free capacity, in commit order.
    pub(crate) precommitted: IndexSet<TaskId>,
    /// Runs whose end is committed and not yet acknowledged to the worker.
    pub(crate) unacknowledged_ends: Vec<TaskAttempt>,
    /// Runs that were ended as lost and whose start may still be in transit.
    pub(crate) late_starts: Vec<TaskAttempt>,
    /// Runs on the worker that the journal does not place there, with their capacity, until they
    /// have stopped.
    pub(crate) orphans: IndexMap<TaskAttempt, ResourceAmount>,
    pub(crate) overload_controller: OverloadController,
    /// Classes that ran together on the worker.
    pub(crate) colocation_history: ColocationHistory,
    /// Jobs that failed on the worker since a task last finished there.
    pub(crate) failed_jobs: IndexSet<JobId>,
    /// End of the worker's quarantine, after which it is probed; `None` if it is not quarantined.
    pub(crate) quarantined_until: Option<Duration>,
    /// Length of the current quarantine.
    pub(crate) quarantine_duration: Duration,
    /// Whether a probe task is placed on the worker.
    pub(crate) probing: bool,
}

impl WorkerLink {
    pub(crate) fn new(address: SocketAddr, domain: DomainName, lease_lapses_by: Duration) -> Self {
        Self {
            address,
            new_address: None,
            domain,
            listed: true,
            leaving: false,
            phase: LinkPhase::New,
            lease_lapses_by,
            last_answered_call_sent: Duration::ZERO,
            call_in_progress: false,
            call_again: false,
            call_due: None,
            unanswered_calls: 0,
            incarnation: None,
            runs: IndexSet::new(),
            precommitted: IndexSet::new(),
            unacknowledged_ends: Vec::new(),
            late_starts: Vec::new(),
            orphans: IndexMap::new(),
            overload_controller: OverloadController::new(),
            colocation_history: ColocationHistory::new(),
            failed_jobs: IndexSet::new(),
            quarantined_until: None,
            quarantine_duration: Duration::ZERO,
            probing: false,
        }
    }

    /// Marks an adopted worker as silent.
    pub(crate) fn mark_silent(&mut self) {
        if self.phase == LinkPhase::Adopted {
            self.phase = LinkPhase::Silent;
        }
    }

    /// Returns whether the worker is not called until its lease has lapsed.
    pub(crate) fn is_waiting_for_lapse(&self, max_unanswered: u32) -> bool {
        self.unanswered_calls >= max_unanswered && !self.runs.is_empty()
    }
}
