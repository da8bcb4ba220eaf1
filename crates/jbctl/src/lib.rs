//! The operator's command line: it speaks to the administration API of any entry VM.

mod admin_answer;
mod admin_call;
mod admin_client;
mod call_error;
mod command_line;
mod configuration_lines;
mod job_listing;
mod log_line;
mod log_story;
mod log_summary;
mod operator_command;
mod output_format;
mod pool_history;
mod pool_plot;
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
    log_story::{
        LogStory,
        StoryCause, //
    },
    log_summary::LogSummary,
    operator_command::OperatorCommand,
    output_format::OutputFormat,
    pool_history::PoolHistory,
    program::run_program,
    target_options::TargetOptions,
    usage_error::UsageError, //
};
