//! The adapter to the operating system's clock.

use std::{
    sync::LazyLock,
    time::{
        Duration,
        SystemTime, //
    }, //
};

use tokio::time::Instant;

use crate::{
    ClockSource,
    SuspensionMeter, //
};

/// The process's measure of its machine's suspensions.
static SUSPENSIONS: LazyLock<SuspensionMeter> = LazyLock::new(|| {
    let steady = read_clock(libc::CLOCK_MONOTONIC);
    SuspensionMeter::new(steady, read_clock(libc::CLOCK_BOOTTIME))
});

/// The adapter to the operating system's clock. Its monotonic time is that of the tokio runtime,
/// and stops while a test pauses the runtime's clock. The time for which the machine was suspended is added: the runtime's
/// clock does not count it, but other machines go on meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    origin: Instant,
    /// For how long the machine had been suspended at the origin.
    suspended_before: Duration,
}

impl SystemClock {
    /// Creates a clock whose origin is now.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
            suspended_before: suspended_time(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl ClockSource for SystemClock {
    fn monotonic(&self) -> Duration {
        let suspended = suspended_time().saturating_sub(self.suspended_before);
        self.origin.elapsed() + suspended
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns for how long the machine was suspended since this process first asked.
fn suspended_time() -> Duration {
    let suspensions = &*SUSPENSIONS;
    let since_boot = read_clock(libc::CLOCK_BOOTTIME);
    suspensions.suspended_time(since_boot, read_clock(libc::CLOCK_MONOTONIC))
}

/// Returns a clock's reading. Both clocks exist on every Linux kernel that the program supports; a clock that does not would
/// read zero, by which no suspension is measured.
fn read_clock(clock: libc::clockid_t) -> Duration {
    let mut reading = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: The pointer is valid for the write of one `timespec`.
    let result = unsafe { libc::clock_gettime(clock, &raw mut reading) };
    match (
        u64::try_from(reading.tv_sec),
        u32::try_from(reading.tv_nsec),
    ) {
        (Ok(seconds), Ok(nanos)) if result == 0 => Duration::new(seconds, nanos),
        _ => Duration::ZERO,
    }
}
