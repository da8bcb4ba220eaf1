//! What the program does, and the exit code that says how it went.

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
    demo,
    fleet_program::run_fleet,
    service, //
};

const FAILED: u8 = 1;
const MISUSED: u8 = 2;

/// Does what the arguments ask for. Exit codes: 0 done, 1 failed, 2 wrong usage or settings.
pub fn run_program<Arguments>(arguments: Arguments) -> ExitCode
where
    Arguments: IntoIterator<Item = OsString>,
    Arguments::IntoIter: 'static,
{
    match CommandLine::parse(arguments) {
        Err(error) => fail(MISUSED, &error),
        Ok(CommandLine::Help) => say(HELP),
        Ok(CommandLine::Version) => say(&version()),
        Ok(CommandLine::Check(path)) => check(&path),
        Ok(CommandLine::Demo(options)) => block_on(async move {
            let outcome = demo::run(options).await;
            outcome.map_or_else(|error| fail(FAILED, &error), |()| ExitCode::SUCCESS)
        }),
        Ok(CommandLine::Run(path)) => run(&path),
        Ok(CommandLine::Fleet(switches)) => run_fleet(switches),
    }
}

fn run(path: &Path) -> ExitCode {
    match DaemonSettings::load(path) {
        Err(error) => fail(MISUSED, &error),
        Ok(settings) => block_on(async move {
            let outcome = service::run(settings).await;
            outcome.map_or_else(|error| fail(code(&error), &error), |()| ExitCode::SUCCESS)
        }),
    }
}

fn check(path: &Path) -> ExitCode {
    let checked = DaemonSettings::load(path)
        .map_err(DaemonError::from)
        .and_then(|settings| service::check_keys(&settings));
    match checked {
        Ok(()) => say(&format!("{} is in order.\n", path.display())),
        Err(error) => fail(MISUSED, &error),
    }
}

fn code(error: &DaemonError) -> u8 {
    match error {
        DaemonError::Settings(_) | DaemonError::Access(_) | DaemonError::OpenAdministration => {
            MISUSED
        }
        _ => FAILED,
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
        Err(error) => fail(FAILED, &error),
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
    eprintln!("jasminebend: {cause}");
    ExitCode::from(code)
}
