//! The daemon that runs on each entry VM; all daemons are equal.
//!
//! It starts the cluster part, the gateway and the planner, and serves the administration API.

mod access_error;
mod access_key_watcher;
mod access_keys;
mod access_role;
mod admin_change;
mod admin_error;
mod admin_handle;
mod admin_listeners;
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
mod daemon_error;
mod daemon_ports;
mod daemon_runner;
mod daemon_settings;
mod daemon_status;
pub mod demo;
mod demo_callers;
mod demo_client;
mod demo_configuration;
mod demo_daemons;
mod demo_environment;
mod demo_error;
mod demo_faults;
mod demo_jobs;
mod demo_operator;
mod demo_options;
mod demo_report;
mod demo_request_stats;
mod demo_verification;
mod entry_control;
mod entry_daemon;
mod file_watcher;
mod fleet_program;
mod gauge_recorder;
mod job_page;
mod limit_settings;
mod listen_settings;
mod log_error;
mod log_format;
mod log_guard;
mod log_level;
mod log_settings;
mod log_setup;
mod log_writer;
mod metrics_exporter;
mod operator_identity;
mod optional_key;
mod panic_hook;
mod peer_key_source;
mod peer_keys;
mod platform_ports;
mod platform_settings;
mod process_usage;
mod program;
mod raw_settings;
mod secret_file_watcher;
mod secret_text;
mod section_parser;
mod settings_error;
mod settings_file;
mod slot_readiness;
mod stop_signals;
mod tls_error;
mod tls_settings;
mod token_attempt_limiter;
mod token_error;
mod token_table;
mod trace_error;
mod trace_export;
mod trace_settings;
mod usage_error;
mod yaml_error;

pub use self::{
    access_error::AccessError,
    access_keys::AccessKeys,
    access_role::AccessRole,
    admin_handle::AdminHandle,
    admin_listeners::AdminListeners,
    command_line::{
        CommandLine,
        HELP, //
    },
    configuration_diff::ConfigurationDiff,
    control_error::ControlError,
    control_port::ControlPort,
    daemon_error::DaemonError,
    daemon_ports::DaemonPorts,
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
        OperatorRequestError, //
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
    metrics_exporter::MetricsExporter,
    operator_identity::OperatorIdentity,
    panic_hook::exit_on_panic,
    peer_key_source::PeerKeySource,
    platform_settings::PlatformSettings,
    process_usage::ProcessUsage,
    program::run_program,
    secret_text::SecretText,
    settings_error::SettingsError,
    slot_readiness::{
        SLOT_READY_DELAY,
        SlotReadiness, //
    },
    tls_error::TlsError,
    tls_settings::TlsSettings,
    token_attempt_limiter::{
        TokenAttemptLimiter,
        TokenAttemptOutcome, //
    },
    token_error::TokenError,
    token_table::TokenTable,
    trace_error::TraceError,
    trace_export::TraceExport,
    trace_settings::TraceSettings,
    usage_error::UsageError, //
};
