//! What a member's shell is to do.

use std::net::SocketAddr;

use jasminebend_base::ResourceId;

use crate::{
    HolderId,
    PeerMessage,
    SharedWrite, //
};

/// What a member's shell is to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Sends a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Makes a transaction, and reports its end to [`crate::MemberMachine::end_commit`].
    Commit(SharedWrite),
    /// Reads the shared rows now.
    Poll,
    /// Asks whether a process is gone, and reports to [`crate::MemberMachine::observe_gone`].
    Probe {
        /// The process.
        holder: HolderId,
        /// Where it was reached.
        address: SocketAddr,
    },
    /// Waits until nothing that was begun on the resource is in progress, and reports to
    /// [`crate::MemberMachine::end_release`].
    Release(ResourceId),
}
