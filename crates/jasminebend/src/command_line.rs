//! Parses the command line of `jasminebend`.

use std::{
    ffi::OsString,
    path::PathBuf, //
};

use jasminebend_dispatch::{
    PolicyPart,
    PolicySwitches, //
};
use lexopt::{
    Arg,
    Parser,
    ValueExt, //
};

use crate::{
    DemoOptions,
    UsageError, //
};

/// The text of `--help`.
pub const HELP: &str = "\
jasminebend: schedules latency-critical and batch work that share VMs

Usage:
  jasminebend --settings FILE    Run the daemon until SIGTERM or SIGINT.
  jasminebend fleet              Run the daemon on the users' platform; the variable
                                 JASMINEBEND_CONFIG names its settings file.
      --without PART             Do without a part of the policy, for a trial of what it is
                                 worth; may be given again. A wrong name lists the parts.
  jasminebend check FILE         Check a settings file and the files it names.
  jasminebend demo               Run a whole system in this process, on loopback.
      --seconds N                How long to send work [20].
      --seed N                   What every draw starts from [1].
      --keep-running             Go on serving until a signal.
  jasminebend --help             Print this text.
  jasminebend --version          Print the version.

Exit codes: 0 done, 1 failed, 2 wrong usage or settings.
";

/// The command that `jasminebend` runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommandLine {
    /// Run the daemon with this settings file.
    Run(PathBuf),
    /// Run the fleet daemon, with these parts of the policy switched on or off.
    Fleet(PolicySwitches),
    /// Check this settings file and the files that it names.
    Check(PathBuf),
    /// Run the demonstration with these options.
    Demo(DemoOptions),
    /// Print the help.
    Help,
    /// Print the version.
    Version,
}

impl CommandLine {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Returns a [`UsageError`] if the arguments are not a valid command.
    pub fn parse<Arguments>(arguments: Arguments) -> Result<Self, UsageError>
    where
        Arguments: IntoIterator<Item = OsString>,
        Arguments::IntoIter: 'static,
    {
        let mut parser = Parser::from_args(arguments);
        let command = match parser.next()? {
            None => return Err(UsageError::Nothing),
            Some(Arg::Long("help") | Arg::Short('h')) => return Ok(Self::Help),
            Some(Arg::Long("version") | Arg::Short('V')) => return Ok(Self::Version),
            Some(Arg::Long("settings")) => Self::Run(parser.value()?.into()),
            Some(Arg::Value(name)) if name == "fleet" => return parse_fleet(&mut parser),
            Some(Arg::Value(name)) if name == "check" => Self::Check(parse_file(&mut parser)?),
            Some(Arg::Value(name)) if name == "demo" => return parse_demo(&mut parser),
            Some(Arg::Value(name)) => {
                return Err(UsageError::UnknownCommand {
                    name: name.to_string_lossy().into_owned(),
                });
            }
            Some(other) => return Err(other.unexpected().into()),
        };
        match parser.next()? {
            None => Ok(command),
            Some(other) => Err(other.unexpected().into()),
        }
    }
}

fn parse_file(parser: &mut Parser) -> Result<PathBuf, UsageError> {
    match parser.next()? {
        Some(Arg::Value(path)) => Ok(path.into()),
        Some(other) => Err(other.unexpected().into()),
        None => Err(UsageError::MissingFile),
    }
}

fn parse_fleet(parser: &mut Parser) -> Result<CommandLine, UsageError> {
    let mut switches = PolicySwitches::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("without") => {
                let name = parser.value()?.string()?;
                switches = switches.without(name.parse::<PolicyPart>()?);
            }
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(CommandLine::Fleet(switches))
}

fn parse_demo(parser: &mut Parser) -> Result<CommandLine, UsageError> {
    let mut options = DemoOptions::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("seconds") => options.seconds = parser.value()?.parse()?,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("keep-running") => options.keep_running = true,
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(CommandLine::Demo(options))
}
