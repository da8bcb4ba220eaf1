//! Retry budget: the load that retries add when a third of the endpoints fail, and the load that
//! hedged attempts add for the tail latency that they save.
//!
//! `cargo bench -p jasminebend-routing --bench retry_and_hedge`

#[expect(dead_code, reason = "each benchmark uses only some of the helpers")]
mod support;

use std::time::Duration;

use jasminebend_routing::{
    LatencyEstimate,
    RetryBudget, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::support::{
    SEEDS,
    exponential,
    format_median_and_range,
    quantile, //
};

const REQUESTS: usize = 100_000;
/// Mean time to a response from an endpoint that is not slowed down.
const MEAN_WORK_TIME: Duration = Duration::from_millis(20);
const MAX_ATTEMPTS: u32 = 3;
/// Number of latency samples before the first hedged attempt.
const MIN_HEDGE_SAMPLES: u64 = 100;

#[derive(Clone, Copy, Eq, PartialEq)]
enum AttemptLimit {
    /// Sends each request once.
    SingleAttempt,
    /// Limits further attempts by a [`RetryBudget`].
    Budget,
    /// Allows further attempts without a budget; retries still end after [`MAX_ATTEMPTS`].
    Unbounded,
}

/// Returns the number of attempts per request and the share of the requests that succeeded;
/// `failure_rate` is the probability that an attempt fails.
fn simulate_retries(limit: AttemptLimit, failure_rate: f64, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(0.1, 10.0);
    let (mut attempts, mut succeeded) = (0_u32, 0_u32);
    for _ in 0..REQUESTS {
        budget.deposit();
        for attempt in 1..=MAX_ATTEMPTS {
            attempts += 1;
            if !rng.random_bool(failure_rate) {
                succeeded += 1;
                break;
            }
            let may_retry = match limit {
                AttemptLimit::SingleAttempt => false,
                AttemptLimit::Budget => attempt < MAX_ATTEMPTS && budget.try_withdraw(),
                AttemptLimit::Unbounded => true,
            };
            if !may_retry {
                break;
            }
        }
    }
    let requests = REQUESTS as f64;
    (
        f64::from(attempts) / requests,
        f64::from(succeeded) / requests,
    )
}

/// Returns the response time of an endpoint that batch work slows down from time to time: one
/// response in 100 takes 20 times as long.
fn response_time(rng: &mut SmallRng) -> Duration {
    let work_time = exponential(rng, MEAN_WORK_TIME);
    match rng.random_bool(0.01) {
        true => work_time * 20,
        false => work_time,
    }
}

/// Returns p99 and p99.9 in seconds, and the number of attempts per request. A second attempt is
/// sent after the `hedge_quantile` of the latencies so far.
fn simulate_hedging(limit: AttemptLimit, hedge_quantile: f64, seed: u64) -> (f64, f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(0.1, 10.0);
    let mut estimate = LatencyEstimate::new(hedge_quantile);
    let mut attempts = REQUESTS;
    let mut latencies = Vec::with_capacity(REQUESTS);
    for _ in 0..REQUESTS {
        budget.deposit();
        let mut latency = response_time(&mut rng);
        let hedge_delay = estimate.quantile();
        let is_due = estimate.samples() >= MIN_HEDGE_SAMPLES && latency > hedge_delay;
        let is_hedged = match limit {
            AttemptLimit::SingleAttempt => false,
            AttemptLimit::Budget => is_due && budget.try_withdraw(),
            AttemptLimit::Unbounded => is_due,
        };
        if is_hedged {
            attempts += 1;
            latency = latency.min(hedge_delay + response_time(&mut rng));
        }
        estimate.observe(latency);
        latencies.push(latency);
    }
    let p99 = quantile(&mut latencies, 0.99).as_secs_f64();
    let p999 = quantile(&mut latencies, 0.999).as_secs_f64();
    (p99, p999, attempts as f64 / REQUESTS as f64)
}

fn main() {
    println!(
        "{} seeds of {REQUESTS} requests; a third of the endpoints fail:",
        SEEDS.end
    );
    let limits = [
        ("no further attempts", AttemptLimit::SingleAttempt),
        ("budget of 10%", AttemptLimit::Budget),
        ("no budget", AttemptLimit::Unbounded),
    ];
    for (name, limit) in limits {
        let results: Vec<_> = SEEDS
            .map(|seed| simulate_retries(limit, 1.0 / 3.0, seed))
            .collect();
        let mut loads: Vec<_> = results.iter().map(|result| result.0).collect();
        let mut success_rates: Vec<_> = results.iter().map(|result| result.1).collect();
        println!(
            "  {name:<20} load {}  answered {}",
            format_median_and_range(&mut loads),
            format_median_and_range(&mut success_rates)
        );
    }
    println!("one response in 100 takes 20 times as long; p99 and p99.9 as ratios to no hedging:");
    for hedge_quantile in [0.9, 0.95, 0.99] {
        let baseline: Vec<_> = SEEDS
            .map(|seed| simulate_hedging(AttemptLimit::SingleAttempt, hedge_quantile, seed))
            .collect();
        for (name, limit) in limits.into_iter().skip(1) {
            let results: Vec<_> = SEEDS
                .map(|seed| simulate_hedging(limit, hedge_quantile, seed))
                .collect();
            let pairs = || results.iter().zip(&baseline);
            let mut p99_ratios: Vec<_> = pairs().map(|(result, base)| result.0 / base.0).collect();
            let mut p999_ratios: Vec<_> = pairs().map(|(result, base)| result.1 / base.1).collect();
            let mut loads: Vec<_> = results.iter().map(|result| result.2).collect();
            println!(
                "  after p{:<4} {name:<14} p99 {}  p99.9 {}  load {}",
                hedge_quantile * 100.0,
                format_median_and_range(&mut p99_ratios),
                format_median_and_range(&mut p999_ratios),
                format_median_and_range(&mut loads)
            );
        }
    }
}
