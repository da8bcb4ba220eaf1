//! Queue orders, with and without refusal of requests that would miss their target, compared with a
//! FIFO queue without refusal.
//!
//! Simulates a service with 64 slots and two classes: two thirds of the requests should be answered
//! within 100 ms, one third within 400 ms. The mean work time is 30 ms. Goodput is the rate of
//! requests that are answered within their target.
//!
//! `cargo bench -p jasminebend-routing --bench queue_order`

mod support;

use std::time::Duration;

use jasminebend_routing::{
    AdmissionControl,
    AdmissionDecision,
    LatencyEstimate,
    QueueOrder,
    RequestQueue, //
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

const SLOTS: usize = 64;
/// Mean work time of a request.
const MEAN_WORK_TIME: Duration = Duration::from_millis(30);
/// Simulated time during which requests arrive.
const ARRIVAL_PERIOD: Duration = Duration::from_secs(60);
/// Times from arrival within which the requests of each class should be answered.
const LATENCY_TARGETS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];
/// Arrival rates as fractions of the capacity of the slots.
const LOADS: [f64; 5] = [0.5, 0.8, 0.95, 1.2, 2.0];

#[derive(Clone, Copy)]
struct Policy {
    name: &'static str,
    order: QueueOrder,
    /// Whether requests that are expected to miss their target are refused, on arrival or when they
    /// leave the queue.
    refuses: bool,
}

#[derive(Clone, Copy)]
struct Request {
    arrival: Duration,
    deadline: Duration,
}

enum Event {
    Arrival,
    Completion { request: Request, sent_at: Duration },
}

#[derive(Clone, Copy)]
struct SimulationResult {
    /// Requests answered within their target, per second.
    goodput: f64,
    p99_millis: f64,
    /// Share of the requests that were refused.
    refusal_rate: f64,
}

struct SimulatedService {
    policy: Policy,
    queue: RequestQueue<Request>,
    service_time: LatencyEstimate,
    free_slots: usize,
    refused: u32,
    events: EventQueue<Event>,
    rng: SmallRng,
}

impl SimulatedService {
    fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            queue: RequestQueue::new(policy.order, 1000),
            service_time: LatencyEstimate::new(0.95),
            free_slots: SLOTS,
            refused: 0,
            events: EventQueue::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn arrive(&mut self, now: Duration) {
        let target = LATENCY_TARGETS[usize::from(self.rng.random_range(0..3) == 2)];
        let request = Request {
            arrival: now,
            deadline: now + target,
        };
        if self.free_slots > 0 {
            self.free_slots -= 1;
            return self.send(now, request);
        }
        let rule = AdmissionControl {
            slot_count: SLOTS,
            queue_length: self.queue.len(),
            service_time: self.service_time.mean(),
        };
        let admitted = !self.policy.refuses || rule.decide(target) == AdmissionDecision::Queue;
        if !admitted || self.queue.push(request, now, request.deadline).is_err() {
            self.refused += 1;
        }
    }

    fn send(&mut self, now: Duration, request: Request) {
        let work_time = exponential(&mut self.rng, MEAN_WORK_TIME);
        self.events.push(
            now + work_time,
            Event::Completion {
                request,
                sent_at: now,
            },
        );
    }

    fn complete(&mut self, now: Duration, sent_at: Duration) {
        self.service_time.observe(now - sent_at);
        match self.next_request(now) {
            Some(request) => self.send(now, request),
            None => self.free_slots += 1,
        }
    }

    /// Returns the next queued request; refuses those before it that are expected to miss their
    /// target, if the policy says so.
    fn next_request(&mut self, now: Duration) -> Option<Request> {
        while let Some(request) = self.queue.pop(now) {
            let would_miss_target = now + self.service_time.mean() > request.deadline;
            if !(self.policy.refuses && would_miss_target) {
                return Some(request);
            }
            self.refused += 1;
        }
        None
    }
}

fn simulate(policy: Policy, load: f64, seed: u64) -> SimulationResult {
    let mut service = SimulatedService::new(policy, seed);
    let mean_interarrival = MEAN_WORK_TIME.div_f64(SLOTS as f64 * load);
    let (mut within_target, mut arrived) = (0_u32, 0_u32);
    let mut latencies = Vec::new();
    service.events.push(Duration::ZERO, Event::Arrival);
    while let Some((now, event)) = service.events.pop() {
        match event {
            Event::Arrival if now < ARRIVAL_PERIOD => {
                arrived += 1;
                service.arrive(now);
                let next = now + exponential(&mut service.rng, mean_interarrival);
                service.events.push(next, Event::Arrival);
            }
            Event::Arrival => {}
            Event::Completion { request, sent_at } => {
                service.complete(now, sent_at);
                within_target += u32::from(now <= request.deadline);
                latencies.push(now - request.arrival);
            }
        }
    }
    SimulationResult {
        goodput: f64::from(within_target) / ARRIVAL_PERIOD.as_secs_f64(),
        p99_millis: quantile(&mut latencies, 0.99).as_secs_f64() * 1e3,
        refusal_rate: f64::from(service.refused) / f64::from(arrived),
    }
}

fn main() {
    let policy = |name, order, refuses| Policy {
        name,
        order,
        refuses,
    };
    let policies = [
        policy("FIFO, no refusal", QueueOrder::Fifo, false),
        policy("FIFO, refusal", QueueOrder::Fifo, true),
        policy("adaptive LIFO, refusal", QueueOrder::AdaptiveLifo, true),
        policy(
            "earliest deadline, no refusal",
            QueueOrder::EarliestDeadlineFirst,
            false,
        ),
        policy(
            "earliest deadline, refusal",
            QueueOrder::EarliestDeadlineFirst,
            true,
        ),
    ];
    println!(
        "{} seeds; goodput as a ratio to FIFO, no refusal, at the same load",
        SEEDS.end
    );
    let mut goodput_at_095: Vec<Vec<f64>> = vec![Vec::new(); policies.len()];
    for load in LOADS {
        println!("load {load}:");
        let baseline: Vec<_> = SEEDS
            .map(|seed| simulate(policies[0], load, seed))
            .collect();
        for (index, policy) in policies.into_iter().enumerate() {
            let results: Vec<_> = SEEDS.map(|seed| simulate(policy, load, seed)).collect();
            let pairs = results.iter().zip(&baseline);
            let mut goodput_ratios: Vec<_> = pairs
                .map(|(result, base)| result.goodput / base.goodput)
                .collect();
            let mut p99_millis: Vec<_> = results.iter().map(|result| result.p99_millis).collect();
            let mut refusal_rates: Vec<_> =
                results.iter().map(|result| result.refusal_rate).collect();
            println!(
                "  {:<30} goodput {}  p99 ms {}  refused {}",
                policy.name,
                format_median_and_range(&mut goodput_ratios),
                format_median_and_range(&mut p99_millis),
                format_median_and_range(&mut refusal_rates)
            );
            if load == 0.95 {
                goodput_at_095[index] = results.iter().map(|result| result.goodput).collect();
            }
            if load == 2.0 {
                let pairs = results.iter().zip(&goodput_at_095[index]);
                let mut overload_ratios: Vec<_> = pairs
                    .map(|(result, at_095)| result.goodput / at_095)
                    .collect();
                println!(
                    "  {:<30} goodput as a ratio to its own at load 0.95: {}",
                    "",
                    format_median_and_range(&mut overload_ratios)
                );
            }
        }
    }
}
