//! Execution of the command line: calls the API or works locally, prints the result and returns the exit code.

use std::{
    ffi::OsString,
    fmt::Display,
    path::Path,
    process::ExitCode, //
};

use http::StatusCode;
use jasminebend_base::ChangeOutcome;
use tokio::runtime::Builder;

use crate::{
    AdminClient,
    AdminClientError,
    AdminRequest,
    AdminResponse,
    CommandLine,
    GlobalOptions,
    HELP_TEXT,
    JobTimeline,
    LogSummary,
    OperatorCommand,
    OutputFormat,
    UsageError,
    admin_request::{
        read_configuration,
        read_text, //
    }, //
};

/// The exit code if the daemon refused the call, or if the log lines contain nothing to report.
const EXIT_REFUSED: u8 = 1;
/// The exit code for wrong arguments, or for a file that can't be read, written or parsed.
const EXIT_USAGE: u8 = 2;
/// The exit code if there was no usable response, or if the outcome of a change is unknown.
const EXIT_UNKNOWN: u8 = 3;
/// The advice in messages about a change whose outcome is unknown.
const UNKNOWN_OUTCOME_ADVICE: &str = "the change may or may not take effect: read the configuration (`jbctl \
                        config get`) or the jobs (`jbctl job list`) before you try again";

/// Runs the program with its arguments, without the program name, and returns the exit code: 0 for success, 1 for a
/// refusal, 2 for wrong usage or an unusable file, 3 if there is no response or the outcome is unknown.
pub fn run_program<Arguments>(arguments: Arguments) -> ExitCode
where
    Arguments: IntoIterator<Item = OsString>,
    Arguments::IntoIter: 'static,
{
    match CommandLine::parse(arguments) {
        Err(error) => report_failure(EXIT_USAGE, &error),
        Ok(CommandLine::Help) => print_success(HELP_TEXT),
        Ok(CommandLine::Version) => {
            print_success(&format!("jbctl {}\n", env!("CARGO_PKG_VERSION")))
        }
        Ok(CommandLine::Run(command, options)) => match run_command(&command, &options) {
            Ok(code) => code,
            Err(AdminClientError::Usage(error)) => report_failure(EXIT_USAGE, &error),
            Err(error) => report_failure(EXIT_UNKNOWN, &error),
        },
    }
}

/// Calls the daemon, or runs the command locally if it needs no daemon.
fn run_command(
    command: &OperatorCommand,
    options: &GlobalOptions,
) -> Result<ExitCode, AdminClientError> {
    match AdminRequest::new(command)? {
        Some(request) => call_api(&request, options),
        None => Ok(run_locally(command)?),
    }
}

/// Runs a command that needs no daemon.
fn run_locally(command: &OperatorCommand) -> Result<ExitCode, UsageError> {
    match command {
        OperatorCommand::ConfigCheck(file) => {
            let configuration = read_configuration(file)?;
            let classes = configuration.classes.len();
            let domains = configuration.domains.len();
            Ok(print_success(&format!(
                "{} is in order: {classes} classes, {domains} failure domains.\n",
                file.display()
            )))
        }
        OperatorCommand::TokenHash(file) => {
            let token = read_text(file)?;
            let digest = blake3::hash(token.trim().as_bytes());
            Ok(print_success(&format!("{digest}\n")))
        }
        OperatorCommand::Explain(job) => explain_job(job),
        OperatorCommand::Summary { plot } => summarize_logs(plot.as_deref()),
        _ => Ok(ExitCode::SUCCESS),
    }
}

