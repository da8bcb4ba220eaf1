//! Ends the process at a panic.

use std::{
    panic,
    process,
    thread,
    time::Duration, //
};

/// The exit code of a process that a panic ended.
const PANICKED: i32 = 101;
/// How long the message is waited for: a reader of it that stands still must not keep the process.
const LONGEST_REPORT: Duration = Duration::from_secs(1);

/// Ends the process at any panic, once its message is written or nobody reads it.
///
/// A panic ends its own task only. The process would go on without it, half alive: an owner that renews its seat, and
/// no longer the leases of one worker, whose runs lapse again and again while no successor takes over.
pub fn end_on_panic() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        // Without a thread to be had the message alone is waited for.
        drop(thread::Builder::new().spawn(|| {
            thread::sleep(LONGEST_REPORT);
            process::exit(PANICKED);
        }));
        report(info);
        process::exit(PANICKED);
    }));
}
