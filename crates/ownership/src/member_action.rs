//! The actions that a member asks its caller to execute.

use std::net::SocketAddr;

use jasminebend_base::ResourceId;

use crate::{
    HolderId,
    PeerMessage,
    SharedWrite, //
};

/// An action that [`crate::MemberMachine`] asks its caller to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberAction {
    /// Send a message, which may be lost.
    Send {
        /// The address of the recipient.
        to: SocketAddr,
        /// The message to send.
        message: PeerMessage,
    },
    /// Commit a transaction on the table, and report its completion to
    /// [`crate::MemberMachine::end_commit`].
    Commit(SharedWrite),
    /// Read the shared rows now.
    Poll,
    /// Probe whether a process has terminated, and report to [`crate::MemberMachine::observe_gone`]
    /// if it has.
    Probe {
        /// The identity of the process.
        holder: HolderId,
        /// The address at which the process was reached.
        address: SocketAddr,
    },
    /// Wait until no work begun on the resource is in progress, and report to
    /// [`crate::MemberMachine::end_release`].
    Release(ResourceId),
}
