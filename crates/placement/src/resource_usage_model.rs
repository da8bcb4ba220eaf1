//! The learned resource use and run time of classes.

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
const RESERVATION_QUANTILE: f32 = 0.95;

/// How a reservation follows the measured use of one resource.
struct ReservationRule {
    /// The decayed weight of the measurements from which less than the declared size is reserved.
    min_weight: f32,
    /// The ratio of the reserved to the measured use.
    headroom: f32,
    /// The smallest share of the declared size that is reserved.
    min_declared_share: f32,
}

const CPU_RULE: ReservationRule = ReservationRule {
    min_weight: 8.0,
    headroom: 1.15,
    min_declared_share: 0.1,
};
/// More cautious than the rule for CPU: throttling relieves overcommitted CPU, but only ending a
/// task relieves overcommitted memory.
const MEMORY_RULE: ReservationRule = ReservationRule {
    min_weight: 30.0,
    headroom: 1.5,
    min_declared_share: 0.25,
};

/// What is learned about one class.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct ClassUsage {
    cpu: RatioSketch,
    memory: RatioSketch,
    /// The moving average of the run times; `None` before the first run ended.
    run_time: Option<Duration>,
}

/// Learns how much tasks of each class use, as ratios to the declared sizes, which are wrong by up
/// to a factor of ten in either direction. The reservation of a class that uses more than it
/// declares grows from the first measurement on. That of a class that uses less shrinks only after
/// several measurements; memory shrinks later and less than CPU.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ResourceUsageModel {
    classes: IndexMap<ClassKey, ClassUsage>,
}

impl ResourceUsageModel {
    /// Creates a model that has learned nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Learns from one measurement of a task.
    pub fn observe(&mut self, class: ClassKey, declared: ResourceAmount, used: ResourceAmount) {
        let learned = self.classes.entry(class).or_default();
        learned.cpu.observe(declared.cpu_millis, used.cpu_millis);
        learned.memory.observe(declared.memory_mib, used.memory_mib);
    }

    /// Learns from the duration of a run.
    pub fn observe_run(&mut self, class: ClassKey, run_time: Duration) {
        let learned = self.classes.entry(class).or_default();
        learned.run_time = Some(match learned.run_time {
            Some(known) => (known * 3 + run_time) / 4,
            None => run_time,
        });
    }

    /// Returns the expected duration of a run, or `None` before the first run of the class ended.
    pub fn run_time(&self, class: ClassKey) -> Option<Duration> {
        self.classes.get(&class)?.run_time
    }

    /// Returns the number of measurements of a class, in which older ones count less.
    pub fn measurement_weight(&self, class: ClassKey) -> f32 {
        let learned = self.classes.get(&class);
        learned.map_or(0.0, |learned| learned.cpu.weight())
    }

    /// Returns the resources to reserve for a task of a class that declares this size.
    pub fn reservation(&self, class: ClassKey, declared: ResourceAmount) -> ResourceAmount {
        let Some(learned) = self.classes.get(&class) else {
            return declared;
        };
        ResourceAmount {
            cpu_millis: reserved_amount(declared.cpu_millis, &learned.cpu, &CPU_RULE),
            memory_mib: reserved_amount(declared.memory_mib, &learned.memory, &MEMORY_RULE),
            accelerators: declared.accelerators,
        }
    }
}

fn reserved_amount(declared: u64, sketch: &RatioSketch, rule: &ReservationRule) -> u64 {
    let Some(ratio) = sketch.quantile(RESERVATION_QUANTILE) else {
        return declared;
    };
    let covering_share = ratio * rule.headroom;
    let share = match ratio > 1.0 {
        true => covering_share,
        false if sketch.weight() >= rule.min_weight => {
            covering_share.clamp(rule.min_declared_share, 1.0)
        }
        false => 1.0,
    };
    // CAST: The size is in thousandths of a core or in mebibytes, far below 2^52.
    (declared as f64 * f64::from(share)).ceil() as u64
}
