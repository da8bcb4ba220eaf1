//! The load of an hour: services whose load shifts, batch work in waves, declared sizes off.

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

pub(crate) const HOUR: f64 = 3600.0;
pub(crate) const SERVICES: u16 = 3;
pub(crate) const BATCHES: u16 = 6;
const WAVE_EVERY: f64 = 600.0;
/// The share of pairs that hurt each other.
const BAD_PAIRS: f64 = 0.3;

/// One of today's deployments.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeploymentShape {
    pub(crate) name: &'static str,
    pub(crate) workers: usize,
    pub(crate) cores: u64,
    pub(crate) memory_gb: u64,
    pub(crate) rack: usize,
    /// How much a service's latency uses up of its target, alone and fully loaded.
    pub(crate) tightness: f64,
    /// How long batch work may take, as a multiple of its run time.
    pub(crate) patience: f64,
}

impl DeploymentShape {
    pub(crate) const SWAN_COAST: Self = Self {
        name: "Swan Coast (loose answers, tight batch)",
        workers: 50,
        cores: 32,
        memory_gb: 125,
        rack: 8,
        tightness: 0.45,
        patience: 4.0,
    };
    pub(crate) const HAI_PHONG: Self = Self {
        name: "Hai Phong (tight answers, loose batch)",
        workers: 65,
        cores: 64,
        memory_gb: 250,
        rack: 11,
        tightness: 0.65,
        patience: 12.0,
    };

    pub(crate) fn capacity(&self) -> ResourceAmount {
        ResourceAmount::new(self.cores * 1000, self.memory_gb * 1024)
    }
}

/// The load of an hour.
pub(crate) struct SimulatedLoad {
    pub(crate) tasks: Vec<SimulatedTask>,
    pub(crate) effects: Vec<[f64; BATCHES as usize]>,
    pub(crate) tightness: f64,
    phases: [f64; SERVICES as usize],
    square: f64,
}

impl SimulatedLoad {
    pub(crate) fn new(shape: DeploymentShape, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut effects: Vec<[f64; BATCHES as usize]> = (0..SERVICES)
            .map(|_| std::array::from_fn(|_| effect(&mut random)))
            .collect();
        // The first class hurts no service, for the run that believes that it does.
        effects.iter_mut().for_each(|row| row[0] = 0.02);
        let mut tasks = services(shape, &mut random);
        // How far each class's declared sizes are off, between a tenth and ten times.
        let off: Vec<f64> = (0..BATCHES)
            .map(|_| 10_f64.powf(random.random_range(-1.0..1.0)))
            .collect();
        let mut wave = 0.0;
        while wave < HOUR - 300.0 {
            batch_wave(shape, wave, &off, &mut random, &mut tasks);
            wave += WAVE_EVERY;
        }
        Self {
            tasks,
            effects,
            tightness: shape.tightness,
            phases: std::array::from_fn(|_| random.random_range(0.0..1.0)),
            square: random.random_range(120.0..480.0),
        }
    }

    /// The load of a service's class, between 0.2 and 1; that of the first jumps.
    pub(crate) fn level(&self, service: ClassKey, time: f64) -> f64 {
        let phase = self.phases[usize::from(service.0)];
        if service.0 == 0 {
            let high = ((time / self.square + phase) % 1.0) < 0.5;
            return if high { 1.0 } else { 0.3 };
        }
        let turn = (time / 1500.0 + phase) * std::f64::consts::TAU;
        0.6 + 0.4 * turn.sin()
    }

    pub(crate) fn effect(&self, service: ClassKey, batch: ClassKey) -> f64 {
        self.effects[usize::from(service.0)][usize::from(batch.0 - SERVICES)]
    }
}

fn effect(random: &mut SmallRng) -> f64 {
    match random.random_bool(BAD_PAIRS) {
        true => random.random_range(0.4..1.2),
        false => random.random_range(0.0..0.05),
    }
}

fn services(shape: DeploymentShape, random: &mut SmallRng) -> Vec<SimulatedTask> {
    let cores = shape.cores * 1000;
    let each = shape.workers * 2 / 3;
    let mut tasks = Vec::new();
    for class in 0..SERVICES {
        for _ in 0..each {
            let cpu = cores * random.random_range(10..16) / 100;
            let size = ResourceAmount::new(cpu, shape.memory_gb * 1024 / 12);
            tasks.push(SimulatedTask {
                class: ClassKey(class),
                kind: ClassKind::Service,
                declared: size,
                actual: size,
                left: f64::INFINITY,
                whole: f64::INFINITY,
                arrives: 0.0,
                due: 0.0,
                worker: None,
                counted: size,
                speed: 1.0,
                done: false,
            });
        }
    }
    tasks
}

fn batch_wave(
    shape: DeploymentShape,
    wave: f64,
    off: &[f64],
    random: &mut SmallRng,
    tasks: &mut Vec<SimulatedTask>,
) {
    // Enough for two thirds of the cores that services leave.
    let mut budget = shape.workers as f64 * shape.cores as f64 * 0.5 * WAVE_EVERY * 0.75;
    while budget > 0.0 {
        let class = random.random_range(0..BATCHES);
        let cores = random.random_range(0.5..shape.cores as f64 / 8.0);
        let run = random.random_range(60.0..420.0);
        let memory = cores * random.random_range(1.0..3.0);
        let actual = ResourceAmount::new((cores * 1000.0) as u64, (memory * 1024.0) as u64);
        let wrong = off[usize::from(class)] * random.random_range(0.8..1.25);
        let declared = ResourceAmount::new(
            ((actual.cpu_millis as f64 * wrong) as u64).clamp(100, shape.cores * 1000),
            ((actual.memory_mib as f64 * wrong) as u64).clamp(64, shape.memory_gb * 1024),
        );
        let arrives = wave + random.random_range(0.0..60.0);
        budget -= cores * run;
        tasks.push(SimulatedTask {
            class: ClassKey(SERVICES + class),
            kind: ClassKind::Batch,
            declared,
            actual,
            left: run,
            whole: run,
            arrives,
            due: arrives + run * shape.patience,
            worker: None,
            counted: declared,
            speed: 1.0,
            done: false,
        });
    }
}
