//! In which order requests wait and when they are refused, against first in, first out.
//!
//! 64 slots, two classes on one service: two thirds are to be answered within 100 ms, one third
//! within 400 ms; the work takes 30 ms in the mean. Goodput is what was answered within its target.
//!
//! `cargo bench -p jasminebend-routing --bench queue_order`

mod support;

use std::time::Duration;

use jasminebend_routing::{
    Admission,
    AdmissionRule,
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
    quantile,
    spread, //
};

const SLOTS: usize = 64;
const WORK: Duration = Duration::from_millis(30);
const SPAN: Duration = Duration::from_secs(60);
const TARGETS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(400)];
const LOADS: [f64; 5] = [0.5, 0.8, 0.95, 1.2, 2.0];

#[derive(Clone, Copy)]
struct Policy {
    name: &'static str,
    order: QueueOrder,
    refuses: bool,
}

#[derive(Clone, Copy)]
struct Waiter {
    arrival: Duration,
    deadline: Duration,
}

enum Event {
    Arrival,
    End { waiter: Waiter, sent: Duration },
}

#[derive(Clone, Copy)]
struct Outcome {
    goodput: f64,
    tail: f64,
    refused: f64,
}

struct Service {
    policy: Policy,
    queue: RequestQueue<Waiter>,
    holding: LatencyEstimate,
    free: usize,
    refused: u32,
    events: EventQueue<Event>,
    source: SmallRng,
}

impl Service {
    fn new(policy: Policy, seed: u64) -> Self {
        Self {
            policy,
            queue: RequestQueue::new(policy.order, 1000),
            holding: LatencyEstimate::new(0.95),
            free: SLOTS,
            refused: 0,
            events: EventQueue::new(),
            source: SmallRng::seed_from_u64(seed),
        }
    }

    fn arrive(&mut self, now: Duration) {
        let target = TARGETS[usize::from(self.source.random_range(0..3) == 2)];
        let waiter = Waiter {
            arrival: now,
            deadline: now + target,
        };
        if self.free > 0 {
            self.free -= 1;
            return self.send(now, waiter);
        }
        let rule = AdmissionRule {
            slots: SLOTS,
            waiting: self.queue.len(),
            service_time: self.holding.mean(),
        };
        let admitted = !self.policy.refuses || rule.decide(target) == Admission::Wait;
        if !admitted || self.queue.push(waiter, now, waiter.deadline).is_err() {
            self.refused += 1;
        }
    }

    fn send(&mut self, now: Duration, waiter: Waiter) {
        let work = exponential(&mut self.source, WORK);
        self.events
            .push(now + work, Event::End { waiter, sent: now });
    }

    fn end(&mut self, now: Duration, sent: Duration) {
        self.holding.observe(now - sent);
        match self.next(now) {
            Some(waiter) => self.send(now, waiter),
            None => self.free += 1,
        }
    }

    fn next(&mut self, now: Duration) -> Option<Waiter> {
        while let Some(waiter) = self.queue.pop(now) {
            let hopeless = now + self.holding.mean() > waiter.deadline;
            if !(self.policy.refuses && hopeless) {
                return Some(waiter);
            }
            self.refused += 1;
        }
        None
    }
}

fn run(policy: Policy, load: f64, seed: u64) -> Outcome {
    let mut service = Service::new(policy, seed);
    let gap = WORK.div_f64(SLOTS as f64 * load);
    let (mut good, mut all) = (0_u32, 0_u32);
    let mut latencies = Vec::new();
    service.events.push(Duration::ZERO, Event::Arrival);
    while let Some((now, event)) = service.events.pop() {
        match event {
            Event::Arrival if now < SPAN => {
                all += 1;
                service.arrive(now);
                let next = now + exponential(&mut service.source, gap);
                service.events.push(next, Event::Arrival);
            }
            Event::Arrival => {}
            Event::End { waiter, sent } => {
                service.end(now, sent);
                good += u32::from(now <= waiter.deadline);
                latencies.push(now - waiter.arrival);
            }
        }
    }
    Outcome {
        goodput: f64::from(good) / SPAN.as_secs_f64(),
        tail: quantile(&mut latencies, 0.99).as_secs_f64() * 1e3,
        refused: f64::from(service.refused) / f64::from(all),
    }
}

fn main() {
    let policy = |name, order, refuses| Policy {
        name,
        order,
        refuses,
    };
    let policies = [
        policy("first in, no refusal", QueueOrder::Fifo, false),
        policy("first in, refusal", QueueOrder::Fifo, true),
        policy("adaptive last in, refusal", QueueOrder::AdaptiveLifo, true),
        policy(
            "earliest deadline, no refusal",
            QueueOrder::EarliestDeadline,
            false,
        ),
        policy(
            "earliest deadline, refusal",
            QueueOrder::EarliestDeadline,
            true,
        ),
    ];
    println!(
        "{} seeds; goodput as a ratio to first in, no refusal, at the same load",
        SEEDS.end
    );
    let mut steady: Vec<Vec<f64>> = vec![Vec::new(); policies.len()];
    for load in LOADS {
        println!("load {load}:");
        let base: Vec<_> = SEEDS.map(|seed| run(policies[0], load, seed)).collect();
        for (index, policy) in policies.into_iter().enumerate() {
            let own: Vec<_> = SEEDS.map(|seed| run(policy, load, seed)).collect();
            let pairs = own.iter().zip(&base);
            let mut ratios: Vec<_> = pairs
                .map(|(own, base)| own.goodput / base.goodput)
                .collect();
            let mut tails: Vec<_> = own.iter().map(|own| own.tail).collect();
            let mut refused: Vec<_> = own.iter().map(|own| own.refused).collect();
            println!(
                "  {:<30} goodput {}  p99 ms {}  refused {}",
                policy.name,
                spread(&mut ratios),
                spread(&mut tails),
                spread(&mut refused)
            );
            if load == 0.95 {
                steady[index] = own.iter().map(|own| own.goodput).collect();
            }
            if load == 2.0 {
                let pairs = own.iter().zip(&steady[index]);
                let mut kept: Vec<_> = pairs.map(|(own, steady)| own.goodput / steady).collect();
                println!("  {:<30} of its goodput at 0.95: {}", "", spread(&mut kept));
            }
        }
    }
}
