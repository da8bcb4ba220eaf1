//! Measures the time per placement decision, per step through the ready queue and per learned
//! measurement for 50, 500 and 2,600 workers. Tasks and queued jobs grow with the number of
//! workers, up to the target of 61,000 tasks and 17,000 jobs on 2,600 workers.
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
    ServiceMeasurement,
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

const WORKER_COUNTS: [usize; 3] = [50, 500, 2600];
const TARGET_TASK_COUNT: usize = 61_000;
const TARGET_JOB_COUNT: usize = 17_000;
const SERVICE_CLASS_COUNT: u16 = 20;
const BATCH_CLASS_COUNT: u16 = 80;
const DECISION_COUNT: u32 = 50_000;
const READING_COUNT: u32 = 20_000;
/// The rate at which the share of one core is reported that decisions take.
const STARTS_PER_SECOND: f64 = 770.0;
const NOW: Duration = Duration::from_secs(100_000);

fn main() {
    println!(
        "workers  tasks  jobs  us/decision  decisions/s  770 starts/s  us/queue step  us/reading"
    );
    for workers in WORKER_COUNTS {
        measure(workers);
    }
}

fn measure(workers: usize) {
    let mut random = SmallRng::seed_from_u64(workers as u64);
    let mut pool = WorkerPool::new();
    (0..workers).for_each(|number| add_worker(&mut pool, number));
    let mut model = InterferenceModel::new();
    for service in 0..SERVICE_CLASS_COUNT {
        model.set_target(ClassKey(service), Duration::from_millis(100));
    }
    let reading_micros = micros_per_reading(&mut model, &mut random);
    let tasks = TARGET_TASK_COUNT * workers / WORKER_COUNTS[2];
    let policy = PlacementPolicy::new();
    let mut runs = Vec::new();
    for _ in 0..tasks {
        let demand = random_demand(&mut random);
        if let Ok(key) = policy.choose(&pool, &model, &demand, NOW) {
            pool.reserve(key, demand.class, demand.size);
            runs.push((key, demand.class, demand.size));
        }
    }
    let decision_micros = micros_per_decision(&mut pool, &model, policy, &mut runs, &mut random);
    let step_micros =
        micros_per_queue_step(TARGET_JOB_COUNT * workers / WORKER_COUNTS[2], &mut random);
    println!(
        "{workers:>7} {:>6} {:>5} {decision_micros:>12.2} {:>12.0} {:>11.2}% {step_micros:>14.3} {reading_micros:>11.2}",
        runs.len(),
        TARGET_JOB_COUNT * workers / WORKER_COUNTS[2],
        1e6 / decision_micros,
        decision_micros * STARTS_PER_SECOND / 1e4,
    );
}

fn add_worker(pool: &mut WorkerPool, number: usize) {
    let domain = DomainName::from(format!("domain-{}", number / 10 % 10));
    let name = VmName::from(format!("worker-{number}"));
    let key = pool.add(&name, &domain, ResourceAmount::new(64_000, 256_000));
    pool.set_condition(key, WorkerCondition::Open);
}

/// Draws a task: a service with a probability of 15%, a batch task otherwise.
fn random_demand(random: &mut SmallRng) -> TaskDemand<'static> {
    let is_service = random.random_bool(0.15);
    let class = match is_service {
        true => random.random_range(0..SERVICE_CLASS_COUNT),
        false => random.random_range(SERVICE_CLASS_COUNT..SERVICE_CLASS_COUNT + BATCH_CLASS_COUNT),
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
        job_tasks_by_domain: &[],
        urgent: false,
    }
}

/// Teaches the model random combinations of classes, in which one pair in twenty is harmful.
/// Returns the time per reading in microseconds.
fn micros_per_reading(model: &mut InterferenceModel, random: &mut SmallRng) -> f64 {
    let readings: Vec<(f64, Vec<(ClassKey, f64)>)> = (0..READING_COUNT)
        .map(|_| {
            let service = ClassKey(random.random_range(0..SERVICE_CLASS_COUNT));
            let batch = (0..6).map(|_| {
                random.random_range(SERVICE_CLASS_COUNT..SERVICE_CLASS_COUNT + BATCH_CLASS_COUNT)
            });
            let mut task_counts: Vec<(ClassKey, f64)> = vec![(service, 1.0)];
            task_counts.extend(batch.map(|class| (ClassKey(class), 1.0)));
            (random.random_range(0.2..1.0), task_counts)
        })
        .collect();
    let started = Instant::now();
    for (load, task_counts) in &readings {
        let service = task_counts[0].0;
        let is_harmful = |class: &ClassKey| (class.0 * 7 + service.0).is_multiple_of(20);
        let harmful_tasks = task_counts[1..]
            .iter()
            .filter(|(class, _)| is_harmful(class))
            .count();
        model.observe(&ServiceMeasurement {
            measured_at: NOW,
            service,
            latency_p99: Duration::from_secs_f64(0.05 * (0.6 * load * harmful_tasks as f64).exp()),
            load: *load,
            task_counts,
        });
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(READING_COUNT)
}

/// Ends a random run and places the next task, `DECISION_COUNT` times. Returns the time for both in
/// microseconds.
fn micros_per_decision(
    pool: &mut WorkerPool,
    model: &InterferenceModel,
    policy: PlacementPolicy,
    runs: &mut Vec<(WorkerKey, ClassKey, ResourceAmount)>,
    random: &mut SmallRng,
) -> f64 {
    let demands: Vec<TaskDemand<'static>> =
        (0..DECISION_COUNT).map(|_| random_demand(random)).collect();
    let started = Instant::now();
    for demand in &demands {
        let ended = random.random_range(0..runs.len());
        let (key, class, size) = runs.swap_remove(ended);
        pool.release(key, class, size);
        if let Ok(key) = black_box(policy.choose(pool, model, demand, NOW)) {
            pool.reserve(key, demand.class, demand.size);
            runs.push((key, demand.class, demand.size));
        }
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(DECISION_COUNT)
}

/// Walks through a queue in the order of laxity. Returns the time per job in microseconds.
fn micros_per_queue_step(jobs: usize, random: &mut SmallRng) -> f64 {
    let mut queue = ReadyQueue::new();
    for job in 0..jobs as u64 {
        let start = LatestStart(random.random_range(0..1_000_000_000));
        for index in 0..4 {
            let job = JobId(job);
            queue.push(TaskId { job, index }, start);
        }
    }
    let started = Instant::now();
    let mut last = None;
    while let Some((start, job)) = queue.next_after(last) {
        black_box(queue.peek(job));
        last = Some((start, job));
    }
    started.elapsed().as_secs_f64() * 1e6 / jobs as f64
}
