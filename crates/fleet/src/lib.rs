//! A daemon that dispatches jobs on a platform of VMs: it accepts jobs from callers and records them in the
//! platform's store. One daemon at a time owns the jobs and orders workers to run their tasks.
//!
//! `jasminebend-dispatch` decides what runs where, and [`Succession`] decides when a daemon becomes the owner. The
//! ports in this crate are the only way to the platform.

mod admission_check;
mod caller_call;
mod caller_desk;
mod fleet_daemon;
mod fleet_log;
mod fleet_row;
mod fleet_settings;
mod fleet_store;
mod fleet_workers;
mod http_pool;
mod http_server;
mod job_watch;
mod lease_renewal;
mod maintenance_waves;
mod member_expiry;
mod member_watch;
mod monitored_store;
mod operator_watch;
mod order_planning;
mod owner_announcement;
mod owner_record;
mod owner_term;
mod ownership_takeover;
mod peer_api;
mod peer_client;
mod peer_message;
mod peer_order;
mod pool_usage_log;
mod progress_commits;
mod registry_watch;
mod shared_state;
mod store_health;
mod store_probe;
mod succession;
mod takeover_records;
mod term_confirmation;
mod wave_request;

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
        BodyError,
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
        PeerHealth, //
        PeerRequest,
    },
    peer_order::PeerOrder,
    store_health::StoreHealth,
    succession::{
        ProbeResult,
        Succession, //
    },
    wave_request::WaveRequest, //
};

use self::peer_client::PeerClient;
