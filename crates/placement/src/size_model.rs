//! What classes are learned to use.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_base::ResourceAmount;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClassKey,
    RatioSketch, //
};

/// The quantile of the measured use that a reservation covers.
const COVERED: f32 = 0.95;

/// When a declared size is left, and how far.
struct ShrinkRule {
    /// The measurements that it takes to give less than what is declared.
    measured: f32,
    /// What is given over what was measured.
    headroom: f32,
    /// The least that is given of what is declared.
    least: f32,
}

const CPU: ShrinkRule = ShrinkRule {
    measured: 8.0,
    headroom: 1.15,
    least: 0.1,
};
/// A throttle mends processors given twice; only the end of a task mends memory given twice.
const MEMORY: ShrinkRule = ShrinkRule {
    measured: 30.0,
    headroom: 1.5,
    least: 0.25,
};

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct LearnedClass {
    cpu: RatioSketch,
    memory: RatioSketch,
    run_time: Option<Duration>,
}

/// What classes are learned to use, as ratios to what is declared. Declared sizes are off by up to
/// ten times either way. A class that uses more than it declares grows its reservation from the
/// first measurement on. One that uses less shrinks it only after several measurements, its memory
/// later and less than its processors.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct SizeModel {
    classes: IndexMap<ClassKey, LearnedClass>,
}

impl SizeModel {
    /// Creates a model that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns from one measurement.
    pub fn observe(&mut self, class: ClassKey, declared: ResourceAmount, used: ResourceAmount) {
        let learned = self.classes.entry(class).or_default();
        learned.cpu.observe(declared.cpu_millis, used.cpu_millis);
        learned.memory.observe(declared.memory_mib, used.memory_mib);
    }

    /// Learns how long a run took.
    pub fn observe_run(&mut self, class: ClassKey, run_time: Duration) {
        let learned = self.classes.entry(class).or_default();
        learned.run_time = Some(match learned.run_time {
            Some(known) => (known * 3 + run_time) / 4,
            None => run_time,
        });
    }

    /// Returns how long a run is expected to take.
    pub fn run_time(&self, class: ClassKey) -> Option<Duration> {
        self.classes.get(&class)?.run_time
    }

    /// Returns the number of measurements of a class, the older ones counting less.
    pub fn samples(&self, class: ClassKey) -> f32 {
        let learned = self.classes.get(&class);
        learned.map_or(0.0, |learned| learned.cpu.weight())
    }

    /// Returns what to set aside for a task of a class.
    pub fn reservation(&self, class: ClassKey, declared: ResourceAmount) -> ResourceAmount {
        let Some(learned) = self.classes.get(&class) else {
            return declared;
        };
        ResourceAmount {
            cpu_millis: scaled(declared.cpu_millis, &learned.cpu, &CPU),
            memory_mib: scaled(declared.memory_mib, &learned.memory, &MEMORY),
            accelerators: declared.accelerators,
        }
    }
}

fn scaled(declared: u64, sketch: &RatioSketch, rule: &ShrinkRule) -> u64 {
    let Some(ratio) = sketch.quantile(COVERED) else {
        return declared;
    };
    let wanted = ratio * rule.headroom;
    let share = match ratio > 1.0 {
        true => wanted,
        false if sketch.weight() >= rule.measured => wanted.clamp(rule.least, 1.0),
        false => 1.0,
    };
    // CAST: A size in thousandths of a core or mebibytes, far below 2^52.
    (declared as f64 * f64::from(share)).ceil() as u64
}
