//! Entry point of the operator's command-line client `jbctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    jbctl::run_program(std::env::args_os().skip(1))
}
