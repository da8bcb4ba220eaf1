//! The changes that operators proposed at this daemon.

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
    commit_end::CommitEnd, //
};

/// How many changes wait at one daemon.
const MAX_WAITING: usize = 64;

/// A change that was announced, or may have been.
#[derive(Debug)]
pub(crate) struct PendingChange {
    pub(crate) version: u64,
    pub(crate) document: Configuration,
    /// Whether the table showed it as announced by this daemon.
    pub(crate) seen: bool,
}

/// A change that an operator proposed.
#[derive(Debug)]
pub(crate) struct WaitingProposal {
    pub(crate) change: ConfigurationChange,
    reply: ProposalReply,
    deadline: Duration,
    pub(crate) pending: Option<PendingChange>,
    /// The version under which a write whose answer was lost may still announce it.
    doubt: Option<u64>,
    /// Why it has not begun yet.
    pub(crate) obstacle: RefusalReason,
}

/// The changes that operators proposed at this daemon, oldest first; one is made at a time.
#[derive(Debug, Default)]
pub(crate) struct ProposalQueue {
    waiting: VecDeque<WaitingProposal>,
}

impl ProposalQueue {
    pub(crate) fn push(
        &mut self,
        change: ConfigurationChange,
        reply: ProposalReply,
        deadline: Duration,
    ) {
        if self.waiting.len() == MAX_WAITING {
            refuse(reply, RefusalReason::Busy);
            return;
        }
        self.waiting.push_back(WaitingProposal {
            change,
            reply,
            deadline,
            pending: None,
            doubt: None,
            obstacle: RefusalReason::NotCurrent,
        });
    }

    pub(crate) fn front(&mut self) -> Option<&mut WaitingProposal> {
        self.waiting.front_mut()
    }

    pub(crate) fn accept(&mut self, version: u64) {
        if let Some(proposal) = self.waiting.pop_front() {
            let _ = proposal.reply.send(Ok(ConfigurationVersion(version)));
        }
    }

    pub(crate) fn refuse(&mut self, reason: RefusalReason) {
        if let Some(proposal) = self.waiting.pop_front() {
            proposal.give_up(reason);
        }
    }

    /// Gives up what took too long.
    pub(crate) fn expire(&mut self, now: Duration) {
        let kept = std::mem::take(&mut self.waiting);
        for proposal in kept {
            if now < proposal.deadline {
                self.waiting.push_back(proposal);
                continue;
            }
            let reason = proposal.obstacle.clone();
            proposal.give_up(reason);
        }
    }

    /// Takes note of how the announcement's write ended.
    pub(crate) fn end_write(&mut self, end: CommitEnd) {
        let Some(proposal) = self.waiting.front_mut() else {
            return;
        };
        let Some(pending) = proposal.pending.as_ref().filter(|pending| !pending.seen) else {
            return;
        };
        match end {
            CommitEnd::Committed => (),
            CommitEnd::Unknown => proposal.doubt = Some(pending.version),
            CommitEnd::Conflict | CommitEnd::NotRun => proposal.pending = None,
        }
    }
}

impl WaitingProposal {
    fn give_up(self, reason: RefusalReason) {
        let announced = self.pending.map(|pending| pending.version);
        let Some(version) = announced.or(self.doubt) else {
            refuse(self.reply, reason);
            return;
        };
        let _ = self.reply.send(Err(ProposalError::Unknown {
            version: ConfigurationVersion(version),
        }));
    }
}

fn refuse(reply: ProposalReply, reason: RefusalReason) {
    let _ = reply.send(Err(ProposalError::NotAccepted(reason)));
}
