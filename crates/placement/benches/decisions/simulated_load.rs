//! The load of a simulated hour: services with a varying load, batch tasks in waves, and declared
//! sizes that are wrong.

use jasminebend_base::{
    ClassKind,
    ResourceAmount, //
};
use jasminebend_placement::ClassKey;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::simulated_task::SimulatedTask;

pub(crate) const HOUR_SECONDS: f64 = 3600.0;
pub(crate) const SERVICE_CLASS_COUNT: u16 = 3;
pub(crate) const BATCH_CLASS_COUNT: u16 = 6;
/// The time between two waves of batch tasks.
const WAVE_INTERVAL_SECONDS: f64 = 600.0;
/// The share of pairs of a service class and a batch class that are harmful.
const HARMFUL_PAIR_SHARE: f64 = 0.3;

/// The size and the character of a deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentShape {
    pub(crate) name: &'static str,
    pub(crate) workers: usize,
    pub(crate) cores: u64,
    pub(crate) memory_gb: u64,
    /// The number of workers in a rack.
    pub(crate) workers_per_rack: usize,
    /// The ratio of latency to target of a service that runs alone under full load.
    pub(crate) full_load_latency_ratio: f64,
    /// The time from arrival to deadline of a batch task, as a multiple of its run time.
    pub(crate) deadline_factor: f64,
}

impl DeploymentShape {
    pub(crate) const SWAN_COAST: Self = Self {
        name: "Swan Coast (loose answers, tight batch)",
        workers: 50,
        cores: 32,
        memory_gb: 125,
        workers_per_rack: 8,
        full_load_latency_ratio: 0.45,
        deadline_factor: 4.0,
    };
    pub(crate) const HAI_PHONG: Self = Self {
        name: "Hai Phong (tight answers, loose batch)",
        workers: 65,
        cores: 64,
        memory_gb: 250,
        workers_per_rack: 11,
        full_load_latency_ratio: 0.65,
        deadline_factor: 12.0,
    };

    pub(crate) fn capacity(&self) -> ResourceAmount {
        ResourceAmount::new(self.cores * 1000, self.memory_gb * 1024)
    }
}

/// The load of a simulated hour.
pub(crate) struct SimulatedLoad {
    pub(crate) tasks: Vec<SimulatedTask>,
    /// What one task of each batch class adds to the logarithm of each service's latency at full
    /// load.
    pub(crate) effects: Vec<[f64; BATCH_CLASS_COUNT as usize]>,
    pub(crate) full_load_latency_ratio: f64,
    /// The phase of each service class's load, from 0 to 1.
    phases: [f64; SERVICE_CLASS_COUNT as usize],
    /// The period of the square wave that is the load of the first service class, in seconds.
    square_wave_period: f64,
}

impl SimulatedLoad {
    pub(crate) fn new(shape: DeploymentShape, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut effects: Vec<[f64; BATCH_CLASS_COUNT as usize]> = (0..SERVICE_CLASS_COUNT)
            .map(|_| std::array::from_fn(|_| effect(&mut random)))
            .collect();
        // The first batch class is harmless, for the rule set that starts with a wrong estimate of
        // it.
        effects.iter_mut().for_each(|row| row[0] = 0.02);
        let mut tasks = service_tasks(shape, &mut random);
        // The ratio of declared to actual size of each class, between a tenth and ten.
        let declared_ratios: Vec<f64> = (0..BATCH_CLASS_COUNT)
            .map(|_| 10_f64.powf(random.random_range(-1.0..1.0)))
            .collect();
        let mut wave_start = 0.0;
        while wave_start < HOUR_SECONDS - 300.0 {
            add_batch_wave(shape, wave_start, &declared_ratios, &mut random, &mut tasks);
            wave_start += WAVE_INTERVAL_SECONDS;
        }
        Self {
            tasks,
            effects,
            full_load_latency_ratio: shape.full_load_latency_ratio,
            phases: std::array::from_fn(|_| random.random_range(0.0..1.0)),
            square_wave_period: random.random_range(120.0..480.0),
        }
    }

