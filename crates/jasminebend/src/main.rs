//! The program `jasminebend`.

use std::process::ExitCode;

fn main() -> ExitCode {
    jasminebend::run_program(std::env::args_os().skip(1))
}
