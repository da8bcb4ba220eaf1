//! What a daemon does when its slots are full: queue, or forward to a peer with a free slot.
//!
//! Six daemons hold 11 slots each; the balancer gives each request to any daemon. A forwarded
//! request takes 2 ms more (1 ms one way) and the hop's work on both daemons. `pooled` is the bound
//! that no policy beats: one daemon with all slots.
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
    quantile,
    spread, //
};

const SLOTS: usize = 66;
const WORK: Duration = Duration::from_millis(30);
const TARGET: Duration = Duration::from_millis(200);
const HOP: Duration = Duration::from_millis(2);
const SPAN: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Eq, PartialEq)]
enum Policy {
    Queue,
    /// Tells which peer has a free slot as of 100 ms ago.
    Forward,
    Pooled,
}

enum Event {
    Arrival,
    Gossip,
    End { daemon: usize, arrival: Duration },
}

struct Daemons {
    free: Vec<usize>,
    told: Vec<usize>,
    queues: Vec<VecDeque<Duration>>,
    source: SmallRng,
    events: EventQueue<Event>,
}

impl Daemons {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            free: vec![SLOTS / count; count],
            told: vec![SLOTS / count; count],
            queues: vec![VecDeque::new(); count],
            source: SmallRng::seed_from_u64(seed),
            events: EventQueue::new(),
        }
    }

    fn arrive(&mut self, now: Duration, policy: Policy) {
        let daemon = self.source.random_range(0..self.free.len());
        let target = match policy {
            Policy::Forward if self.free[daemon] == 0 => self.peer().unwrap_or(daemon),
            _ => daemon,
        };
        let way = if target == daemon {
            Duration::ZERO
        } else {
            HOP
        };
        if self.free[target] == 0 {
            self.queues[target].push_back(now);
            return;
        }
        self.send(target, now, now + way);
    }

    fn peer(&mut self) -> Option<usize> {
        let place = (0..self.told.len()).max_by_key(|peer| self.told[*peer])?;
        let free = self.told[place] > 0;
        self.told[place] = self.told[place].saturating_sub(1);
        free.then_some(place)
    }

    fn send(&mut self, daemon: usize, arrival: Duration, at: Duration) {
        self.free[daemon] -= 1;
        let work = exponential(&mut self.source, WORK);
        self.events.push(at + work, Event::End { daemon, arrival });
    }
}

fn run(policy: Policy, load: f64, seed: u64) -> (f64, f64) {
    let count = if policy == Policy::Pooled { 1 } else { 6 };
    let mut daemons = Daemons::new(count, seed);
    let gap = WORK.div_f64(SLOTS as f64 * load);
    let mut latencies = Vec::new();
    let mut good = 0_u32;
    daemons.events.push(Duration::ZERO, Event::Arrival);
    daemons.events.push(Duration::ZERO, Event::Gossip);
    while let Some((now, event)) = daemons.events.pop() {
        match event {
            Event::Arrival if now < SPAN => {
                daemons.arrive(now, policy);
                let next = now + exponential(&mut daemons.source, gap);
                daemons.events.push(next, Event::Arrival);
            }
            Event::Gossip if now < SPAN => {
                daemons.told = daemons.free.clone();
                daemons
                    .events
                    .push(now + Duration::from_millis(100), Event::Gossip);
            }
            Event::Arrival | Event::Gossip => {}
            Event::End { daemon, arrival } => {
                good += u32::from(now - arrival <= TARGET);
                latencies.push(now - arrival);
                daemons.free[daemon] += 1;
                if let Some(arrival) = daemons.queues[daemon].pop_front() {
                    daemons.send(daemon, arrival, now);
                }
            }
        }
    }
    let tail = quantile(&mut latencies, 0.99);
    (tail.as_secs_f64(), f64::from(good))
}

fn main() {
    println!("{} seeds; ratios to queueing", SEEDS.end);
    for load in [0.5, 0.7, 0.8, 0.9, 0.95, 1.05] {
        println!("load {load}:");
        let base: Vec<_> = SEEDS.map(|seed| run(Policy::Queue, load, seed)).collect();
        for (name, policy) in [("forward", Policy::Forward), ("pooled", Policy::Pooled)] {
            let own: Vec<_> = SEEDS.map(|seed| run(policy, load, seed)).collect();
            let pairs = || own.iter().zip(&base);
            let mut tails: Vec<_> = pairs().map(|(own, base)| own.0 / base.0).collect();
            let mut goods: Vec<_> = pairs().map(|(own, base)| own.1 / base.1).collect();
            println!(
                "  {name:<10} p99 {}  within target {}",
                spread(&mut tails),
                spread(&mut goods)
            );
        }
    }
}
