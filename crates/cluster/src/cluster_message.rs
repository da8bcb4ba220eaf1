//! The messages of the cluster actor.

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
    row_error::RowError,
    write_outcome::WriteOutcome, //
};

/// The port through which the outcome of a proposed change is returned.
pub(crate) type ProposalReply = RpcReplyPort<Result<ConfigurationVersion, ProposalError>>;

/// A message to the cluster actor.
pub(crate) enum ClusterMessage {
    /// The tick interval has passed.
    Tick,
    /// Frames were received from peers. The reply requests the next batch, so that at most one batch
    /// is in the mailbox.
    FramesReceived(Vec<Bytes>, RpcReplyPort<()>),
    /// A poll of the shared rows ended; the duration is the time at which it started.
    PollFinished(Result<TableSnapshot, RowError>, Duration),
    /// A write of the shared rows ended.
    CommitFinished(WriteOutcome),
    /// A probe of a silent process ended.
    ProbeFinished(HolderId, ProbeOutcome),
    /// No work on a resource to be released is in progress any more.
    ResourceIdle(ResourceId),
    /// A read of the VM list ended; `None` if it failed.
    VmListRead(Option<VmSnapshot>),
    /// A read of the document of a committed version ended; `None` if it failed or found no document.
    DocumentRead(u64, Option<Configuration>),
    /// An operator proposes a change of the configuration.
    Propose(ConfigurationChange, ProposalReply),
    /// Adds a part of the daemon that acts on held resources.
    AddResourceUser(Arc<dyn ResourceUser>),
    /// Replaces the keys that authenticate frames between daemons.
    SetKeys(KeyRing),
    /// Releases all resources and the seat; the reply is sent when this is complete.
    Leave(RpcReplyPort<()>),
}
