//! Operator's command-line client: sends requests to the administration API of any entry VM, and analyzes daemons' logs.

mod admin_client;
mod admin_client_error;
mod admin_request;
mod admin_response;
mod command_line;
mod configuration_lines;
mod global_options;
mod job_list_query;
mod job_timeline;
mod log_line;
mod log_summary;
mod operator_command;
mod output_format;
mod pool_plot;
mod pool_usage_history;
mod program;
mod tls_client;
mod usage_error;

pub use self::{
    admin_client::AdminClient,
    admin_client_error::AdminClientError,
    admin_request::AdminRequest,
    admin_response::AdminResponse,
    command_line::{
        CommandLine,
        HELP_TEXT, //
    },
    global_options::GlobalOptions,
    job_list_query::JobListQuery,
    job_timeline::{
        DiagnosedCause,
        JobTimeline, //
    },
    log_summary::LogSummary,
    operator_command::OperatorCommand,
    output_format::OutputFormat,
    pool_usage_history::PoolUsageHistory,
    program::run_program,
    usage_error::UsageError, //
};
