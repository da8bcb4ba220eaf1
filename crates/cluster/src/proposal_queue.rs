//! The queue of the configuration changes that operators proposed at this daemon.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use jasminebend_base::{
    Configuration,
    ConfigurationVersion, //
};

use crate::{
    ConfigurationChange,
    ProposalError,
    RefusalReason,
    cluster_message::ProposalReply,
    write_outcome::WriteOutcome, //
};

/// The maximum number of queued changes; further ones are refused.
const MAX_QUEUED_PROPOSALS: usize = 64;

/// A change whose announcement was written, or may have been.
#[derive(Debug)]
pub(crate) struct PendingChange {
    /// The version that the configuration has if the change comes into force.
    pub(crate) version: u64,
    /// The configuration after the change.
    pub(crate) document: Configuration,
    /// Whether the table showed the change as announced by this daemon.
    pub(crate) seen_in_table: bool,
}

/// A change that an operator proposed, and that has no outcome yet.
#[derive(Debug)]
pub(crate) struct QueuedProposal {
    /// The requested change.
    pub(crate) change: ConfigurationChange,
    /// Where the outcome is sent.
    reply: ProposalReply,
    /// The time, on the daemon's monotonic clock, at which the proposal is abandoned.
    deadline: Duration,
    /// The announcement of the change; `None` before it is written.
    pub(crate) pending: Option<PendingChange>,
    /// The version under which a write with an unknown outcome may still announce the change; `None`
    /// without such a write.
    uncertain_version: Option<u64>,
    /// The reason why the change cannot be announced yet.
    pub(crate) blocking_reason: RefusalReason,
}

/// The changes that operators proposed at this daemon, oldest first. Only the first one is carried
/// out; the others wait for it.
#[derive(Debug, Default)]
pub(crate) struct ProposalQueue {
    queued: VecDeque<QueuedProposal>,
}

impl ProposalQueue {
    /// Appends a change, or refuses it if the queue is full.
    pub(crate) fn push(
        &mut self,
        change: ConfigurationChange,
        reply: ProposalReply,
        deadline: Duration,
    ) {
        if self.queued.len() == MAX_QUEUED_PROPOSALS {
            send_refusal(reply, RefusalReason::QueueFull);
            return;
        }
        self.queued.push_back(QueuedProposal {
            change,
            reply,
            deadline,
            pending: None,
            uncertain_version: None,
            blocking_reason: RefusalReason::NotCurrent,
        });
    }

    /// Returns the oldest change.
    pub(crate) fn front(&mut self) -> Option<&mut QueuedProposal> {
        self.queued.front_mut()
    }

    /// Removes the oldest change, and reports that it was accepted as this version.
    pub(crate) fn accept_front(&mut self, version: u64) {
        if let Some(proposal) = self.queued.pop_front() {
            let _ = proposal.reply.send(Ok(ConfigurationVersion(version)));
        }
    }

    /// Removes the oldest change, and reports that it was not accepted, or that its outcome is unknown
    /// if a lost write may still announce it.
    pub(crate) fn refuse_front(&mut self, reason: RefusalReason) {
        if let Some(proposal) = self.queued.pop_front() {
            proposal.report_failure(reason);
        }
    }

    /// Removes the changes whose deadlines have passed, and reports their outcomes.
    pub(crate) fn abandon_overdue(&mut self, now: Duration) {
        let proposals = std::mem::take(&mut self.queued);
        for proposal in proposals {
            if now < proposal.deadline {
                self.queued.push_back(proposal);
                continue;
            }
            let reason = proposal.blocking_reason.clone();
            proposal.report_failure(reason);
        }
    }

    /// Records the outcome of the write that announces the oldest change.
    pub(crate) fn record_write(&mut self, outcome: WriteOutcome) {
        let Some(proposal) = self.queued.front_mut() else {
            return;
        };
        let Some(pending) = proposal
            .pending
            .as_ref()
            .filter(|pending| !pending.seen_in_table)
        else {
            return;
        };
        match outcome {
            WriteOutcome::Committed => (),
            WriteOutcome::Unknown => proposal.uncertain_version = Some(pending.version),
            WriteOutcome::Conflict | WriteOutcome::NotRun => proposal.pending = None,
        }
    }
}

impl QueuedProposal {
    /// Reports the outcome as unknown if the change was or may have been announced, and as not
    /// accepted for this reason otherwise.
    fn report_failure(self, reason: RefusalReason) {
        let announced = self.pending.map(|pending| pending.version);
        let Some(version) = announced.or(self.uncertain_version) else {
            send_refusal(self.reply, reason);
            return;
        };
        let _ = self.reply.send(Err(ProposalError::Unknown {
            version: ConfigurationVersion(version),
        }));
    }
}

/// Reports that a change was not accepted.
fn send_refusal(reply: ProposalReply, reason: RefusalReason) {
    let _ = reply.send(Err(ProposalError::NotAccepted(reason)));
}
