//! What this process uses.

use std::{
    fs,
    time::Duration, //
};

const PAGE: u64 = 4096;
/// The unit of the processor times in `/proc`; 100 a second on every Linux that Rust runs on.
const TICK: Duration = Duration::from_millis(10);
/// The places of the user and the system time in `/proc/self/stat`, after the program's name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// What this process uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessUsage {
    /// Bytes of memory that are resident.
    pub resident: u64,
    /// Processor time since the start, in steps of 10 ms.
    pub processor: Duration,
}

impl ProcessUsage {
    /// Reads `/proc`; `None` where there is none.
    pub fn read() -> Option<Self> {
        Some(Self {
            resident: resident()?,
            processor: processor()?,
        })
    }
}

fn resident() -> Option<u64> {
    let sizes = fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = sizes.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE)
}

fn processor() -> Option<Duration> {
    let stat = fs::read_to_string("/proc/self/stat").ok()?;
    let (_, fields) = stat.rsplit_once(") ")?;
    let ticks = |place: usize| fields.split(' ').nth(place)?.parse::<u32>().ok();
    Some(TICK * (ticks(USER_TIME)? + ticks(SYSTEM_TIME)?))
}
