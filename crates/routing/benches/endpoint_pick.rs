//! Which endpoint: the cost rule against random, round robin and least outstanding.
//!
//! One daemon's part of 50 endpoints: a slot or two of each. The speed of each endpoint shifts, as
//! batch work comes and goes on its VM; one endpoint answers errors at once, one is slow, and a
//! third of them lie 1 ms further (one way). Ratios to random, per seed; median and range.
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
    PickRule, //
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

const ENDPOINTS: usize = 50;
const ERRING: usize = 7;
const SLOW: usize = 11;
const MEAN: Duration = Duration::from_millis(20);
const SPAN: Duration = Duration::from_secs(120);
const SHIFT_EVERY: Duration = Duration::from_secs(5);
const FAR: Duration = Duration::from_millis(2);

enum Event {
    Arrival,
    End {
        slot: usize,
        arrival: Duration,
        sent: Duration,
        good: bool,
    },
    Shift,
}

struct Pool {
    rule: PickRule,
    source: SmallRng,
    scores: Vec<EndpointScore>,
    speeds: Vec<f64>,
    free: Vec<usize>,
    waiting: VecDeque<Duration>,
    latency: LatencyEstimate,
    picks: u64,
}

struct Outcome {
    median: f64,
    tail: f64,
    errors: f64,
}

/// Two slots of every third endpoint, one of each other: 66 in all.
fn endpoint_of(slot: usize) -> usize {
    if slot < ENDPOINTS {
        slot
    } else {
        (slot - ENDPOINTS) * 3
    }
}

fn slots() -> usize {
    ENDPOINTS + ENDPOINTS.div_ceil(3)
}

impl Pool {
    fn new(rule: PickRule, seed: u64) -> Self {
        let scores = (0..ENDPOINTS).map(|endpoint| match endpoint % 3 {
            0 => EndpointScore::new().with_distance(FAR),
            _ => EndpointScore::new(),
        });
        Self {
            rule,
            source: SmallRng::seed_from_u64(seed),
            scores: scores.collect(),
            speeds: vec![1.0; ENDPOINTS],
            free: (0..slots()).collect(),
            waiting: VecDeque::new(),
            latency: LatencyEstimate::new(0.95),
            picks: 0,
        }
    }

    fn send(&mut self, now: Duration, arrival: Duration, events: &mut EventQueue<Event>) {
        let free: Vec<_> = self
            .free
            .iter()
            .map(|slot| self.scores[endpoint_of(*slot)])
            .collect();
        let mean = self.latency.mean();
        let place = self.rule.pick(
            free.as_slice(),
            free.len(),
            self.picks,
            mean,
            &mut self.source,
        );
        let Some(place) = place else {
            self.waiting.push_back(arrival);
            return;
        };
        self.picks += 1;
        // Taken out in order, so that "in turn" is in turn.
        let slot = self.free.remove(place);
        let endpoint = endpoint_of(slot);
        self.scores[endpoint].started();
        let good = endpoint != ERRING || self.source.random_bool(0.1);
        let work = match good {
            true => exponential(&mut self.source, MEAN).mul_f64(self.speeds[endpoint]),
            false => Duration::from_micros(300),
        };
        let way = if endpoint.is_multiple_of(3) {
            FAR
        } else {
            Duration::ZERO
        };
        let end = Event::End {
            slot,
            arrival,
            sent: now,
            good,
        };
        events.push(now + work + way, end);
    }

    fn end(&mut self, slot: usize, latency: Duration, good: bool) {
        let endpoint = endpoint_of(slot);
        self.scores[endpoint].ended();
        if good {
            self.scores[endpoint].succeeded(latency);
            self.latency.observe(latency);
        } else {
            self.scores[endpoint].failed();
        }
        self.free.push(slot);
    }

    fn shift(&mut self) {
        for (endpoint, speed) in self.speeds.iter_mut().enumerate() {
            *speed = [1.0, 1.0, 1.0, 1.5, 3.0][self.source.random_range(0..5)];
            if endpoint == SLOW {
                *speed = 8.0;
            }
        }
    }
}

fn run(rule: PickRule, load: f64, seed: u64) -> Outcome {
    let mut pool = Pool::new(rule, seed);
    let mut events = EventQueue::new();
    // The mean speed is 1.5.
    let gap = MEAN.mul_f64(1.5 / (slots() as f64 * load));
    let mut good_ones = Vec::new();
    let (mut all, mut errors) = (0_u32, 0_u32);
    events.push(Duration::ZERO, Event::Shift);
    events.push(Duration::ZERO, Event::Arrival);
    while let Some((now, event)) = events.pop() {
        match event {
            Event::Shift if now < SPAN => {
                pool.shift();
                events.push(now + SHIFT_EVERY, Event::Shift);
            }
            Event::Arrival if now < SPAN => {
                let next = now + exponential(&mut pool.source, gap);
                events.push(next, Event::Arrival);
                pool.send(now, now, &mut events);
            }
            Event::Shift | Event::Arrival => {}
            Event::End {
                slot,
                arrival,
                sent,
                good,
            } => {
                pool.end(slot, now - sent, good);
                all += 1;
                errors += u32::from(!good);
                if good {
                    good_ones.push(now - arrival);
                }
                if let Some(arrival) = pool.waiting.pop_front() {
                    pool.send(now, arrival, &mut events);
                }
            }
        }
    }
    Outcome {
        median: quantile(&mut good_ones, 0.5).as_secs_f64(),
        tail: quantile(&mut good_ones, 0.99).as_secs_f64(),
        errors: f64::from(errors) / f64::from(all),
    }
}

fn main() {
    let rules = [
        ("random", PickRule::Random),
        ("round robin", PickRule::RoundRobin),
        ("least outstanding", PickRule::LeastOutstanding),
        ("least cost of 2", PickRule::LeastCost { samples: 2 }),
        ("least cost of 4", PickRule::LeastCost { samples: 4 }),
        ("least cost of 8", PickRule::LeastCost { samples: 8 }),
        ("least cost of 16", PickRule::LeastCost { samples: 16 }),
    ];
    println!(
        "{} seeds; p50 and p99 as ratios to random; errors as a share",
        SEEDS.end
    );
    for load in [0.3, 0.6, 0.8] {
        println!("load {load}:");
        let base: Vec<_> = SEEDS
            .map(|seed| run(PickRule::Random, load, seed))
            .collect();
        for (name, rule) in rules {
            let own: Vec<_> = SEEDS.map(|seed| run(rule, load, seed)).collect();
            let pairs = || own.iter().zip(&base);
            let mut medians: Vec<_> = pairs()
                .map(|(own, base)| own.median / base.median)
                .collect();
            let mut tails: Vec<_> = pairs().map(|(own, base)| own.tail / base.tail).collect();
            let mut errors: Vec<_> = own.iter().map(|own| own.errors).collect();
            println!(
                "  {name:<18} p50 {}  p99 {}  errors {}",
                spread(&mut medians),
                spread(&mut tails),
                spread(&mut errors)
            );
        }
    }
}
