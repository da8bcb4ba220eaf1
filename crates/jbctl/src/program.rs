//! What the program does, and the exit code that says how it went.

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
    AdminAnswer,
    AdminCall,
    AdminClient,
    CallError,
    CommandLine,
    HELP,
    LogStory,
    LogSummary,
    OperatorCommand,
    OutputFormat,
    TargetOptions,
    UsageError,
    admin_call::{
        read_configuration,
        read_text, //
    }, //
};

const REFUSED: u8 = 1;
const MISUSED: u8 = 2;
const UNKNOWN: u8 = 3;
const FIND_OUT: &str = "the change may or may not take effect: read the configuration (`jbctl \
                        config get`) or the jobs (`jbctl job list`) before you try again";

/// Does what the arguments ask for. Exit codes: 0 done, 1 refused, 2 wrong usage, 3 no answer or
/// outcome unknown.
pub fn run_program<Arguments>(arguments: Arguments) -> ExitCode
where
    Arguments: IntoIterator<Item = OsString>,
    Arguments::IntoIter: 'static,
{
    match CommandLine::parse(arguments) {
        Err(error) => fail(MISUSED, &error),
        Ok(CommandLine::Help) => say(HELP),
        Ok(CommandLine::Version) => say(&format!("jbctl {}\n", env!("CARGO_PKG_VERSION"))),
        Ok(CommandLine::Run(command, options)) => match run(&command, &options) {
            Ok(code) => code,
            Err(CallError::Usage(error)) => fail(MISUSED, &error),
            Err(error) => fail(UNKNOWN, &error),
        },
    }
}

fn run(command: &OperatorCommand, options: &TargetOptions) -> Result<ExitCode, CallError> {
    match AdminCall::new(command)? {
        Some(call) => ask(&call, options),
        None => Ok(run_here(command)?),
    }
}

fn run_here(command: &OperatorCommand) -> Result<ExitCode, UsageError> {
    match command {
        OperatorCommand::ConfigCheck(file) => {
            let configuration = read_configuration(file)?;
            let classes = configuration.classes.len();
            let domains = configuration.domains.len();
            Ok(say(&format!(
                "{} is in order: {classes} classes, {domains} failure domains.\n",
                file.display()
            )))
        }
        OperatorCommand::TokenHash(file) => {
            let token = read_text(file)?;
            let digest = blake3::hash(token.trim().as_bytes());
            Ok(say(&format!("{digest}\n")))
        }
        OperatorCommand::Explain(job) => explain(job),
        OperatorCommand::Summary { plot } => summarize(plot.as_deref()),
        _ => Ok(ExitCode::SUCCESS),
    }
}

fn explain(job: &str) -> Result<ExitCode, UsageError> {
    let story = LogStory::read(job, std::io::stdin().lock()).map_err(unreadable_input)?;
    warn_of_skipped(story.skipped);
    if story.is_empty() {
        return Ok(fail(REFUSED, &format!("no line names {job}")));
    }
    for text in story.texts() {
        say(&format!("{text}\n"));
    }
    for cause in story.causes() {
        say(&format!("cause: {cause}\n"));
    }
    Ok(ExitCode::SUCCESS)
}

fn summarize(plot: Option<&Path>) -> Result<ExitCode, UsageError> {
    let summary = LogSummary::read(std::io::stdin().lock()).map_err(unreadable_input)?;
    warn_of_skipped(summary.skipped);
    if summary.is_empty() {
        return Ok(fail(REFUSED, "there is no log line"));
    }
    for text in summary.texts() {
        say(&format!("{text}\n"));
    }
    let Some(path) = plot else {
        return Ok(ExitCode::SUCCESS);
    };
    if summary.pools.is_empty() {
        return Ok(fail(REFUSED, "no line tells of a pool; nothing was drawn"));
    }
    summary.pools.plot(path)?;
    Ok(ExitCode::SUCCESS)
}

fn unreadable_input(error: std::io::Error) -> UsageError {
    UsageError::Unreadable {
        path: "standard input".into(),
        reason: error.to_string(),
    }
}

fn warn_of_skipped(skipped: usize) {
    if skipped > 0 {
        eprintln!("jbctl: {skipped} lines are no log lines");
    }
}

fn ask(call: &AdminCall, options: &TargetOptions) -> Result<ExitCode, CallError> {
    let client = AdminClient::new(options)?;
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| CallError::Unreachable {
        address: options.address.clone(),
        reason: error.to_string(),
    })?;
    match runtime.block_on(client.call(call)) {
        Ok(answer) if call.is_change() => Ok(tell_change(&answer, options.output)),
        Ok(answer) => Ok(tell_reading(&answer, options.output)),
        Err(CallError::Lost { reason }) if call.is_change() => Ok(fail(
            UNKNOWN,
            &format!("the answer was lost ({reason}); {FIND_OUT}"),
        )),
        Err(error) => Err(error),
    }
}

fn tell_change(answer: &AdminAnswer, output: OutputFormat) -> ExitCode {
    let outcome = answer.outcome();
    if output == OutputFormat::Json
        && let Some(json) = answer.json()
    {
        say(&format!("{json}\n"));
    }
    match outcome {
        Some(ChangeOutcome::Accepted { version, job }) => {
            if output == OutputFormat::Text {
                say(&accepted(version, job));
            }
            ExitCode::SUCCESS
        }
        Some(ChangeOutcome::NotAccepted { reason }) => {
            fail(REFUSED, &format!("not accepted: {reason}"))
        }
        Some(ChangeOutcome::Unknown { find_out }) => {
            fail(UNKNOWN, &format!("the outcome is not known: {find_out}"))
        }
        None => fail(
            UNKNOWN,
            &format!("the answer ({}) cannot be read; {FIND_OUT}", answer.status),
        ),
    }
}

fn accepted<Version>(version: Option<Version>, job: Option<String>) -> String
where
    Version: Display,
{
    match (version, job) {
        (Some(version), _) => format!("Accepted: the configuration is at version {version}.\n"),
        (None, Some(job)) => format!("Accepted: job {job}.\n"),
        (None, None) => "Accepted.\n".to_owned(),
    }
}

fn tell_reading(answer: &AdminAnswer, output: OutputFormat) -> ExitCode {
    let Some(json) = answer.json() else {
        let cause = format!("the answer ({}) cannot be read", answer.status);
        return fail(UNKNOWN, &cause);
    };
    if answer.status == StatusCode::OK {
        return say(&render(&json, output));
    }
    let code = match answer.status.is_client_error() {
        true => REFUSED,
        false => UNKNOWN,
    };
    match answer.outcome() {
        Some(ChangeOutcome::NotAccepted { reason }) => fail(code, &reason),
        Some(ChangeOutcome::Unknown { find_out }) => fail(code, &find_out),
        _ => fail(code, &format!("the daemon answers {}", answer.status)),
    }
}

fn render(json: &serde_json::Value, output: OutputFormat) -> String {
    let plain = format!("{json}\n");
    match output {
        OutputFormat::Json => plain,
        OutputFormat::Text => serde_saphyr::to_string(json).unwrap_or(plain),
    }
}

fn say(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

fn fail<Cause>(code: u8, cause: &Cause) -> ExitCode
where
    Cause: Display + ?Sized,
{
    eprintln!("jbctl: {cause}");
    ExitCode::from(code)
}
