//! Which classes hurt which services.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_base::ClassKind;

use crate::{
    ClassKey,
    LoadLevel,
    PoolWorker,
    ServiceReading,
    pair_estimate::PairEstimate, //
};

/// The share of a service's target that a batch task may bring it to: with time left, and without.
const CALM_LIMIT: f64 = 0.85;
const URGENT_LIMIT: f64 = 1.0;
/// A smaller effect than this (5%) keeps no task out.
const LEAST_EFFECT: f64 = 0.05;
/// How often the model forgets a little; with 2% each time it halves what it believes of a pair that
/// is no longer measured in 17 minutes.
const FORGET_EVERY: Duration = Duration::from_secs(30);
const EFFECT_LIMIT: f64 = 4.0;

#[derive(Clone, Debug)]
struct LearnedService {
    target: Duration,
    level: LoadLevel,
    alone: [PairEstimate; LoadLevel::COUNT],
}

/// Which classes hurt which services, and how much, at which load of the service. The logarithm of
/// latency over target is taken as what the service has alone plus one term for each other class on
/// the VM; each late measurement corrects the terms by how uncertain they are, so that a pair that
/// is new takes most of the blame. What is not measured any more is slowly forgotten: a pair kept
/// apart by a wrong belief is never measured, and would be kept apart for good.
#[derive(Clone, Debug, Default)]
pub struct PairModel {
    services: IndexMap<ClassKey, LearnedService>,
    pairs: IndexMap<(ClassKey, ClassKey), [PairEstimate; LoadLevel::COUNT]>,
    forgotten: Duration,
}

impl PairModel {
    /// Creates a model that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the target of a service's class.
    pub fn set_target(&mut self, service: ClassKey, target: Duration) {
        if let Some(known) = self.services.get_mut(&service) {
            known.target = target;
            return;
        }
        let learned = LearnedService {
            target,
            level: LoadLevel::Low,
            alone: [PairEstimate::default(); LoadLevel::COUNT],
        };
        self.services.insert(service, learned);
    }

    /// Returns how a latency compares with the target of its service.
    pub fn target_ratio(&self, service: ClassKey, latency: Duration) -> Option<f64> {
        let known = self.services.get(&service)?;
        Some(latency.as_secs_f64() / known.target.as_secs_f64().max(1e-6))
    }

    /// Learns from one measurement.
    pub fn observe(&mut self, reading: &ServiceReading<'_>) {
        let ratio = self.target_ratio(reading.service, reading.latency_p99);
        let Some(measured) = ratio.map(|ratio| ratio.max(1e-3).ln()) else {
            return;
        };
        let level = reading.level.slot();
        let others = reading.company.iter();
        let others = others.filter(|(class, _)| *class != reading.service);
        let mut predicted = 0.0;
        let mut spread = 0.0;
        if let Some(service) = self.services.get_mut(&reading.service) {
            service.level = reading.level;
            predicted += service.alone[level].mean;
            spread += service.alone[level].spread(1.0);
        }
        for (class, count) in others.clone() {
            let pair = self.pairs.entry((reading.service, *class)).or_default();
            predicted += pair[level].mean * weight_of(*count);
            spread += pair[level].spread(weight_of(*count));
        }
        let error = measured - predicted;
        if let Some(service) = self.services.get_mut(&reading.service) {
            service.alone[level].learn(1.0, error, spread);
        }
        for (class, count) in others {
            let pair = self.pairs.entry((reading.service, *class)).or_default();
            pair[level].learn(weight_of(*count), error, spread);
            pair[level].mean = pair[level].mean.clamp(0.0, EFFECT_LIMIT);
        }
    }

    /// Forgets a little from time to time; what a service has alone is measured all the time and is
    /// not forgotten.
    pub fn forget(&mut self, now: Duration) {
        while now.saturating_sub(self.forgotten) >= FORGET_EVERY {
            self.forgotten += FORGET_EVERY;
            for pair in self.pairs.values_mut().flatten() {
                pair.forget();
            }
        }
    }

    /// Returns the learned effect of a class on a service at its present load, as a logarithm.
    pub fn effect(&self, service: ClassKey, other: ClassKey) -> f64 {
        let Some(known) = self.services.get(&service) else {
            return 0.0;
        };
        let pair = self.pairs.get(&(service, other));
        pair.map_or(0.0, |levels| trusted(&levels[known.level.slot()]))
    }

    /// Returns the effect that a task of `class` would have on a worker, `None` if a service would
    /// be slowed beyond its target.
    pub fn harm(
        &self,
        worker: &PoolWorker,
        class: ClassKey,
        kind: ClassKind,
        urgent: bool,
    ) -> Option<f64> {
        if kind == ClassKind::Service {
            let (before, after) = self.predict(worker, class, None);
            return allowed(before, after, false);
        }
        let mut sum = 0.0;
        for (service, _) in &worker.company {
            if self.services.contains_key(service) {
                let (before, after) = self.predict(worker, *service, Some(class));
                sum += allowed(before, after, urgent)?;
            }
        }
        Some(sum)
    }

    /// Predicts a service's latency over its target: with the worker's present company, which for a
    /// newcomer counts as new, and with one task of a class more.
    fn predict(
        &self,
        worker: &PoolWorker,
        service: ClassKey,
        added: Option<ClassKey>,
    ) -> (f64, f64) {
        let Some(known) = self.services.get(&service) else {
            return (0.0, 0.0);
        };
        let alone = trusted(&known.alone[known.level.slot()]);
        let mut present = alone;
        let mut after = alone;
        for (class, count) in worker.company.iter().filter(|(class, _)| *class != service) {
            let more = u16::from(added == Some(*class));
            present += self.effect(service, *class) * weight_of(*count);
            after += self.effect(service, *class) * weight_of(*count + more);
        }
        let Some(class) = added else {
            return (alone, after);
        };
        if worker.count(class) == 0 {
            after += self.effect(service, class);
        }
        (present, after)
    }
}

fn allowed(before: f64, after: f64, urgent: bool) -> Option<f64> {
    let limit = match urgent {
        true => URGENT_LIMIT,
        false => CALM_LIMIT,
    };
    let effect = after - before;
    if effect > LEAST_EFFECT && after.exp() > limit {
        return None;
    }
    Some(effect.max(0.0))
}

fn trusted(estimate: &PairEstimate) -> f64 {
    match estimate.known() {
        true => estimate.mean,
        false => 0.0,
    }
}

/// Several tasks of one class hurt more than one, but ever less so.
fn weight_of(count: u16) -> f64 {
    f64::from(count + 1).log2()
}
