//! Processor time and memory of this process, as reported by the kernel.

use std::fs;

/// Returns the processor time in seconds of all threads with this name.
pub(crate) fn cpu_seconds(name: &str) -> f64 {
    let tasks = fs::read_dir("/proc/self/task").unwrap();
    let nanos = tasks.filter_map(|task| {
        let path = task.ok()?.path();
        let comm = fs::read_to_string(path.join("comm")).ok()?;
        let schedule = fs::read_to_string(path.join("schedstat")).ok()?;
        let nanos: u64 = schedule.split(' ').next()?.parse().ok()?;
        (comm.trim() == name).then_some(nanos)
    });
    nanos.sum::<u64>() as f64 / 1e9
}

/// Returns the resident memory of this process in KiB.
pub(crate) fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|field| field.parse().ok()).unwrap_or(0)
}
