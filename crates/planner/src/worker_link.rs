//! What the shard's owner knows of a worker.

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
    company_log::CompanyLog,
    link_phase::LinkPhase, //
};

/// What the shard's owner knows of a worker.
#[derive(Debug)]
pub(crate) struct WorkerLink {
    pub(crate) address: SocketAddr,
    /// Where the VM list shows it now, while its runs may go on at its former address.
    pub(crate) moved_to: Option<SocketAddr>,
    pub(crate) domain: DomainName,
    pub(crate) listed: bool,
    pub(crate) leaving: bool,
    pub(crate) phase: LinkPhase,
    /// Until when the worker may go on with its runs, whatever we do.
    pub(crate) holds_until: Duration,
    /// When the last answered renewal or adoption was sent.
    pub(crate) heard: Duration,
    pub(crate) calling: bool,
    /// Whether it is to be called again as soon as it has answered.
    pub(crate) call_again: bool,
    /// When it is to be heard next; earlier entries of the calendar are stale.
    pub(crate) contact_due: Option<Duration>,
    /// The lost answers in a row.
    pub(crate) unanswered: u32,
    pub(crate) incarnation: Option<u64>,
    pub(crate) runs: IndexSet<TaskId>,
    /// The runs that are committed and wait for room.
    pub(crate) ahead: IndexSet<TaskId>,
    /// The ends that are committed and not yet acknowledged.
    pub(crate) acknowledged: Vec<TaskAttempt>,
    /// The runs given up as lost of which a start may still be on its way.
    pub(crate) late_starts: Vec<TaskAttempt>,
    /// The runs there that belong nowhere, until they are stopped.
    pub(crate) strays: IndexMap<TaskAttempt, ResourceAmount>,
    pub(crate) ladder: OverloadController,
    pub(crate) company: CompanyLog,
    /// The jobs that failed there since one finished.
    pub(crate) failed_jobs: IndexSet<JobId>,
    pub(crate) set_aside: Option<Duration>,
    pub(crate) set_aside_for: Duration,
    pub(crate) probing: bool,
}

impl WorkerLink {
    pub(crate) fn new(address: SocketAddr, domain: DomainName, holds_until: Duration) -> Self {
        Self {
            address,
            moved_to: None,
            domain,
            listed: true,
            leaving: false,
            phase: LinkPhase::New,
            holds_until,
            heard: Duration::ZERO,
            calling: false,
            call_again: false,
            contact_due: None,
            unanswered: 0,
            incarnation: None,
            runs: IndexSet::new(),
            ahead: IndexSet::new(),
            acknowledged: Vec::new(),
            late_starts: Vec::new(),
            strays: IndexMap::new(),
            ladder: OverloadController::new(),
            company: CompanyLog::new(),
            failed_jobs: IndexSet::new(),
            set_aside: None,
            set_aside_for: Duration::ZERO,
            probing: false,
        }
    }

    pub(crate) fn note_silence(&mut self) {
        if self.phase == LinkPhase::Adopted {
            self.phase = LinkPhase::Silent;
        }
    }

    /// Tells whether it is not called until its lease has lapsed.
    pub(crate) fn is_left_alone(&self, most_unanswered: u32) -> bool {
        self.unanswered >= most_unanswered && !self.runs.is_empty()
    }
}
