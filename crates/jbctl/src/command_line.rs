//! Parser of the command line of `jbctl`.

use std::{
    ffi::OsString,
    path::PathBuf, //
};

use jasminebend_base::DomainState;
use lexopt::{
    Arg,
    Parser,
    ValueExt, //
};

use crate::{
    GlobalOptions,
    JobListQuery,
    OperatorCommand,
    UsageError, //
};

/// The text that `--help` prints.
pub const HELP_TEXT: &str = "\
jbctl: drives jasminebend through the administration API of any entry VM

Usage: jbctl [OPTIONS] COMMAND
  status                         How the daemon stands.
  config get                     Print the configuration.
  config put FILE                Replace it; FILE holds the version it was made from.
  config check FILE              Check FILE here, without a daemon.
  domain out|in NAME [--force]   Take a failure domain out or in; force takes out the last.
  job submit FILE                Submit the job that FILE describes.
  job status ID                  How a job stands.
  job cancel ID                  Cancel a job.
  job list [--limit N] [--after ID]  List a page of the jobs: N of them, after ID.
  class list                     List the classes and their targets.
  explain ID                     Tell the story of job ID from daemons' log lines on standard input.
  summary [--plot FILE]          Sum up where the work's time goes, from the same lines, or draw it as SVG, too.
  token hash FILE                Print the digest of the token in FILE.

Options:
  --address IP:PORT              The administration API [127.0.0.1:9090].
  --token-file FILE              The bearer token.
  --ca-file FILE                 Speak TLS; the API's certificate must stem from these.
  --output text|json             How answers are printed [text].
  --help, --version

Exit codes: 0 done, 1 refused (nothing was changed), 2 wrong usage (nothing was sent),
3 no answer, or the outcome is not known.
";

/// A parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommandLine {
    /// Run a command with the given options.
    Run(OperatorCommand, GlobalOptions),
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

impl CommandLine {
    /// Parses the arguments, which do not include the program's name.
    ///
    /// # Errors
    ///
    /// Returns a [`UsageError`] if the arguments are no valid command line.
    pub fn parse<Arguments>(arguments: Arguments) -> Result<Self, UsageError>
    where
        Arguments: IntoIterator<Item = OsString>,
        Arguments::IntoIter: 'static,
    {
        let mut parser = Parser::from_args(arguments);
        let mut options = GlobalOptions::new();
        let mut positional = Vec::new();
        let mut force = false;
        let mut job_list_query = JobListQuery::default();
        let mut plot_path = None;
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("help") | Arg::Short('h') => return Ok(Self::Help),
                Arg::Long("version") | Arg::Short('V') => return Ok(Self::Version),
                Arg::Long("address") => options.address = parser.value()?.string()?,
                Arg::Long("token-file") => options.token_file = Some(parser.value()?.into()),
                Arg::Long("ca-file") => options.ca_file = Some(parser.value()?.into()),
                Arg::Long("output") => options.output = parser.value()?.string()?.parse()?,
                Arg::Long("force") => force = true,
                Arg::Long("limit") => job_list_query.limit = Some(parser.value()?.parse()?),
                Arg::Long("after") => {
                    job_list_query.after = Some(checked_name(&parser.value()?.string()?)?)
                }
                Arg::Long("plot") => plot_path = Some(PathBuf::from(parser.value()?)),
                Arg::Value(value) => positional.push(value.string()?),
                other => return Err(other.unexpected().into()),
            }
        }
        let command = add_plot_path(
            parse_command(&positional, force, job_list_query)?,
            plot_path,
        )?;
        Ok(Self::Run(command, options))
    }
}

/// Parses the command from the positional arguments, and rejects `--force`, `--limit` and `--after` where they do not
/// belong.
fn parse_command(
    positional: &[String],
    force: bool,
    job_list_query: JobListQuery,
) -> Result<OperatorCommand, UsageError> {
    let positional: Vec<&str> = positional.iter().map(String::as_str).collect();
    let command = match positional.as_slice() {
        [] => return Err(UsageError::MissingCommand),
        ["domain", "out", name] => return domain_command(name, DomainState::Out, force),
        ["domain", "in", name] => return domain_command(name, DomainState::In, force),
        ["domain", "out" | "in"] => {
            return missing_argument("domain", "out|in and the domain's name");
        }
        ["status"] => OperatorCommand::Status,
        ["config", "get"] => OperatorCommand::ConfigGet,
        ["config", "put", file] => OperatorCommand::ConfigPut(PathBuf::from(file)),
        ["config", "check", file] => OperatorCommand::ConfigCheck(PathBuf::from(file)),
        ["config", "put" | "check"] => return missing_argument("config", "a file to put or check"),
        ["job", "submit", file] => OperatorCommand::JobSubmit(PathBuf::from(file)),
        ["job", "submit"] => {
            return missing_argument("job submit", "the file that describes the job");
        }
        ["job", "status", job] => OperatorCommand::JobStatus(checked_name(job)?),
        ["job", "cancel", job] => OperatorCommand::JobCancel(checked_name(job)?),
        ["job", "status" | "cancel"] => return missing_argument("job", "the job's identity"),
        ["job", "list"] => OperatorCommand::JobList(job_list_query.clone()),
        ["class", "list"] => OperatorCommand::ClassList,
        ["explain", job] => OperatorCommand::Explain(checked_name(job)?),
        ["explain"] => return missing_argument("explain", "a job's identity"),
        ["summary"] => OperatorCommand::Summary { plot: None },
        ["token", "hash", file] => OperatorCommand::TokenHash(PathBuf::from(file)),
        other => {
            return Err(UsageError::UnknownCommand {
                name: other.join(" "),
            });
        }
    };
    let is_job_list = matches!(command, OperatorCommand::JobList(_));
    match (
        force,
        is_job_list || job_list_query == JobListQuery::default(),
    ) {
        (false, true) => Ok(command),
        (true, _) => misplaced_option("`--force` goes with `domain out` alone"),
        (false, false) => misplaced_option("`--limit` and `--after` go with `job list` alone"),
    }
}

/// Adds the path of `--plot` to the `summary` command; rejects it for others.
fn add_plot_path(
    command: OperatorCommand,
    plot_path: Option<PathBuf>,
) -> Result<OperatorCommand, UsageError> {
    match (command, plot_path) {
        (OperatorCommand::Summary { .. }, plot) => Ok(OperatorCommand::Summary { plot }),
        (command, None) => Ok(command),
        (_, Some(_)) => misplaced_option("`--plot` goes with `summary` alone"),
    }
}

/// Returns the error for an option that does not belong to the command.
fn misplaced_option(reason: &str) -> Result<OperatorCommand, UsageError> {
    Err(UsageError::InvalidOption {
        reason: reason.to_owned(),
    })
}

/// Returns the command that takes a failure domain out or in.
fn domain_command(
    text: &str,
    state: DomainState,
    force: bool,
) -> Result<OperatorCommand, UsageError> {
    Ok(OperatorCommand::Domain {
        name: checked_name(text)?,
        state,
        force,
    })
}

/// Returns the error for a command without a required argument.
fn missing_argument(
    command: &'static str,
    arguments: &'static str,
) -> Result<OperatorCommand, UsageError> {
    Err(UsageError::MissingArgument { command, arguments })
}

/// Returns a name or identifier if it can be part of a URL path without escaping.
fn checked_name(text: &str) -> Result<String, UsageError> {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if !text.is_empty() && text.chars().all(allowed) {
        return Ok(text.to_owned());
    }
    Err(UsageError::InvalidName {
        name: text.to_owned(),
    })
}
