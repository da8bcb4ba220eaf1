//! Runs the program's commands.

use std::{
    ffi::OsString,
    fmt::Display,
    future::Future,
    path::Path,
    process::ExitCode, //
};

use tokio::runtime::Runtime;

use crate::{
    CommandLine,
    DaemonError,
    DaemonSettings,
    HELP,
    daemon_runner, //
    demo,
    fleet_program::run_fleet,
};

const EXIT_FAILURE: u8 = 1;
const EXIT_USAGE_ERROR: u8 = 2;

/// Runs the command that the arguments name. Exit codes: 0 success, 1 failure, 2 wrong usage or settings.
pub fn run_program<Arguments>(arguments: Arguments) -> ExitCode
where
    Arguments: IntoIterator<Item = OsString>,
    Arguments::IntoIter: 'static,
{
    match CommandLine::parse(arguments) {
        Err(error) => fail(EXIT_USAGE_ERROR, &error),
        Ok(CommandLine::Help) => print_text(HELP),
        Ok(CommandLine::Version) => print_text(&version()),
        Ok(CommandLine::Check(path)) => check_settings(&path),
        Ok(CommandLine::Demo(options)) => block_on(async move {
            let outcome = demo::run(options).await;
            outcome.map_or_else(|error| fail(EXIT_FAILURE, &error), |()| ExitCode::SUCCESS)
        }),
        Ok(CommandLine::Run(path)) => run_daemon(&path),
        Ok(CommandLine::Fleet(switches)) => run_fleet(switches),
    }
}

fn run_daemon(path: &Path) -> ExitCode {
    match DaemonSettings::load(path) {
        Err(error) => fail(EXIT_USAGE_ERROR, &error),
        Ok(settings) => block_on(async move {
            let outcome = daemon_runner::run(settings).await;
            outcome.map_or_else(
                |error| fail(exit_code(&error), &error),
                |()| ExitCode::SUCCESS,
            )
        }),
    }
}

/// Checks a settings file and the files that it names, without starting the daemon.
fn check_settings(path: &Path) -> ExitCode {
    let checked = DaemonSettings::load(path)
        .map_err(DaemonError::from)
        .and_then(|settings| daemon_runner::check_keys(&settings));
    match checked {
        Ok(()) => print_text(&format!("{} is in order.\n", path.display())),
        Err(error) => fail(EXIT_USAGE_ERROR, &error),
    }
}

fn exit_code(error: &DaemonError) -> u8 {
    match error {
        DaemonError::Settings(_) | DaemonError::Access(_) | DaemonError::OpenAdministration => {
            EXIT_USAGE_ERROR
        }
        _ => EXIT_FAILURE,
    }
}

fn version() -> String {
    format!("jasminebend {}\n", env!("CARGO_PKG_VERSION"))
}

fn block_on<Work>(work: Work) -> ExitCode
where
    Work: Future<Output = ExitCode>,
{
    match Runtime::new() {
        Ok(runtime) => runtime.block_on(work),
        Err(error) => fail(EXIT_FAILURE, &error),
    }
}

/// Prints a text and returns the exit code of success.
fn print_text(text: &str) -> ExitCode {
    print!("{text}");
    ExitCode::SUCCESS
}

/// Prints an error and returns the exit code.
fn fail<Cause>(code: u8, cause: &Cause) -> ExitCode
where
    Cause: Display + ?Sized,
{
    eprintln!("jasminebend: {cause}");
    ExitCode::from(code)
}
