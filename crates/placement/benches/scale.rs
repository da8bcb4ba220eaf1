//! Time per decision at growing size, with as many tasks and queued jobs to a worker as the target
//! has: 61,000 tasks and 17,000 jobs on 2,600 workers.
//!
//! `cargo bench -p jasminebend-placement --bench scale`

use std::{
    hint::black_box,
    time::{
        Duration,
        Instant, //
    },
};

use jasminebend_base::{
    ClassKind,
    DomainName,
    ResourceAmount,
    VmName, //
};
use jasminebend_placement::{
    ClassKey,
    InterferenceModel,
    JobId,
    LatestStart,
    PlacementPolicy,
    ReadyQueue,
    ServiceReading,
    TaskDemand,
    TaskId,
    WorkerCondition,
    WorkerKey,
    WorkerPool, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

const SIZES: [usize; 3] = [50, 500, 2600];
const TASKS: usize = 61_000;
const JOBS: usize = 17_000;
const SERVICES: u16 = 20;
const BATCHES: u16 = 80;
const DECISIONS: u32 = 50_000;
const READINGS: u32 = 20_000;
const STARTS_A_SECOND: f64 = 770.0;
const NOW: Duration = Duration::from_secs(100_000);

fn main() {
    println!(
        "workers  tasks  jobs  us/decision  decisions/s  770 starts/s  us/queue step  us/reading"
    );
    for workers in SIZES {
        measure(workers);
    }
}

fn measure(workers: usize) {
    let mut random = SmallRng::seed_from_u64(workers as u64);
    let mut pool = WorkerPool::new();
    (0..workers).for_each(|place| add(&mut pool, place));
    let mut pairs = InterferenceModel::new();
    for service in 0..SERVICES {
        pairs.set_target(ClassKey(service), Duration::from_millis(100));
    }
    let reading = learn(&mut pairs, &mut random);
    let tasks = TASKS * workers / SIZES[2];
    let policy = PlacementPolicy::new();
    let mut runs = Vec::new();
    for _ in 0..tasks {
        let demand = draw(&mut random);
        if let Ok(key) = policy.choose(&pool, &pairs, &demand, NOW) {
            pool.reserve(key, demand.class, demand.size);
            runs.push((key, demand.class, demand.size));
        }
    }
    let decision = decide(&mut pool, &pairs, policy, &mut runs, &mut random);
    let step = walk(JOBS * workers / SIZES[2], &mut random);
    println!(
        "{workers:>7} {:>6} {:>5} {decision:>12.2} {:>12.0} {:>11.2}% {step:>14.3} {reading:>11.2}",
        runs.len(),
        JOBS * workers / SIZES[2],
        1e6 / decision,
        decision * STARTS_A_SECOND / 1e4,
    );
}

fn add(pool: &mut WorkerPool, place: usize) {
    let domain = DomainName::from(format!("domain-{}", place / 10 % 10));
    let name = VmName::from(format!("worker-{place}"));
    let key = pool.add(&name, &domain, ResourceAmount::new(64_000, 256_000));
    pool.set_condition(key, WorkerCondition::Open);
}

fn draw(random: &mut SmallRng) -> TaskDemand<'static> {
    let is_service = random.random_bool(0.15);
    let class = match is_service {
        true => random.random_range(0..SERVICES),
        false => random.random_range(SERVICES..SERVICES + BATCHES),
    };
    TaskDemand {
        class: ClassKey(class),
        kind: match is_service {
            true => ClassKind::Service,
            false => ClassKind::Batch,
        },
        size: ResourceAmount::new(
            random.random_range(500..4_000),
            random.random_range(1_000..16_000),
        ),
        failed_on: &[],
        spread: &[],
        urgent: false,
    }
}

/// Teaches the model all pairs, of which one in twenty hurts; returns the time per reading.
fn learn(pairs: &mut InterferenceModel, random: &mut SmallRng) -> f64 {
    let readings: Vec<(f64, Vec<(ClassKey, f64)>)> = (0..READINGS)
        .map(|_| {
            let service = ClassKey(random.random_range(0..SERVICES));
            let batch = (0..6).map(|_| random.random_range(SERVICES..SERVICES + BATCHES));
            let mut company: Vec<(ClassKey, f64)> = vec![(service, 1.0)];
            company.extend(batch.map(|class| (ClassKey(class), 1.0)));
            (random.random_range(0.2..1.0), company)
        })
        .collect();
    let began = Instant::now();
    for (load, company) in &readings {
        let service = company[0].0;
        let interferes = |class: &ClassKey| (class.0 * 7 + service.0).is_multiple_of(20);
        let bad = company[1..]
            .iter()
            .filter(|(class, _)| interferes(class))
            .count();
        pairs.observe(&ServiceReading {
            measured: NOW,
            service,
            latency_p99: Duration::from_secs_f64(0.05 * (0.6 * load * bad as f64).exp()),
            load: *load,
            company,
        });
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(READINGS)
}

/// Ends a run and places the next, over and over; returns the time of both.
fn decide(
    pool: &mut WorkerPool,
    pairs: &InterferenceModel,
    policy: PlacementPolicy,
    runs: &mut Vec<(WorkerKey, ClassKey, ResourceAmount)>,
    random: &mut SmallRng,
) -> f64 {
    let demands: Vec<TaskDemand<'static>> = (0..DECISIONS).map(|_| draw(random)).collect();
    let began = Instant::now();
    for demand in &demands {
        let ended = random.random_range(0..runs.len());
        let (key, class, size) = runs.swap_remove(ended);
        pool.release(key, class, size);
        if let Ok(key) = black_box(policy.choose(pool, pairs, demand, NOW)) {
            pool.reserve(key, demand.class, demand.size);
            runs.push((key, demand.class, demand.size));
        }
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

/// Walks a queue in the order of laxity; returns the time per job.
fn walk(jobs: usize, random: &mut SmallRng) -> f64 {
    let mut queue = ReadyQueue::new();
    for job in 0..jobs as u64 {
        let start = LatestStart(random.random_range(0..1_000_000_000));
        for index in 0..4 {
            let job = JobId(job);
            queue.push(TaskId { job, index }, start);
        }
    }
    let began = Instant::now();
    let mut at = None;
    while let Some((start, job)) = queue.next_after(at) {
        black_box(queue.peek(job));
        at = Some((start, job));
    }
    began.elapsed().as_secs_f64() * 1e6 / jobs as f64
}
