//! Measures the CPU time per call over several rounds.

use std::{
    fs,
    time::Duration, //
};

/// The number of measured rounds, after one warm-up round.
const ROUNDS: usize = 5;
/// The minimum CPU time of a round. It is long because the kernel counts a thread's time in steps of 4 ms.
const MIN_ROUND_CPU_TIME: Duration = Duration::from_millis(100);
/// The number of calls between two readings of the CPU time.
const CALLS_PER_READING: u32 = 20;

/// Returns the CPU time that the calling thread has used.
fn thread_cpu_time() -> Duration {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let nanos = stat.split(' ').next().unwrap().parse().unwrap();
    Duration::from_nanos(nanos)
}

/// Returns the median, the minimum and the maximum of the rounds' CPU times per call, in microseconds.
pub(crate) fn cpu_time_per_call<Call>(mut call: Call) -> String
where
    Call: FnMut(),
{
    let mut times: Vec<_> = (0..=ROUNDS)
        .map(|_| measure_round(&mut call))
        .skip(1)
        .collect();
    times.sort_by(f64::total_cmp);
    let (min, max) = (times[0], times[ROUNDS - 1]);
    format!("{:.1} ({min:.1} to {max:.1})", times[ROUNDS / 2])
}

fn measure_round<Call>(call: &mut Call) -> f64
where
    Call: FnMut(),
{
    let before = thread_cpu_time();
    let mut calls = 0;
    loop {
        (0..CALLS_PER_READING).for_each(|_| call());
        calls += CALLS_PER_READING;
        let used = thread_cpu_time() - before;
        if used >= MIN_ROUND_CPU_TIME {
            return used.as_secs_f64() * 1e6 / f64::from(calls);
        }
    }
}
