//! The command line of `jbctl`.

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
    JobListing,
    OperatorCommand,
    TargetOptions,
    UsageError, //
};

/// The text of `--help`.
pub const HELP: &str = "\
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

/// What `jbctl` is asked to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommandLine {
    /// Carry out a command.
    Run(OperatorCommand, TargetOptions),
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

impl CommandLine {
    /// Reads the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Any [`UsageError`].
    pub fn parse<Arguments>(arguments: Arguments) -> Result<Self, UsageError>
    where
        Arguments: IntoIterator<Item = OsString>,
        Arguments::IntoIter: 'static,
    {
        let mut parser = Parser::from_args(arguments);
        let mut options = TargetOptions::new();
        let mut words = Vec::new();
        let mut force = false;
        let mut listing = JobListing::default();
        let mut plot = None;
        while let Some(argument) = parser.next()? {
            match argument {
                Arg::Long("help") | Arg::Short('h') => return Ok(Self::Help),
                Arg::Long("version") | Arg::Short('V') => return Ok(Self::Version),
                Arg::Long("address") => options.address = parser.value()?.string()?,
                Arg::Long("token-file") => options.token_file = Some(parser.value()?.into()),
                Arg::Long("ca-file") => options.ca_file = Some(parser.value()?.into()),
                Arg::Long("output") => options.output = parser.value()?.string()?.parse()?,
                Arg::Long("force") => force = true,
                Arg::Long("limit") => listing.limit = Some(parser.value()?.parse()?),
                Arg::Long("after") => listing.after = Some(name(&parser.value()?.string()?)?),
                Arg::Long("plot") => plot = Some(PathBuf::from(parser.value()?)),
                Arg::Value(word) => words.push(word.string()?),
                other => return Err(other.unexpected().into()),
            }
        }
        let command = with_plot(command(&words, force, listing)?, plot)?;
        Ok(Self::Run(command, options))
    }
}

fn command(
    words: &[String],
    force: bool,
    listing: JobListing,
) -> Result<OperatorCommand, UsageError> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let command = match words.as_slice() {
        [] => return Err(UsageError::Nothing),
        ["domain", "out", name] => return domain(name, DomainState::Out, force),
        ["domain", "in", name] => return domain(name, DomainState::In, force),
        ["domain", "out" | "in"] => return missing("domain", "out|in and the domain's name"),
        ["status"] => OperatorCommand::Status,
        ["config", "get"] => OperatorCommand::ConfigGet,
        ["config", "put", file] => OperatorCommand::ConfigPut(PathBuf::from(file)),
        ["config", "check", file] => OperatorCommand::ConfigCheck(PathBuf::from(file)),
        ["config", "put" | "check"] => return missing("config", "a file to put or check"),
        ["job", "submit", file] => OperatorCommand::JobSubmit(PathBuf::from(file)),
        ["job", "submit"] => return missing("job submit", "the file that describes the job"),
        ["job", "status", job] => OperatorCommand::JobStatus(name(job)?),
        ["job", "cancel", job] => OperatorCommand::JobCancel(name(job)?),
        ["job", "status" | "cancel"] => return missing("job", "the job's identity"),
        ["job", "list"] => OperatorCommand::JobList(listing.clone()),
        ["class", "list"] => OperatorCommand::ClassList,
        ["explain", job] => OperatorCommand::Explain(name(job)?),
        ["explain"] => return missing("explain", "a job's identity"),
        ["summary"] => OperatorCommand::Summary { plot: None },
        ["token", "hash", file] => OperatorCommand::TokenHash(PathBuf::from(file)),
        other => {
            return Err(UsageError::UnknownCommand {
                name: other.join(" "),
            });
        }
    };
    let listed = matches!(command, OperatorCommand::JobList(_));
    match (force, listed || listing == JobListing::default()) {
        (false, true) => Ok(command),
        (true, _) => stray("`--force` goes with `domain out` alone"),
        (false, false) => stray("`--limit` and `--after` go with `job list` alone"),
    }
}

fn with_plot(
    command: OperatorCommand,
    plot: Option<PathBuf>,
) -> Result<OperatorCommand, UsageError> {
    match (command, plot) {
        (OperatorCommand::Summary { .. }, plot) => Ok(OperatorCommand::Summary { plot }),
        (command, None) => Ok(command),
        (_, Some(_)) => stray("`--plot` goes with `summary` alone"),
    }
}

fn stray(reason: &str) -> Result<OperatorCommand, UsageError> {
    Err(UsageError::Option {
        reason: reason.to_owned(),
    })
}

fn domain(text: &str, state: DomainState, force: bool) -> Result<OperatorCommand, UsageError> {
    Ok(OperatorCommand::Domain {
        name: name(text)?,
        state,
        force,
    })
}

fn missing(command: &'static str, wants: &'static str) -> Result<OperatorCommand, UsageError> {
    Err(UsageError::MissingArgument { command, wants })
}

fn name(text: &str) -> Result<String, UsageError> {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if !text.is_empty() && text.chars().all(allowed) {
        return Ok(text.to_owned());
    }
    Err(UsageError::BadName {
        name: text.to_owned(),
    })
}
