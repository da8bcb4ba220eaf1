//! Ends the process on a panic.

use std::{
    panic,
    process,
    thread,
    time::Duration, //
};

/// The exit code after a panic.
const PANIC_EXIT_CODE: i32 = 101;
/// How long the process waits for the panic message to be written; a blocked reader must not keep it alive.
const PANIC_MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Installs a panic hook that ends the process once the panic message is written or has timed out.
///
/// A panic by itself ends only the task that panicked, and the rest of the process goes on. An owner could then renew
/// its seat but no longer the leases of one worker, whose runs would lapse again and again while no other daemon takes
/// over.
pub fn exit_on_panic() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        // If no thread can be started, the process waits for the message without a timeout.
        drop(thread::Builder::new().spawn(|| {
            thread::sleep(PANIC_MESSAGE_TIMEOUT);
            process::exit(PANIC_EXIT_CODE);
        }));
        default_hook(info);
        process::exit(PANIC_EXIT_CODE);
    }));
}
