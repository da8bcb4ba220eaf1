//! The ownership protocol as a pure state machine: which daemon holds which seat, slot share and
//! shard, and which configuration version is in force.
//!
//! [`MemberMachine`] does no input or output. Its caller feeds it with rows of the table, messages
//! from peers and the current time, and executes the [`MemberAction`]s that it returns. The
//! randomized simulation in this crate's tests drives the same state machine through injected
//! faults.

mod configuration_change;
mod configuration_header;
mod configuration_intent;
mod daemon_record;
mod former_holder;
mod guard;
mod held_seat;
mod holder_id;
mod known_epochs;
mod machine_balance;
mod machine_configuration;
mod machine_peers;
mod machine_queries;
mod machine_release_all;
mod machine_seat;
mod machine_seat_commit;
mod machine_table;
mod member_action;
mod member_machine;
mod members_row;
mod ownership_entry;
mod ownership_row;
mod ownership_settings;
mod peer_confirmation;
mod peer_message;
mod peer_report;
mod seat_change;
mod seat_holder;
mod seat_intent;
mod seat_record;
mod shared_write;
mod table_snapshot;

pub use self::{
    configuration_header::ConfigurationHeader,
    configuration_intent::ConfigurationIntent,
    daemon_record::DaemonRecord,
    former_holder::FormerHolder,
    guard::{
        Guard,
        GuardSet, //
    },
    held_seat::HeldSeat,
    holder_id::HolderId,
    member_action::MemberAction,
    member_machine::MemberMachine,
    members_row::MembersRow,
    ownership_entry::OwnershipEntry,
    ownership_row::OwnershipRow,
    ownership_settings::OwnershipSettings,
    peer_message::{
        PeerBody,
        PeerMessage, //
    },
    peer_report::PeerReport,
    seat_holder::SeatHolder,
    seat_intent::SeatIntent,
    seat_record::SeatRecord,
    shared_write::SharedWrite,
    table_snapshot::{
        TableSnapshot,
        VersionedRow, //
    },
};
