//! What the cluster actor is told.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use jasminebend_base::{
    Configuration,
    ConfigurationVersion,
    ResourceId,
    VmSnapshot, //
};
use jasminebend_ownership::{
    HolderId,
    TableSnapshot, //
};
use jasminebend_ports::ResourceUser;
use jasminebend_wire::KeyRing;
use ractor::RpcReplyPort;

use crate::{
    ConfigurationChange,
    ProbeOutcome,
    ProposalError,
    commit_end::CommitEnd,
    row_error::RowError, //
};

/// How an operator learns what became of a change.
pub(crate) type ProposalReply = RpcReplyPort<Result<ConfigurationVersion, ProposalError>>;

/// What the cluster actor is told.
pub(crate) enum ClusterMessage {
    /// Time went on.
    Tick,
    /// Frames arrived; the reply asks for more, so that few wait here.
    Frames(Vec<Bytes>, RpcReplyPort<()>),
    /// A poll of the table ended.
    Polled(Result<TableSnapshot, RowError>, Duration),
    /// A write ended.
    CommitEnded(CommitEnd),
    /// A probe ended.
    ProbeEnded(HolderId, ProbeOutcome),
    /// Nothing that was begun on a resource is in progress.
    Released(ResourceId),
    /// The VM list was read, or could not be.
    VmsRead(Option<VmSnapshot>),
    /// The document of a committed version was read, or could not be.
    DocumentRead(u64, Option<Configuration>),
    /// An operator wants a change.
    Propose(ConfigurationChange, ProposalReply),
    /// A part acts on what is held.
    AddUser(Arc<dyn ResourceUser>),
    /// Other keys are in use from now on.
    SetKeys(KeyRing),
    /// Everything is to be given up.
    Leave(RpcReplyPort<()>),
}
