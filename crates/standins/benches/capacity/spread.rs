//! Processor time per call, over some rounds.

use std::{
    fs,
    time::Duration, //
};

const ROUNDS: usize = 5;
/// What a round takes at the least: the kernel counts a thread's time in steps of 4 ms.
const ROUND_TIME: Duration = Duration::from_millis(100);
const BATCH: u32 = 20;

/// The processor time that the calling thread has taken.
fn thread_time() -> Duration {
    let stat = fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let nanos = stat.split(' ').next().unwrap().parse().unwrap();
    Duration::from_nanos(nanos)
}

/// Returns the median, the least and the most of the times per call, in microseconds.
pub(crate) fn spread<Call>(mut call: Call) -> String
where
    Call: FnMut(),
{
    let mut times: Vec<_> = (0..=ROUNDS).map(|_| round(&mut call)).skip(1).collect();
    times.sort_by(f64::total_cmp);
    let (least, most) = (times[0], times[ROUNDS - 1]);
    format!("{:.1} ({least:.1} to {most:.1})", times[ROUNDS / 2])
}

fn round<Call>(call: &mut Call) -> f64
where
    Call: FnMut(),
{
    let before = thread_time();
    let mut calls = 0;
    loop {
        (0..BATCH).for_each(|_| call());
        calls += BATCH;
        let taken = thread_time() - before;
        if taken >= ROUND_TIME {
            return taken.as_secs_f64() * 1e6 / f64::from(calls);
        }
    }
}
