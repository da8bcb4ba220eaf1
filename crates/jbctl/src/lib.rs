//! Operator's command-line client: sends requests to the administration API of any entry VM, and analyzes daemons' logs.

mod admin_answer;
mod admin_call;
mod admin_client;
mod call_error;
mod command_line;
mod configuration_lines;
mod job_listing;
mod job_timeline;
mod log_line;
mod log_summary;
mod operator_command;
mod output_format;
mod pool_plot;
mod pool_usage_history;
mod program;
mod target_options;
mod tls_client;
mod usage_error;

pub use self::{
    admin_answer::AdminAnswer,
    admin_call::AdminCall,
    admin_client::AdminClient,
    call_error::CallError,
    command_line::{
        CommandLine,
        HELP, //
    },
    job_listing::JobListing,
    job_timeline::{
        DiagnosedCause,
        JobTimeline, //
    },
    log_summary::LogSummary,
    operator_command::OperatorCommand,
    output_format::OutputFormat,
    pool_usage_history::PoolUsageHistory,
    program::run_program,
    target_options::TargetOptions,
    usage_error::UsageError, //
};