    /// Returns the load of a service's class, between 0.2 and 1. That of the first class is a
    /// square wave.
    pub(crate) fn level(&self, service: ClassKey, time: f64) -> f64 {
        let phase = self.phases[usize::from(service.0)];
        if service.0 == 0 {
            let high = ((time / self.square_wave_period + phase) % 1.0) < 0.5;
            return if high { 1.0 } else { 0.3 };
        }
        let angle = (time / 1500.0 + phase) * std::f64::consts::TAU;
        0.6 + 0.4 * angle.sin()
    }

    pub(crate) fn effect(&self, service: ClassKey, batch: ClassKey) -> f64 {
        self.effects[usize::from(service.0)][usize::from(batch.0 - SERVICE_CLASS_COUNT)]
    }
}

fn effect(random: &mut SmallRng) -> f64 {
    match random.random_bool(HARMFUL_PAIR_SHARE) {
        true => random.random_range(0.4..1.2),
        false => random.random_range(0.0..0.05),
    }
}

fn service_tasks(shape: DeploymentShape, random: &mut SmallRng) -> Vec<SimulatedTask> {
    let cores = shape.cores * 1000;
    let tasks_per_class = shape.workers * 2 / 3;
    let mut tasks = Vec::new();
    for class in 0..SERVICE_CLASS_COUNT {
        for _ in 0..tasks_per_class {
            let cpu = cores * random.random_range(10..16) / 100;
            let size = ResourceAmount::new(cpu, shape.memory_gb * 1024 / 12);
            tasks.push(SimulatedTask {
                class: ClassKey(class),
                kind: ClassKind::Service,
                declared: size,
                actual: size,
                remaining_seconds: f64::INFINITY,
                total_seconds: f64::INFINITY,
                arrival: 0.0,
                deadline: 0.0,
                worker: None,
                reserved: size,
                speed: 1.0,
                done: false,
            });
        }
    }
    tasks
}

fn add_batch_wave(
    shape: DeploymentShape,
    wave_start: f64,
    declared_ratios: &[f64],
    random: &mut SmallRng,
    tasks: &mut Vec<SimulatedTask>,
) {
    // Core seconds: enough for two thirds of the cores that services leave free.
    let mut remaining_core_seconds =
        shape.workers as f64 * shape.cores as f64 * 0.5 * WAVE_INTERVAL_SECONDS * 0.75;
    while remaining_core_seconds > 0.0 {
        let class = random.random_range(0..BATCH_CLASS_COUNT);
        let cores = random.random_range(0.5..shape.cores as f64 / 8.0);
        let run_seconds = random.random_range(60.0..420.0);
        let memory = cores * random.random_range(1.0..3.0);
        let actual = ResourceAmount::new((cores * 1000.0) as u64, (memory * 1024.0) as u64);
        let declared_ratio = declared_ratios[usize::from(class)] * random.random_range(0.8..1.25);
        let declared = ResourceAmount::new(
            ((actual.cpu_millis as f64 * declared_ratio) as u64).clamp(100, shape.cores * 1000),
            ((actual.memory_mib as f64 * declared_ratio) as u64).clamp(64, shape.memory_gb * 1024),
        );
        let arrival = wave_start + random.random_range(0.0..60.0);
        remaining_core_seconds -= cores * run_seconds;
        tasks.push(SimulatedTask {
            class: ClassKey(SERVICE_CLASS_COUNT + class),
            kind: ClassKind::Batch,
            declared,
            actual,
            remaining_seconds: run_seconds,
            total_seconds: run_seconds,
            arrival,
            deadline: arrival + run_seconds * shape.deadline_factor,
            worker: None,
            reserved: declared,
            speed: 1.0,
            done: false,
        });
    }
}
