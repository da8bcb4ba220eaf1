//! Which classes hurt which services.

use std::time::Duration;

use jasminebend_base::ClassKind;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClassKey, PoolWorker, ServiceReading,
    load_track::LoadTrack,
    service_regression::{
        ServiceRegression,
        weight_of, //
    },
};

/// The share of a service's target that a batch task may bring it to: with time left, and without.
const CALM_LIMIT: f64 = 0.85;
const URGENT_LIMIT: f64 = 1.0;
/// A smaller effect than this (5%) keeps no task out.
const LEAST_EFFECT: f64 = 0.05;
/// How often the model forgets a little, and what it keeps: it halves what it believes of a pair that
/// is no longer measured in 35 minutes.
const FORGET_EVERY: Duration = Duration::from_secs(30);
const KEPT: f64 = 0.99;
const MOST_LOAD: f64 = 2.0;

#[derive(Clone, Debug, Deserialize, Serialize)]
struct LearnedService {
    target: Duration,
    load: LoadTrack,
    regression: ServiceRegression,
}

/// Which classes hurt which services, and how much, at which load of the service. What is not
/// measured any more is slowly forgotten: a pair kept apart by a wrong belief is never measured, and
/// would be kept apart for good.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PairModel {
    /// By the key of their class.
    services: Vec<Option<LearnedService>>,
    forgotten: Duration,
}

impl PairModel {
    /// Creates a model that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the target of a service's class.
    pub fn set_target(&mut self, service: ClassKey, target: Duration) {
        let key = usize::from(service.0);
        if self.services.len() <= key {
            self.services.resize(key + 1, None);
        }
        if let Some(known) = &mut self.services[key] {
            known.target = target;
            return;
        }
        let learned = LearnedService {
            target,
            load: LoadTrack::default(),
            regression: ServiceRegression::new(),
        };
        self.services[key] = Some(learned);
    }

    /// Goes on at another clock's time, with what was learned under the former owner's.
    pub fn rebase(&mut self, now: Duration) {
        self.forgotten = now;
        for service in self.services.iter_mut().flatten() {
            service.load.rebase(now);
        }
    }

    fn service(&self, service: ClassKey) -> Option<&LearnedService> {
        self.services.get(usize::from(service.0))?.as_ref()
    }

    fn service_mut(&mut self, service: ClassKey) -> Option<&mut LearnedService> {
        self.services.get_mut(usize::from(service.0))?.as_mut()
    }

    /// Returns how a latency compares with the target of its service.
    pub fn target_ratio(&self, service: ClassKey, latency: Duration) -> Option<f64> {
        let known = self.service(service)?;
        Some(latency.as_secs_f64() / known.target.as_secs_f64().max(1e-6))
    }

    /// Learns from one measurement.
    pub fn observe(&mut self, reading: &ServiceReading<'_>) {
        let ratio = self.target_ratio(reading.service, reading.latency_p99);
        let (Some(ratio), Some(known)) = (ratio, self.service_mut(reading.service)) else {
            return;
        };
        let load = reading.load.clamp(0.0, MOST_LOAD);
        known.load.note(reading.measured, load);
        let others = reading.company.iter().copied();
        let others: Vec<(ClassKey, f64)> = others
            .filter(|(class, _)| *class != reading.service)
            .collect();
        known.regression.learn(load, &others, ratio.max(1e-3).ln());
    }

    /// Forgets a little from time to time.
    pub fn forget(&mut self, now: Duration) {
        while now.saturating_sub(self.forgotten) >= FORGET_EVERY {
            self.forgotten += FORGET_EVERY;
            for service in self.services.iter_mut().flatten() {
                service.regression.forget(KEPT);
            }
        }
    }

    /// Returns the learned effect of one task of a class on a service at the peak of its load, as a
    /// logarithm; zero while it is not known.
    pub fn effect(&self, service: ClassKey, other: ClassKey) -> f64 {
        self.service(service).map_or(0.0, |known| {
            known.regression.effect(other) * known.load.peak()
        })
    }

    /// Predicts the worst latency over target of the services in a company at their latest load. That
    /// is known sooner than the latency itself, which is measured late on each worker: the load of a
    /// service's class shows on whichever worker reports first.
    pub fn predict(&self, company: &[(ClassKey, f64)]) -> f64 {
        self.worst(company, LoadTrack::latest)
    }

