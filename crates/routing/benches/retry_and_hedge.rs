//! What retries and hedges cost when a third of the endpoints fail, and what hedges bring.
//!
//! `cargo bench -p jasminebend-routing --bench retry_and_hedge`

#[expect(dead_code, reason = "each measurement uses a part of it")]
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
    quantile,
    spread, //
};

const REQUESTS: usize = 100_000;
const WORK: Duration = Duration::from_millis(20);
const MOST_ATTEMPTS: u32 = 3;
const LEAST_SAMPLES: u64 = 100;

#[derive(Clone, Copy, Eq, PartialEq)]
enum Limit {
    None,
    Budget,
    Unbounded,
}

/// Returns the attempts for each request, and the share that succeeded.
fn retry(limit: Limit, failing: f64, seed: u64) -> (f64, f64) {
    let mut source = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(0.1, 10.0);
    let (mut attempts, mut good) = (0_u32, 0_u32);
    for _ in 0..REQUESTS {
        budget.earn();
        for attempt in 1..=MOST_ATTEMPTS {
            attempts += 1;
            if !source.random_bool(failing) {
                good += 1;
                break;
            }
            let again = match limit {
                Limit::None => false,
                Limit::Budget => attempt < MOST_ATTEMPTS && budget.spend(),
                Limit::Unbounded => true,
            };
            if !again {
                break;
            }
        }
    }
    let requests = REQUESTS as f64;
    (f64::from(attempts) / requests, f64::from(good) / requests)
}

/// An endpoint that batch work slows down now and then: one answer in 100 takes 20 times as long.
fn answer_time(source: &mut SmallRng) -> Duration {
    let work = exponential(source, WORK);
    match source.random_bool(0.01) {
        true => work * 20,
        false => work,
    }
}

/// Returns p99 and p99.9 in seconds, and the attempts for each request.
fn hedge(limit: Limit, quantile_part: f64, seed: u64) -> (f64, f64, f64) {
    let mut source = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(0.1, 10.0);
    let mut latency = LatencyEstimate::new(quantile_part);
    let mut attempts = REQUESTS;
    let mut latencies = Vec::with_capacity(REQUESTS);
    for _ in 0..REQUESTS {
        budget.earn();
        let mut taken = answer_time(&mut source);
        let delay = latency.quantile();
        let due = latency.samples() >= LEAST_SAMPLES && taken > delay;
        let allowed = match limit {
            Limit::None => false,
            Limit::Budget => due && budget.spend(),
            Limit::Unbounded => due,
        };
        if allowed {
            attempts += 1;
            taken = taken.min(delay + answer_time(&mut source));
        }
        latency.observe(taken);
        latencies.push(taken);
    }
    let tail = quantile(&mut latencies, 0.99).as_secs_f64();
    let far = quantile(&mut latencies, 0.999).as_secs_f64();
    (tail, far, attempts as f64 / REQUESTS as f64)
}

fn main() {
    println!(
        "{} seeds of {REQUESTS} requests; a third of the endpoints fail:",
        SEEDS.end
    );
    let limits = [
        ("no further attempts", Limit::None),
        ("budget of 10%", Limit::Budget),
        ("no budget", Limit::Unbounded),
    ];
    for (name, limit) in limits {
        let own: Vec<_> = SEEDS.map(|seed| retry(limit, 1.0 / 3.0, seed)).collect();
        let mut loads: Vec<_> = own.iter().map(|own| own.0).collect();
        let mut goods: Vec<_> = own.iter().map(|own| own.1).collect();
        println!(
            "  {name:<20} load {}  answered {}",
            spread(&mut loads),
            spread(&mut goods)
        );
    }
    println!("one answer in 100 takes 20 times as long; p99 and p99.9 as ratios to no hedges:");
    for part in [0.9, 0.95, 0.99] {
        let base: Vec<_> = SEEDS.map(|seed| hedge(Limit::None, part, seed)).collect();
        for (name, limit) in limits.into_iter().skip(1) {
            let own: Vec<_> = SEEDS.map(|seed| hedge(limit, part, seed)).collect();
            let pairs = || own.iter().zip(&base);
            let mut tails: Vec<_> = pairs().map(|(own, base)| own.0 / base.0).collect();
            let mut fars: Vec<_> = pairs().map(|(own, base)| own.1 / base.1).collect();
            let mut loads: Vec<_> = own.iter().map(|own| own.2).collect();
            println!(
                "  after p{:<4} {name:<14} p99 {}  p99.9 {}  load {}",
                part * 100.0,
                spread(&mut tails),
                spread(&mut fars),
                spread(&mut loads)
            );
        }
    }
}
