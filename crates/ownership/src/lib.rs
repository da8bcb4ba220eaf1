//! The rule for what the daemons share, as one pure state machine.
//!
//! A daemon's shell feeds [`MemberMachine`] with rows of the table, messages of peers and the time,
//! and carries out the [`MemberAction`]s that it returns. The exploration in this crate's tests
//! drives the very same machine through failures.

mod configuration_attempt;
mod configuration_header;
mod configuration_intent;
mod daemon_record;
mod former_holder;
mod guard;
mod holder_id;
mod known_epochs;
mod machine_attempt;
mod machine_balance;
mod machine_configuration;
mod machine_peers;
mod machine_return;
mod machine_seat;
mod machine_table;
mod machine_view;
mod member_action;
mod member_machine;
mod members_row;
mod ownership_entry;
mod ownership_row;
mod ownership_settings;
mod peer_message;
mod peer_report;
mod seat_attempt;
mod seat_hold;
mod seat_holder;
mod seat_intent;
mod seat_record;
mod shared_write;
mod table_snapshot;
mod vouch_record;

pub use self::{
    configuration_header::ConfigurationHeader,
    configuration_intent::ConfigurationIntent,
    daemon_record::DaemonRecord,
    former_holder::FormerHolder,
    guard::{
        Guard,
        GuardSet, //
    },
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
    seat_hold::SeatHold,
    seat_holder::SeatHolder,
    seat_intent::SeatIntent,
    seat_record::SeatRecord,
    shared_write::SharedWrite,
    table_snapshot::{
        TableSnapshot,
        VersionedRow, //
    },
};
