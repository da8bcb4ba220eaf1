//! Carries out proposed changes: announces them in the table and detects their acceptance.

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
    cluster_message::ClusterMessage,
    cluster_state::ClusterState,
    configuration_edit::edit_configuration,
    proposal_queue::PendingChange,
    shared_rows::document_key, //
};

/// The maximum size of a document in bytes: a document with its envelope must fit into one frame.
const MAX_DOCUMENT_BYTES: usize = MAX_FRAME_BYTES - 1024;

/// The number of newest documents that are kept, up to the one in force: a daemon may still be reading
/// one that was replaced a moment ago.
const KEPT_DOCUMENT_VERSIONS: u64 = 4;

/// The state of a pending change according to the table.
enum PendingState {
    /// Whether the change was announced is not known yet, or it was announced and is not accepted yet.
    Undecided,
    /// The announcement took no effect, and must be written again.
    NotAnnounced,
    /// The change was accepted.
    Accepted,
}

impl ClusterState {
    /// Carries out the next step of the oldest proposed change.
    pub(crate) fn advance_proposals(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        self.proposals.abandon_overdue(now);
        let Some(proposal) = self.proposals.front() else {
            return;
        };
        match proposal.pending.take() {
            Some(pending) => self.resolve_pending(pending),
            None => self.start_proposal(myself),
        }
    }

    /// Completes a pending change that was accepted, and keeps one whose outcome is open. One that was
    /// not announced is left for the next step to announce again.
    fn resolve_pending(&mut self, mut pending: PendingChange) {
        match self.pending_state(&mut pending) {
            PendingState::Accepted => {
                let version = pending.version;
                self.install_configuration(pending.document);
                self.proposals.accept_front(version);
            }
            PendingState::Undecided => {
                if let Some(proposal) = self.proposals.front() {
                    proposal.pending = Some(pending);
                }
            }
            PendingState::NotAnnounced => (),
        }
    }

    /// Returns the state of a pending change. If the outcome of its write is unknown, the state is
    /// decided by the rows of the table and by another write under compare-and-set, never by a single
    /// read.
    fn pending_state(&self, pending: &mut PendingChange) -> PendingState {
        let machine = self.lock();
        let Some(header) = machine.table().map(|table| table.configuration.row) else {
            return PendingState::Undecided;
        };
        let is_own = header.intent.is_some_and(|intent| {
            intent.version == pending.version && intent.by == machine.nonce()
        });
        pending.seen_in_table |= is_own;
        if pending.seen_in_table && header.version >= pending.version {
            return PendingState::Accepted;
        }
        if pending.seen_in_table || !machine.has_settled_write() {
            return PendingState::Undecided;
        }
        PendingState::NotAnnounced
    }

    /// Announces the oldest proposed change if this daemon knows the newest configuration and can
    /// notify a majority; otherwise records why it cannot be announced yet.
    fn start_proposal(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        let current = self.configuration.borrow().clone();
        let blocking_reason = {
            let machine = self.lock();
            let behind = machine.newest_committed_configuration() > current.version.0;
            if behind || !machine.may_start(now) {
                Some(RefusalReason::NotCurrent)
            } else if machine.can_notify_majority(now) {
                None
            } else {
                Some(RefusalReason::NoMajority)
            }
        };
        let Some(proposal) = self.proposals.front() else {
            return;
        };
        if let Some(blocking_reason) = blocking_reason {
            proposal.blocking_reason = blocking_reason;
            return;
        }
        match edit_configuration(&current, &proposal.change) {
            Ok(Some(document)) => self.write_announcement(myself, document),
            Ok(None) => self.proposals.accept_front(current.version.0),
            Err(reason) => self.proposals.refuse_front(reason),
        }
    }

    /// Writes the announcement of a change together with its document.
    fn write_announcement(
        &mut self,
        myself: &ActorRef<ClusterMessage>,
        mut document: Configuration,
    ) {
        let now = self.now();
        let Some((version, write)) = self.lock().begin_configuration_change(now) else {
            return;
        };
        document.version = ConfigurationVersion(version);
        let value = serde_json::to_vec(&document).unwrap_or_default();
        if value.len() > MAX_DOCUMENT_BYTES {
            self.lock().cancel_configuration_change();
            self.proposals.refuse_front(RefusalReason::TooLarge {
                limit: MAX_DOCUMENT_BYTES,
            });
            return;
        }
        let mut changes = vec![RowChange::put(
            document_key(version),
            RowExpectation::Any,
            value,
        )];
        changes.extend(self.outdated_document_deletion());
        if let Some(proposal) = self.proposals.front() {
            proposal.pending = Some(PendingChange {
                version,
                document,
                seen_in_table: false,
            });
        }
        self.commit(myself, &write, changes);
    }

    /// Returns the deletion of the newest document that is not kept any more, if there is one.
    fn outdated_document_deletion(&self) -> Option<RowChange> {
        let header = self.lock().table()?.configuration.row;
        let outdated = header
            .version
            .checked_sub(KEPT_DOCUMENT_VERSIONS)
            .filter(|version| *version > 0)?;
        Some(RowChange::delete(
            document_key(outdated),
            RowExpectation::Any,
        ))
    }
}
