//! Memory and processor time of this process.

use std::{
    fs,
    time::Duration, //
};

const PAGE_BYTES: u64 = 4096;
/// The unit of processor times in `/proc`: 100 ticks per second on every Linux that Rust supports.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// The indexes of the user and the system time in `/proc/self/stat`, counted after the program's name.
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Memory and processor time of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessUsage {
    /// The resident memory, in bytes.
    pub resident_bytes: u64,
    /// The processor time since the start of the process, with a resolution of 10 ms.
    pub cpu_time: Duration,
}

impl ProcessUsage {
    /// Reads the usage from `/proc`; returns `None` where it cannot be read.
    pub fn read() -> Option<Self> {
        Some(Self {
            resident_bytes: read_resident_bytes()?,
            cpu_time: read_cpu_time()?,
        })
    }
}

fn read_resident_bytes() -> Option<u64> {
    let sizes = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = sizes.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

fn read_cpu_time() -> Option<Duration> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let ticks = |index: usize| fields.split(' ').nth(index)?.parse::<u32>().ok();
    Some(CLOCK_TICK * (ticks(USER_TIME_FIELD)? + ticks(SYSTEM_TIME_FIELD)?))
}
