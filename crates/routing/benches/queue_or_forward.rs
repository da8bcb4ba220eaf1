//! Policies for a daemon whose slots are all busy: queue the request, or forward it to a peer that
//! has a free slot.
//!
//! Simulates six daemons with 11 slots each; the load balancer in front of them sends each request
//! to a random daemon. A forwarded request takes 2 ms more (1 ms one way) and the hop's work on both
//! daemons. `pooled`, a single daemon with all slots, is a bound that no policy can beat.
//!
//! `cargo bench -p jasminebend-routing --bench queue_or_forward`

mod support;

use std::{
    collections::VecDeque,
    time::Duration, //
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

const SLOTS: usize = 66;
/// Mean work time of a request.
const MEAN_WORK_TIME: Duration = Duration::from_millis(30);
/// Time from its arrival within which a request should be answered.
const LATENCY_TARGET: Duration = Duration::from_millis(200);
/// Round-trip time that forwarding adds.
const FORWARDING_ROUND_TRIP: Duration = Duration::from_millis(2);
/// Simulated time during which requests arrive.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Eq, PartialEq)]
enum Policy {
    /// Queues requests at the daemon that received them.
    Queue,
    /// Forwards requests to the peer with the most free slots, by counts that are refreshed every
    /// 100 ms.
    Forward,
    /// Has one daemon with all slots.
    Pooled,
}

enum Event {
    Arrival,
    /// All daemons exchange their numbers of free slots.
    FreeSlotExchange,
    Completion {
        daemon: usize,
        arrival: Duration,
    },
}

struct SimulatedDaemons {
    /// Number of free slots of each daemon.
    free_slots: Vec<usize>,
    /// Number of free slots of each daemon as known to its peers: the last exchanged number, less
    /// the requests forwarded since.
    advertised_free_slots: Vec<usize>,
    /// Arrival times of the requests in each daemon's queue.
    queues: Vec<VecDeque<Duration>>,
    rng: SmallRng,
    events: EventQueue<Event>,
}

impl SimulatedDaemons {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            free_slots: vec![SLOTS / count; count],
            advertised_free_slots: vec![SLOTS / count; count],
            queues: vec![VecDeque::new(); count],
            rng: SmallRng::seed_from_u64(seed),
            events: EventQueue::new(),
        }
    }

    fn arrive(&mut self, now: Duration, policy: Policy) {
        let daemon = self.rng.random_range(0..self.free_slots.len());
        let target = match policy {
            Policy::Forward if self.free_slots[daemon] == 0 => {
                self.reserve_peer_slot().unwrap_or(daemon)
            }
            _ => daemon,
        };
        let round_trip = if target == daemon {
            Duration::ZERO
        } else {
            FORWARDING_ROUND_TRIP
        };
        if self.free_slots[target] == 0 {
            self.queues[target].push_back(now);
            return;
        }
        self.send(target, now, now + round_trip);
    }

    /// Returns the daemon that advertises the most free slots and counts one of them as used, or
    /// `None` if no daemon advertises any.
    fn reserve_peer_slot(&mut self) -> Option<usize> {
        let peer = (0..self.advertised_free_slots.len())
            .max_by_key(|peer| self.advertised_free_slots[*peer])?;
        let has_free_slot = self.advertised_free_slots[peer] > 0;
        self.advertised_free_slots[peer] = self.advertised_free_slots[peer].saturating_sub(1);
        has_free_slot.then_some(peer)
    }

    fn send(&mut self, daemon: usize, arrival: Duration, start: Duration) {
        self.free_slots[daemon] -= 1;
        let work_time = exponential(&mut self.rng, MEAN_WORK_TIME);
        self.events
            .push(start + work_time, Event::Completion { daemon, arrival });
    }
}

/// Returns the 99th percentile of the latency, in seconds, and the number of requests that were
/// answered within their target.
fn simulate(policy: Policy, load: f64, seed: u64) -> (f64, f64) {
    let count = if policy == Policy::Pooled { 1 } else { 6 };
    let mut daemons = SimulatedDaemons::new(count, seed);
    let mean_interarrival = MEAN_WORK_TIME.div_f64(SLOTS as f64 * load);
    let mut latencies = Vec::new();
    let mut within_target = 0_u32;
    daemons.events.push(Duration::ZERO, Event::Arrival);
    daemons.events.push(Duration::ZERO, Event::FreeSlotExchange);
    while let Some((now, event)) = daemons.events.pop() {
        match event {
            Event::Arrival if now < ARRIVAL_PERIOD => {
                daemons.arrive(now, policy);
                let next = now + exponential(&mut daemons.rng, mean_interarrival);
                daemons.events.push(next, Event::Arrival);
            }
            Event::FreeSlotExchange if now < ARRIVAL_PERIOD => {
                daemons.advertised_free_slots = daemons.free_slots.clone();
                daemons
                    .events
                    .push(now + Duration::from_millis(100), Event::FreeSlotExchange);
            }
            Event::Arrival | Event::FreeSlotExchange => {}
            Event::Completion { daemon, arrival } => {
                within_target += u32::from(now - arrival <= LATENCY_TARGET);
                latencies.push(now - arrival);
                daemons.free_slots[daemon] += 1;
                if let Some(arrival) = daemons.queues[daemon].pop_front() {
                    daemons.send(daemon, arrival, now);
                }
            }
        }
    }
    let p99 = quantile(&mut latencies, 0.99);
    (p99.as_secs_f64(), f64::from(within_target))
}

fn main() {
    println!("{} seeds; ratios to queueing", SEEDS.end);
    for load in [0.5, 0.7, 0.8, 0.9, 0.95, 1.05] {
        println!("load {load}:");
        let baseline: Vec<_> = SEEDS
            .map(|seed| simulate(Policy::Queue, load, seed))
            .collect();
        for (name, policy) in [("forward", Policy::Forward), ("pooled", Policy::Pooled)] {
            let results: Vec<_> = SEEDS.map(|seed| simulate(policy, load, seed)).collect();
            let pairs = || results.iter().zip(&baseline);
            let mut p99_ratios: Vec<_> = pairs().map(|(result, base)| result.0 / base.0).collect();
            let mut within_target_ratios: Vec<_> =
                pairs().map(|(result, base)| result.1 / base.1).collect();
            println!(
                "  {name:<10} p99 {}  within target {}",
                format_median_and_range(&mut p99_ratios),
                format_median_and_range(&mut within_target_ratios)
            );
        }
    }
}
