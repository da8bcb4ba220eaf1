//! The state that all daemons share: membership, the configuration, and the ownership of slot shares
//! and shards.
//!
//! The ownership protocol itself is the state machine in `jasminebend_ownership`, which does no input
//! or output. This crate runs it: it reads and writes the shared rows through the platform's table
//! service, and exchanges messages with the other daemons over TCP.

mod cluster_actor;
mod cluster_error;
mod cluster_handle;
mod cluster_message;
mod cluster_ports;
mod cluster_settings;
mod cluster_state;
mod cluster_status;
mod configuration_change;
mod configuration_edit;
mod counted_codec;
mod document_fetch;
mod frame_receiver;
mod frame_sender;
mod frame_stream;
mod health_report;
mod held_resources_view;
mod liveness_checks;
mod peer_link;
mod probe_outcome;
mod proposal_error;
mod proposal_progress;
mod proposal_queue;
mod refusal_reason;
mod row_error;
mod shared_rows;
mod status_report;
mod table_access;
mod tcp_link;
mod trace_span;
mod vm_absence_tracker;
mod write_outcome;

pub use self::{
    cluster_error::ClusterError,
    cluster_handle::ClusterHandle,
    cluster_ports::ClusterPorts,
    cluster_settings::ClusterSettings,
    cluster_status::{
        ClusterStatus,
        DomainStatus,
        MemberStatus, //
    },
    configuration_change::ConfigurationChange,
    peer_link::PeerLink,
    probe_outcome::ProbeOutcome,
    proposal_error::ProposalError,
    refusal_reason::RefusalReason,
    tcp_link::TcpLink, //
};
