//! A daemon that dispatches jobs on a platform of VMs: it accepts jobs from callers and records them in the
//! platform's store. One daemon at a time owns the jobs and orders workers to run their tasks.
//!
//! `jasminebend-dispatch` decides what runs where, and [`Succession`] decides when a daemon becomes the owner. The
//! ports in this crate are the only way to the platform.

mod admission_check;
mod answer_deadline;
mod call_limit;
mod caller_request;
mod fleet_daemon;
mod fleet_log;
mod fleet_settings;
mod fleet_store;
mod fleet_workers;
mod former_owner_bound;
mod http_pool;
mod http_server;
mod incarnation_check;
mod ingress_report;
mod ingress_settings;
mod job_api;
mod job_codec;
mod job_reader;
mod job_watch;
mod lease_renewal;
mod maintenance_wave;
mod maintenance_waves;
mod member_set;
mod member_set_changes;
mod member_silence;
mod member_watch;
mod monitored_store;
mod operator_watch;
mod order_planning;
mod owner_announcement;
mod owner_quorum;
mod owner_record;
mod owner_term;
mod ownership_challenge;
mod ownership_takeover;
mod part_reader;
mod peer_api;
mod peer_client;
mod peer_message;
mod peer_order;
mod pool_usage_log;
mod progress_codec;
mod progress_commits;
mod registry_watch;
mod shared_state;
mod store_health;
mod store_probe;
mod store_row;
mod succession;
mod takeover_reader;
mod takeover_records;
mod term_confirmation;
mod wave_records;
mod wave_status;
mod worker_drains;

pub use self::{
    caller_request::{
        CallerAnswer,
        CallerRequest,
        CallerVerb, //
    },
    fleet_daemon::{
        FleetDaemon,
        FleetPorts, //
    },
    fleet_log::{
        FleetLog,
        LogEvent, //
    },
    fleet_settings::FleetSettings,
    fleet_store::{
        CommitOutcome,
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
        MaintenanceOutcome,
        OrderReply,
        WorkerAddress, //
    },
    former_owner_bound::{
        FormerOwnerBound,
        StopEvidence, //
    },
    http_pool::{
        HttpError,
        HttpPool,
        HttpReply, //
    },
    http_server::{
        HttpHandler,
        RequestBody,
        serve,
        serve_on, //
    },
    incarnation_check::{
        CheckedReply,
        IncarnationCheck,
        IncarnationReader,
        PeerIncarnation, //
    },
    ingress_settings::IngressSettings,
    job_api::JobApi,
    job_codec::{
        decode_job,
        encode_job, //
    },
    maintenance_wave::MaintenanceWave,
    member_set::{
        MemberSet,
        SetMember,
        WitnessWorker, //
    },
    owner_quorum::OwnerQuorum,
    owner_record::{
        JobRecord,
        MemberRecord,
        OwnerRecord,
        TOKENS_PER_TERM, //
    },
    peer_message::{
        PeerAnswer,
        PeerHealth,
        PeerRequest, //
    },
    peer_order::PeerOrder,
    progress_codec::{
        decode_progress,
        encode_progress, //
    },
    store_health::StoreHealth,
    store_row::{
        RowCommit,
        RowGuard,
        StoreRow,
        StoreTable, //
    },
    succession::{
        ClaimCause,
        ProbeResult,
        Succession, //
    },
    wave_status::{
        WaveStatus,
        WaveStatusOutcome, //
    },
};

use self::peer_client::PeerClient;
