//! How a proposed change gets into the table.

use jasminebend_base::{
    Configuration,
    ConfigurationVersion, //
};
use jasminebend_ports::{
    RowChange,
    RowExpectation, //
};
use jasminebend_wire::MAX_FRAME_BYTES;
use ractor::ActorRef;

use crate::{
    RefusalReason,
    change_edit::edit_configuration,
    cluster_message::ClusterMessage,
    cluster_state::ClusterState,
    proposal_queue::PendingChange,
    shared_rows::document_key, //
};

/// A document must fit into a frame with room for what is around it.
const MAX_DOCUMENT_BYTES: usize = MAX_FRAME_BYTES - 1024;

/// How many documents stay: a daemon may be reading one that was replaced a moment ago.
const DOCUMENTS_KEPT: u64 = 4;

/// What the table says of a pending change.
enum PendingState {
    Open,
    Lost,
    Accepted,
}

impl ClusterState {
    /// Takes the oldest proposed change a step further.
    pub(crate) fn advance_proposals(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        self.proposals.expire(now);
        let Some(proposal) = self.proposals.front() else {
            return;
        };
        match proposal.pending.take() {
            Some(pending) => self.settle_pending(pending),
            None => self.begin_proposal(myself),
        }
    }

    fn settle_pending(&mut self, mut pending: PendingChange) {
        match self.pending_state(&mut pending) {
            PendingState::Accepted => {
                let version = pending.version;
                self.install(pending.document);
                self.proposals.accept(version);
            }
            PendingState::Open => {
                if let Some(proposal) = self.proposals.front() {
                    proposal.pending = Some(pending);
                }
            }
            PendingState::Lost => (),
        }
    }

    /// A write whose answer was lost is settled by what the table shows, and by writing again under
    /// compare-and-set, never by one read alone.
    fn pending_state(&self, pending: &mut PendingChange) -> PendingState {
        let machine = self.lock();
        let Some(header) = machine.table().map(|table| table.configuration.row) else {
            return PendingState::Open;
        };
        let own = header.intent.is_some_and(|intent| {
            intent.version == pending.version && intent.by == machine.nonce()
        });
        pending.seen |= own;
        if pending.seen && header.version >= pending.version {
            return PendingState::Accepted;
        }
        if pending.seen || !machine.has_settled_write() {
            return PendingState::Open;
        }
        PendingState::Lost
    }

    fn begin_proposal(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        let current = self.configuration.borrow().clone();
        let obstacle = {
            let machine = self.lock();
            let behind = machine.newest_committed_configuration() > current.version.0;
            if behind || !machine.may_start(now) {
                Some(RefusalReason::NotCurrent)
            } else if machine.can_notify_majority(now) {
                None
            } else {
                Some(RefusalReason::TooFewMembers)
            }
        };
        let Some(proposal) = self.proposals.front() else {
            return;
        };
        if let Some(obstacle) = obstacle {
            proposal.obstacle = obstacle;
            return;
        }
        match edit_configuration(&current, &proposal.change) {
            Ok(Some(document)) => self.announce(myself, document),
            Ok(None) => self.proposals.accept(current.version.0),
            Err(reason) => self.proposals.refuse(reason),
        }
    }

    fn announce(&mut self, myself: &ActorRef<ClusterMessage>, mut document: Configuration) {
        let now = self.now();
        let Some((version, write)) = self.lock().begin_configuration_change(now) else {
            return;
        };
        document.version = ConfigurationVersion(version);
        let value = serde_json::to_vec(&document).unwrap_or_default();
        if value.len() > MAX_DOCUMENT_BYTES {
            self.lock().cancel_configuration_change();
            self.proposals.refuse(RefusalReason::TooLarge {
                limit: MAX_DOCUMENT_BYTES,
            });
            return;
        }
        let mut changes = vec![RowChange::put(
            document_key(version),
            RowExpectation::Any,
            value,
        )];
        changes.extend(self.outdated_document());
        if let Some(proposal) = self.proposals.front() {
            proposal.pending = Some(PendingChange {
                version,
                document,
                seen: false,
            });
        }
        self.commit(myself, &write, changes);
    }

    /// Documents long before the one in force are of no use any more.
    fn outdated_document(&self) -> Option<RowChange> {
        let header = self.lock().table()?.configuration.row;
        let outdated = header
            .version
            .checked_sub(DOCUMENTS_KEPT)
            .filter(|version| *version > 0)?;
        Some(RowChange::delete(
            document_key(outdated),
            RowExpectation::Any,
        ))
    }
}
