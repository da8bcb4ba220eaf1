//! The limit of a process on its open files.

use std::fs;

/// Returns the most files that this process may open; `None` if it is not known or there is no limit.
pub fn descriptor_limit() -> Option<usize> {
    let limits = fs::read_to_string("/proc/self/limits").ok()?;
    let limit = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"))?;
    limit.split_whitespace().next()?.parse().ok()
}
