//! What the daemons share: membership, the configuration, and who holds which slot share and shard.
//!
//! The rule itself is the pure state machine of `jasminebend_ownership`; this crate is its shell over
//! the platform's table service and TCP.

mod change_edit;
mod cluster_actor;
mod cluster_edges;
mod cluster_error;
mod cluster_handle;
mod cluster_message;
mod cluster_settings;
mod cluster_state;
mod cluster_status;
mod cluster_view;
mod commit_end;
mod configuration_change;
mod document_fetch;
mod frame_receiver;
mod frame_sender;
mod frame_stream;
mod health_report;
mod liveness_checks;
mod peer_link;
mod probe_outcome;
mod proposal_error;
mod proposal_queue;
mod proposal_steps;
mod refusal_reason;
mod row_error;
mod shared_rows;
mod status_report;
mod table_traffic;
mod tcp_link;
mod trace_span;
mod vm_absences;

pub use self::{
    cluster_edges::ClusterEdges,
    cluster_error::ClusterError,
    cluster_handle::ClusterHandle,
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
