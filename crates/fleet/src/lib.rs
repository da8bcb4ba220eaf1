//! A daemon that dispatches jobs on a platform of VMs: it takes jobs from callers, keeps them in the
//! platform's store, and, where it owns them, has workers run their tasks.
//!
//! The decisions are `jasminebend-dispatch`'s and [`Succession`]'s. The platform is reached through
//! the ports in this crate.

mod admission_desk;
mod announcement;
mod caller_call;
mod caller_desk;
mod commit_work;
mod confirm_work;
mod fleet_daemon;
mod fleet_log;
mod fleet_row;
mod fleet_settings;
mod fleet_shared;
mod fleet_store;
mod fleet_workers;
mod http_pool;
mod http_server;
mod kept_knowledge;
mod member_expiry;
mod member_watch;
mod operator_watch;
mod owner_jobs;
mod owner_record;
mod owner_registry;
mod owner_seat;
mod owner_work;
mod peer_client;
mod peer_desk;
mod peer_message;
mod peer_order;
mod plan_work;
mod pool_watch;
mod store_health;
mod store_link;
mod store_probe;
mod succession;
mod upkeep_work;
mod wave_request;
mod worker_work;

pub use self::{
    caller_call::{
        CallerAnswer,
        CallerCall,
        CallerVerb, //
    },
    caller_desk::CallerDesk,
    fleet_daemon::{
        FleetDaemon,
        FleetEdges, //
    },
    fleet_log::{
        FleetLog,
        LogEvent, //
    },
    fleet_row::{
        FleetRow,
        FleetTable,
        RowCommit,
        RowGuard, //
    },
    fleet_settings::FleetSettings,
    fleet_store::{
        CommitAnswer,
        FleetStore,
        OperatorChange,
        RegistryChange,
        RowChange,
        RowPage,
        StoreError, //
    },
    fleet_workers::{
        AdviceTickets,
        FleetAdvice,
        FleetVms,
        FleetWorkers,
        ListedVm,
        UpkeepEnd,
        WorkerAddress, //
    },
    http_pool::{
        HttpFault,
        HttpPool,
        HttpReply, //
    },
    http_server::{
        BodyFault,
        ConnectionCount,
        HttpHandler,
        read_body,
        serve,
        serve_on, //
    },
    owner_record::{
        JobRecord,
        MemberRecord,
        OwnerRecord, //
    },
    peer_message::{
        PeerAnswer,
        PeerCall,
        PeerHealth, //
    },
    peer_order::PeerOrder,
    store_health::StoreHealth,
    succession::{
        OwnerProbe,
        Succession, //
    },
    wave_request::WaveRequest, //
};

use self::peer_client::PeerClient;
