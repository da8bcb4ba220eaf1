//! Load balancing policies: least cost compared with random, round robin and least outstanding.
//!
//! Simulates the slots that one daemon has at 50 endpoints: two at every third endpoint, one at each
//! other. The work time factor of each endpoint changes every 5 s, as batch work starts and ends on
//! its VM. One endpoint fails most requests immediately, one is always slow, and a third of them are
//! 1 ms further away (one way). Latencies are printed as ratios to the random policy with the same
//! seed: median and range over the seeds.
//!
//! `cargo bench -p jasminebend-routing --bench endpoint_pick`

mod support;

use std::{
    collections::VecDeque,
    time::Duration, //
};

use jasminebend_routing::{
    EndpointScore,
    LatencyEstimate,
    LoadBalancingPolicy, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::support::{
    EventQueue,
    SEEDS,
    exponential,
    format_median_and_range,
    quantile, //
};

const ENDPOINTS: usize = 50;
const FAILING_ENDPOINT: usize = 7;
const SLOW_ENDPOINT: usize = 11;
/// Mean work time of a request at an endpoint whose work time factor is 1.
const MEAN_WORK_TIME: Duration = Duration::from_millis(20);
/// Simulated time during which requests arrive.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(120);
const WORK_FACTOR_CHANGE_INTERVAL: Duration = Duration::from_secs(5);
/// Round-trip time that is added at every third endpoint.
const DISTANT_ROUND_TRIP: Duration = Duration::from_millis(2);

enum Event {
    Arrival,
    Completion {
        slot: usize,
        arrival: Duration,
        sent_at: Duration,
        succeeded: bool,
    },
    WorkFactorChange,
}

struct SimulatedPool {
    rule: LoadBalancingPolicy,
    rng: SmallRng,
    scores: Vec<EndpointScore>,
    /// By which factor the work takes longer at each endpoint.
    work_factors: Vec<f64>,
    free_slots: Vec<usize>,
    /// Arrival times of the queued requests.
    queued_arrivals: VecDeque<Duration>,
    latency: LatencyEstimate,
    pick_count: u64,
}

struct SimulationResult {
    /// Median latency of the successful requests, in seconds.
    p50_secs: f64,
    /// 99th percentile of the latency of the successful requests, in seconds.
    p99_secs: f64,
    /// Share of the requests that got an error.
    error_rate: f64,
}

/// Returns the endpoint of a slot. Every third endpoint has two slots, each other one: 66 in all.
fn endpoint_of(slot: usize) -> usize {
    if slot < ENDPOINTS {
        slot
    } else {
        (slot - ENDPOINTS) * 3
    }
}

fn slot_count() -> usize {
    ENDPOINTS + ENDPOINTS.div_ceil(3)
}

impl SimulatedPool {
    fn new(rule: LoadBalancingPolicy, seed: u64) -> Self {
        let scores = (0..ENDPOINTS).map(|endpoint| match endpoint % 3 {
            0 => EndpointScore::new().with_round_trip_time(DISTANT_ROUND_TRIP),
            _ => EndpointScore::new(),
        });
        Self {
            rule,
            rng: SmallRng::seed_from_u64(seed),
            scores: scores.collect(),
            work_factors: vec![1.0; ENDPOINTS],
            free_slots: (0..slot_count()).collect(),
            queued_arrivals: VecDeque::new(),
            latency: LatencyEstimate::new(0.95),
            pick_count: 0,
        }
    }

    fn send(&mut self, now: Duration, arrival: Duration, events: &mut EventQueue<Event>) {
        let candidates: Vec<_> = self
            .free_slots
            .iter()
            .map(|slot| self.scores[endpoint_of(*slot)])
            .collect();
        let mean = self.latency.mean();
        let index = self.rule.pick(
            candidates.as_slice(),
            candidates.len(),
            self.pick_count,
            mean,
            &mut self.rng,
        );
        let Some(index) = index else {
            self.queued_arrivals.push_back(arrival);
            return;
        };
        self.pick_count += 1;
        // Round robin depends on the order of the free slots, which `remove` preserves.
        let slot = self.free_slots.remove(index);
        let endpoint = endpoint_of(slot);
        self.scores[endpoint].record_start();
        let succeeded = endpoint != FAILING_ENDPOINT || self.rng.random_bool(0.1);
        let work_time = match succeeded {
            true => exponential(&mut self.rng, MEAN_WORK_TIME).mul_f64(self.work_factors[endpoint]),
            false => Duration::from_micros(300),
        };
        let round_trip = if endpoint.is_multiple_of(3) {
            DISTANT_ROUND_TRIP
        } else {
            Duration::ZERO
        };
        let completion = Event::Completion {
            slot,
            arrival,
            sent_at: now,
            succeeded,
        };
        events.push(now + work_time + round_trip, completion);
    }

    fn complete(&mut self, slot: usize, latency: Duration, succeeded: bool) {
        let endpoint = endpoint_of(slot);
        self.scores[endpoint].record_completion();
        if succeeded {
            self.scores[endpoint].record_success(latency);
            self.latency.observe(latency);
        } else {
            self.scores[endpoint].record_error();
        }
        self.free_slots.push(slot);
    }

    fn change_work_factors(&mut self) {
        for (endpoint, factor) in self.work_factors.iter_mut().enumerate() {
            *factor = [1.0, 1.0, 1.0, 1.5, 3.0][self.rng.random_range(0..5)];
            if endpoint == SLOW_ENDPOINT {
                *factor = 8.0;
            }
        }
    }
}

fn simulate(rule: LoadBalancingPolicy, load: f64, seed: u64) -> SimulationResult {
    let mut pool = SimulatedPool::new(rule, seed);
    let mut events = EventQueue::new();
    // The mean work time factor of the endpoints, other than the slow one, is 1.5.
    let mean_interarrival = MEAN_WORK_TIME.mul_f64(1.5 / (slot_count() as f64 * load));
    let mut success_latencies = Vec::new();
    let (mut completed, mut errors) = (0_u32, 0_u32);
    events.push(Duration::ZERO, Event::WorkFactorChange);
    events.push(Duration::ZERO, Event::Arrival);
    while let Some((now, event)) = events.pop() {
        match event {
            Event::WorkFactorChange if now < ARRIVAL_PERIOD => {
                pool.change_work_factors();
                events.push(now + WORK_FACTOR_CHANGE_INTERVAL, Event::WorkFactorChange);
            }
            Event::Arrival if now < ARRIVAL_PERIOD => {
                let next = now + exponential(&mut pool.rng, mean_interarrival);
                events.push(next, Event::Arrival);
                pool.send(now, now, &mut events);
            }
            Event::WorkFactorChange | Event::Arrival => {}
            Event::Completion {
                slot,
                arrival,
                sent_at,
                succeeded,
            } => {
                pool.complete(slot, now - sent_at, succeeded);
                completed += 1;
                errors += u32::from(!succeeded);
                if succeeded {
                    success_latencies.push(now - arrival);
                }
                if let Some(arrival) = pool.queued_arrivals.pop_front() {
                    pool.send(now, arrival, &mut events);
                }
            }
        }
    }
    SimulationResult {
        p50_secs: quantile(&mut success_latencies, 0.5).as_secs_f64(),
        p99_secs: quantile(&mut success_latencies, 0.99).as_secs_f64(),
        error_rate: f64::from(errors) / f64::from(completed),
    }
}

fn main() {
    let rules = [
        ("random", LoadBalancingPolicy::Random),
        ("round robin", LoadBalancingPolicy::RoundRobin),
        ("least outstanding", LoadBalancingPolicy::LeastOutstanding),
        (
            "least cost of 2",
            LoadBalancingPolicy::LeastCost { samples: 2 },
        ),
        (
            "least cost of 4",
            LoadBalancingPolicy::LeastCost { samples: 4 },
        ),
        (
            "least cost of 8",
            LoadBalancingPolicy::LeastCost { samples: 8 },
        ),
        (
            "least cost of 16",
            LoadBalancingPolicy::LeastCost { samples: 16 },
        ),
    ];
    println!(
        "{} seeds; p50 and p99 as ratios to random; error rate",
        SEEDS.end
    );
    for load in [0.3, 0.6, 0.8] {
        println!("load {load}:");
        let baseline: Vec<_> = SEEDS
            .map(|seed| simulate(LoadBalancingPolicy::Random, load, seed))
            .collect();
        for (name, rule) in rules {
            let results: Vec<_> = SEEDS.map(|seed| simulate(rule, load, seed)).collect();
            let pairs = || results.iter().zip(&baseline);
            let mut p50_ratios: Vec<_> = pairs()
                .map(|(result, base)| result.p50_secs / base.p50_secs)
                .collect();
            let mut p99_ratios: Vec<_> = pairs()
                .map(|(result, base)| result.p99_secs / base.p99_secs)
                .collect();
            let mut error_rates: Vec<_> = results.iter().map(|result| result.error_rate).collect();
            println!(
                "  {name:<18} p50 {}  p99 {}  errors {}",
                format_median_and_range(&mut p50_ratios),
                format_median_and_range(&mut p99_ratios),
                format_median_and_range(&mut error_rates)
            );
        }
    }
}
