//! The daemon: one on each entry VM, all equal. It composes the cluster, the gateway and the
//! planner, and serves the administration API.

mod access_error;
mod access_keys;
mod access_role;
mod admin_change;
mod admin_error;
mod admin_front;
mod admin_guard;
mod admin_response;
mod admin_route;
mod admin_server;
mod admin_service;
mod admin_trace;
mod collector_client;
mod command_line;
mod configuration_diff;
mod control_error;
mod control_port;
mod daemon_edges;
mod daemon_error;
mod daemon_settings;
mod daemon_status;
pub mod demo;
mod demo_callers;
mod demo_client;
mod demo_configuration;
mod demo_daemons;
mod demo_error;
mod demo_faults;
mod demo_jobs;
mod demo_operator;
mod demo_options;
mod demo_report;
mod demo_site;
mod demo_tally;
mod demo_verdict;
mod entry_control;
mod entry_daemon;
mod file_watch;
mod fleet_program;
mod gauge_keeper;
mod given_key;
mod job_page;
mod key_reader;
mod key_watch;
mod limit_settings;
mod listen_settings;
mod log_error;
mod log_format;
mod log_guard;
mod log_level;
mod log_settings;
mod log_setup;
mod log_writer;
mod metrics_hub;
mod operator_identity;
mod panic_end;
mod peer_key_source;
mod peer_keys;
mod platform_edges;
mod platform_settings;
mod process_usage;
mod program;
mod raw_settings;
mod secret_text;
mod secret_watch;
mod service;
mod settings_error;
mod settings_file;
mod slot_settling;
mod stop_signals;
mod tls_error;
mod tls_settings;
mod token_error;
mod token_table;
mod token_tries;
mod trace_error;
mod trace_export;
mod trace_settings;

mod usage_error;
mod yaml_fault;

pub use self::{
    access_error::AccessError,
    access_keys::AccessKeys,
    access_role::AccessRole,
    admin_front::AdminFront,
    admin_guard::AdminGuard,
    command_line::{
        CommandLine,
        HELP, //
    },
    configuration_diff::ConfigurationDiff,
    control_error::ControlError,
    control_port::ControlPort,
    daemon_edges::DaemonEdges,
    daemon_error::DaemonError,
    daemon_settings::{
        DEFAULT_BALANCER_LAG,
        DEFAULT_LEAVE_TIMEOUT,
        DEFAULT_SEATS,
        DEFAULT_SHARDS,
        DEFAULT_SLOT_SHARES,
        DaemonSettings, //
    },
    daemon_status::DaemonStatus,
    demo_error::{
        DemoError,
        OperatorFault, //
    },
    demo_options::DemoOptions,
    entry_daemon::EntryDaemon,
    limit_settings::LimitSettings,
    listen_settings::ListenSettings,
    log_error::LogError,
    log_format::LogFormat,
    log_guard::LogGuard,
    log_level::LogLevel,
    log_settings::LogSettings,
    log_setup::{
        formatter,
        set_up_log, //
    },
    metrics_hub::MetricsHub,
    operator_identity::OperatorIdentity,
    panic_end::end_on_panic,
    peer_key_source::PeerKeySource,
    platform_settings::PlatformSettings,
    process_usage::ProcessUsage,
    program::run_program,
    secret_text::SecretText,
    settings_error::SettingsError,
    slot_settling::{
        SETTLING,
        SlotSettling, //
    },
    tls_error::TlsError,
    tls_settings::TlsSettings,
    token_error::TokenError,
    token_table::TokenTable,
    token_tries::{
        TokenTries,
        TryOutcome, //
    },
    trace_error::TraceError,
    trace_export::TraceExport,
    trace_settings::TraceSettings,
    usage_error::UsageError, //
};
