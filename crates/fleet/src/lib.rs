//! A daemon that dispatches jobs on a platform of VMs: it accepts jobs from callers and records them in the
//! platform's store. One daemon at a time owns the jobs and orders workers to run their tasks.
//!
//! `jasminebend-dispatch` decides what runs where, and [`Succession`] decides when a daemon becomes the owner. The
//! ports in this crate are the only way to the platform.

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