/// Prints the timeline of a job and its causes of failure or delay, from log lines on standard input.
fn explain_job(job: &str) -> Result<ExitCode, UsageError> {
    let timeline = JobTimeline::read(job, std::io::stdin().lock()).map_err(stdin_error)?;
    warn_about_skipped_lines(timeline.skipped_lines);
    if timeline.is_empty() {
        return Ok(report_failure(
            EXIT_REFUSED,
            &format!("no line names {job}"),
        ));
    }
    for line in timeline.formatted_lines() {
        print_success(&format!("{line}\n"));
    }
    for cause in timeline.causes() {
        print_success(&format!("cause: {cause}\n"));
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints a summary of the log lines on standard input, and draws the usage of pools if a path is given.
fn summarize_logs(plot: Option<&Path>) -> Result<ExitCode, UsageError> {
    let summary = LogSummary::read(std::io::stdin().lock()).map_err(stdin_error)?;
    warn_about_skipped_lines(summary.skipped_lines);
    if summary.is_empty() {
        return Ok(report_failure(EXIT_REFUSED, "there is no log line"));
    }
    for line in summary.summary_lines() {
        print_success(&format!("{line}\n"));
    }
    let Some(path) = plot else {
        return Ok(ExitCode::SUCCESS);
    };
    if summary.pool_usage.is_empty() {
        return Ok(report_failure(
            EXIT_REFUSED,
            "no line tells of a pool; nothing was drawn",
        ));
    }
    summary.pool_usage.plot(path)?;
    Ok(ExitCode::SUCCESS)
}

fn stdin_error(error: std::io::Error) -> UsageError {
    UsageError::UnreadableFile {
        path: "standard input".into(),
        reason: error.to_string(),
    }
}

fn warn_about_skipped_lines(skipped_lines: usize) {
    if skipped_lines > 0 {
        eprintln!("jbctl: {skipped_lines} lines are no log lines");
    }
}

/// Sends the call and reports its response.
fn call_api(request: &AdminRequest, options: &GlobalOptions) -> Result<ExitCode, AdminClientError> {
    let client = AdminClient::new(options)?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| AdminClientError::Unreachable {
        address: options.address.clone(),
        reason: error.to_string(),
    })?;
    match runtime.block_on(client.call(request)) {
        Ok(response) if request.is_change() => Ok(report_change(&response, options.output)),
        Ok(response) => Ok(report_read(&response, options.output)),
        Err(AdminClientError::Lost { reason }) if request.is_change() => Ok(report_failure(
            EXIT_UNKNOWN,
            &format!("the answer was lost ({reason}); {UNKNOWN_OUTCOME_ADVICE}"),
        )),
        Err(error) => Err(error),
    }
}

/// Prints the outcome of a change and returns its exit code.
fn report_change(response: &AdminResponse, output: OutputFormat) -> ExitCode {
    let outcome = response.outcome();
    if output == OutputFormat::Json
        && let Some(json) = response.json()
    {
        print_success(&format!("{json}\n"));
    }
    match outcome {
        Some(ChangeOutcome::Accepted { version, job }) => {
            if output == OutputFormat::Text {
                print_success(&acceptance_text(version, job));
            }
            ExitCode::SUCCESS
        }
        Some(ChangeOutcome::NotAccepted { reason }) => {
            report_failure(EXIT_REFUSED, &format!("not accepted: {reason}"))
        }
        Some(ChangeOutcome::Unknown { find_out }) => report_failure(
            EXIT_UNKNOWN,
            &format!("the outcome is not known: {find_out}"),
        ),
        None => report_failure(
            EXIT_UNKNOWN,
            &format!(
                "the answer ({}) cannot be read; {UNKNOWN_OUTCOME_ADVICE}",
                response.status
            ),
        ),
    }
}

/// Returns the sentence that reports an accepted change.
fn acceptance_text<Version>(version: Option<Version>, job: Option<String>) -> String
where
    Version: Display,
{
    match (version, job) {
        (Some(version), _) => format!("Accepted: the configuration is at version {version}.\n"),
        (None, Some(job)) => format!("Accepted: job {job}.\n"),
        (None, None) => "Accepted.\n".to_owned(),
    }
}

/// Prints the response to a read and returns its exit code.
fn report_read(response: &AdminResponse, output: OutputFormat) -> ExitCode {
    let Some(json) = response.json() else {
        let cause = format!("the answer ({}) cannot be read", response.status);
        return report_failure(EXIT_UNKNOWN, &cause);
    };
    if response.status == StatusCode::OK {
        return print_success(&format_document(&json, output));
    }
    let code = match response.status.is_client_error() {
        true => EXIT_REFUSED,
        false => EXIT_UNKNOWN,
    };
    match response.outcome() {
        Some(ChangeOutcome::NotAccepted { reason }) => report_failure(code, &reason),
        Some(ChangeOutcome::Unknown { find_out }) => report_failure(code, &find_out),
        _ => report_failure(code, &format!("the daemon answers {}", response.status)),
    }
}

/// Formats a document as one line of JSON, or as YAML; falls back to JSON if it can't be written as YAML.
fn format_document(json: &serde_json::Value, output: OutputFormat) -> String {
    let plain = format!("{json}\n");
    match output {
        OutputFormat::Json => plain,
        OutputFormat::Text => serde_saphyr::to_string(json).unwrap_or(plain),
    }
}

/// Prints to standard output and returns the exit code for success.
fn print_success(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

/// Prints a cause to standard error and returns the given exit code.
fn report_failure<Cause>(code: u8, cause: &Cause) -> ExitCode
where
    Cause: Display + ?Sized,
{
    eprintln!("jbctl: {cause}");
    ExitCode::from(code)
}
