//! Ends the process at a panic.

use std::{
    panic,
    process, //
};

/// The exit code of a process that a panic ended.
const PANICKED: i32 = 101;

/// Ends the process at any panic, once its message is written.
///
/// A panic ends its own task only. The process would go on without it, half alive: an owner that renews its seat, and
/// no longer the leases of one worker, whose runs lapse again and again while no successor takes over.
pub fn end_on_panic() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        report(info);
        process::exit(PANICKED);
    }));
}