    /// Predicts the same at the peak that the load is likely to come back to.
    pub fn predict_peak(&self, company: &[(ClassKey, f64)]) -> f64 {
        self.worst(company, LoadTrack::peak)
    }

    fn worst(&self, company: &[(ClassKey, f64)], load_of: fn(&LoadTrack) -> f64) -> f64 {
        let services = company
            .iter()
            .filter_map(|(class, _)| Some((*class, self.service(*class)?)));
        let ratios = services.map(|(service, known)| {
            let load = load_of(&known.load);
            let others = company.iter().filter(|(class, _)| *class != service);
            let added = others
                .map(|(class, tasks)| known.regression.effect(*class) * load * weight_of(*tasks));
            (known.regression.alone(load) + added.sum::<f64>()).exp()
        });
        ratios.fold(0.0, f64::max)
    }

    /// Tells whether a class hurts a service on a worker; while that is not known, it may.
    pub fn may_hurt(&self, worker: &PoolWorker, class: ClassKey) -> bool {
        worker.company.iter().any(|(service, _)| {
            self.service(*service).is_some_and(|known| {
                !known.regression.knows_class(class) || self.effect(*service, class) > LEAST_EFFECT
            })
        })
    }

    /// Tells whether a class is known to hurt a service on a worker.
    pub fn hurts(&self, worker: &PoolWorker, class: ClassKey) -> bool {
        let mut services = worker.company.iter();
        services.any(|(service, _)| self.effect(*service, class) > LEAST_EFFECT)
    }

    /// Tells whether batch tasks of a class are to blame that a worker's services are slow: those known
    /// to hurt them; while there are none, those of which it is not known; else, on a worker whose
    /// processors are all in use, every one.
    pub fn blames(&self, worker: &PoolWorker, class: ClassKey, overloaded: bool) -> bool {
        let classes = worker.company.iter().map(|(class, _)| *class);
        let mut batch = classes.filter(|class| self.service(*class).is_none());
        if overloaded {
            return true;
        }
        if batch.clone().any(|class| self.hurts(worker, class)) {
            return self.hurts(worker, class);
        }
        batch.any(|class| self.may_hurt(worker, class)) && self.may_hurt(worker, class)
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
            // A service that waits answers nobody: it goes where it is slowed least.
            return Some(self.company_effect(worker, class, None));
        }
        if !urgent && self.is_second_stranger(worker, class) {
            return None;
        }
        let mut sum = 0.0;
        for (service, _) in &worker.company {
            if self.service(*service).is_some() {
                let present = self.company_effect(worker, *service, None);
                let after = self.company_effect(worker, *service, Some(class));
                sum += self.allowed(*service, present, after, urgent)?;
            }
        }
        Some(sum)
    }

    /// Tells whether a task would be the second one on a worker of which it is not known what it does
    /// to a service there. One at a time shows soonest which one hurts, and hurts least.
    fn is_second_stranger(&self, worker: &PoolWorker, class: ClassKey) -> bool {
        let services = worker.company.iter();
        let mut known = services.filter_map(|(service, _)| self.service(*service));
        known.any(|known| {
            let strange = |class: ClassKey| !known.regression.knows_class(class);
            let batch = worker.company.iter().map(|(other, _)| *other);
            let mut batch = batch.filter(|other| self.service(*other).is_none());
            strange(class) && batch.any(strange)
        })
    }

    /// Returns what a worker's company adds to a service, with one task of a class more.
    fn company_effect(
        &self,
        worker: &PoolWorker,
        service: ClassKey,
        added: Option<ClassKey>,
    ) -> f64 {
        let others = worker.company.iter().filter(|(class, _)| *class != service);
        let present = others.map(|(class, count)| {
            let more = f64::from(u8::from(added == Some(*class)));
            self.effect(service, *class) * weight_of(f64::from(*count) + more)
        });
        let newcomer = added.filter(|class| worker.count(*class) == 0);
        present.sum::<f64>() + newcomer.map_or(0.0, |class| self.effect(service, class))
    }

    fn allowed(&self, service: ClassKey, before: f64, after: f64, urgent: bool) -> Option<f64> {
        let limit = match urgent {
            true => URGENT_LIMIT,
            false => CALM_LIMIT,
        };
        let effect = after - before;
        let alone = self.service(service).map_or(f64::NEG_INFINITY, |known| {
            known.regression.alone(known.load.peak())
        });
        if effect > LEAST_EFFECT && (alone + after).exp() > limit {
            return None;
        }
        Some(effect.max(0.0))
    }
}
