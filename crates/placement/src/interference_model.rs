//! The learned model of which classes slow which services.

use std::time::Duration;

use jasminebend_base::ClassKind;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ClassKey, PoolWorker, ServiceMeasurement,
    latency_regression::{
        LatencyRegression,
        task_count_weight, //
    },
    load_tracker::LoadTracker,
};

/// The highest ratio of latency to target to which a batch task with time left may raise a service.
const MAX_LATENCY_RATIO: f64 = 0.85;
/// The same ratio for an urgent batch task.
const MAX_LATENCY_RATIO_URGENT: f64 = 1.0;
/// Effects up to this logarithm of latency (5%) never exclude a task.
const NEGLIGIBLE_LOG_EFFECT: f64 = 0.05;
/// How often what was learned decays, and by which factor: the learned effect of a pair that is no
/// longer measured halves in 35 minutes.
const DECAY_INTERVAL: Duration = Duration::from_secs(30);
const DECAY_FACTOR: f64 = 0.99;
/// The highest load that the model takes from a measurement.
const MAX_LOAD: f64 = 2.0;

/// What is learned about one service.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ServiceModel {
    /// The latency that the 99th percentile of its requests must stay below.
    target: Duration,
    load: LoadTracker,
    regression: LatencyRegression,
}

/// Learns how much tasks of each class slow each service at each load of the service
/// (interference). Effects that are no longer measured decay: a pair that is kept apart because of
/// a wrong estimate is never measured again, and would otherwise be kept apart forever.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InterferenceModel {
    /// Indexed by the key of the service's class; `None` for classes without a target.
    services: Vec<Option<ServiceModel>>,
    /// Up to which time the decay was applied.
    #[serde(rename = "forgotten")]
    decayed_until: Duration,
}

impl InterferenceModel {
    /// Creates a model that has learned nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the latency target of a service's class, and adds the service if it is new.
    pub fn set_target(&mut self, service: ClassKey, target: Duration) {
        let key = usize::from(service.0);
        if self.services.len() <= key {
            self.services.resize(key + 1, None);
        }
        if let Some(model) = &mut self.services[key] {
            model.target = target;
            return;
        }
        let learned = ServiceModel {
            target,
            load: LoadTracker::default(),
            regression: LatencyRegression::new(),
        };
        self.services[key] = Some(learned);
    }

    /// Moves the stored times to `now` on the present owner's clock, and keeps what was learned
    /// under the former owner.
    pub fn rebase(&mut self, now: Duration) {
        self.decayed_until = now;
        for service in self.services.iter_mut().flatten() {
            service.load.rebase(now);
        }
    }

    fn service(&self, service: ClassKey) -> Option<&ServiceModel> {
        self.services.get(usize::from(service.0))?.as_ref()
    }

    fn service_mut(&mut self, service: ClassKey) -> Option<&mut ServiceModel> {
        self.services.get_mut(usize::from(service.0))?.as_mut()
    }

    /// Returns the ratio of a latency to the service's target, or `None` if no target is set.
    pub fn latency_ratio(&self, service: ClassKey, latency: Duration) -> Option<f64> {
        let model = self.service(service)?;
        Some(latency.as_secs_f64() / model.target.as_secs_f64().max(1e-6))
    }

    /// Learns from one measurement; ignores it if the service has no target.
    pub fn observe(&mut self, reading: &ServiceMeasurement<'_>) {
        let ratio = self.latency_ratio(reading.service, reading.latency_p99);
        let (Some(ratio), Some(model)) = (ratio, self.service_mut(reading.service)) else {
            return;
        };
        let load = reading.load.clamp(0.0, MAX_LOAD);
        model.load.record(reading.measured_at, load);
        let others = reading.task_counts.iter().copied();
        let others: Vec<(ClassKey, f64)> = others
            .filter(|(class, _)| *class != reading.service)
            .collect();
        model.regression.learn(load, &others, ratio.max(1e-3).ln());
    }

    /// Applies the decay for the time since the last call.
    pub fn decay(&mut self, now: Duration) {
        while now.saturating_sub(self.decayed_until) >= DECAY_INTERVAL {
            self.decayed_until += DECAY_INTERVAL;
            for service in self.services.iter_mut().flatten() {
                service.regression.decay(DECAY_FACTOR);
            }
        }
    }

    /// Returns the learned effect of one task of a class on a service at the service's peak load,
    /// as a natural logarithm of the latency's increase; zero while the effect is unknown.
    pub fn effect(&self, service: ClassKey, other: ClassKey) -> f64 {
        self.service(service).map_or(0.0, |model| {
            model.regression.effect(other) * model.load.peak()
        })
    }

    /// Predicts the highest ratio of latency to target among the services in `task_counts` at their
    /// latest load. This is known sooner than the latency, which is measured late on each worker:
    /// the load of a service's class is taken from the first worker that reports it.
    pub fn predict_latency_ratio(&self, task_counts: &[(ClassKey, f64)]) -> f64 {
        self.max_latency_ratio(task_counts, LoadTracker::latest)
    }

    /// Predicts the same ratio at the services' recent peak load, which is likely to recur.
    pub fn predict_peak_latency_ratio(&self, task_counts: &[(ClassKey, f64)]) -> f64 {
        self.max_latency_ratio(task_counts, LoadTracker::peak)
    }

    fn max_latency_ratio(
        &self,
        task_counts: &[(ClassKey, f64)],
        load_of: fn(&LoadTracker) -> f64,
    ) -> f64 {
        let services = task_counts
            .iter()
            .filter_map(|(class, _)| Some((*class, self.service(*class)?)));
        let ratios = services.map(|(service, model)| {
            let load = load_of(&model.load);
            let others = task_counts.iter().filter(|(class, _)| *class != service);
            let added = others.map(|(class, tasks)| {
                model.regression.effect(*class) * load * task_count_weight(*tasks)
            });
            (model.regression.log_ratio_alone(load) + added.sum::<f64>()).exp()
        });
        ratios.fold(0.0, f64::max)
    }

    /// Returns whether a class may slow a service on a worker; an unknown effect counts as one that
    /// may.
    pub fn may_interfere(&self, worker: &PoolWorker, class: ClassKey) -> bool {
        worker.task_counts.iter().any(|(service, _)| {
            self.service(*service).is_some_and(|model| {
                !model.regression.has_learned_class(class)
                    || self.effect(*service, class) > NEGLIGIBLE_LOG_EFFECT
            })
        })
    }

    /// Returns whether a class is known to slow a service on a worker.
    pub fn interferes(&self, worker: &PoolWorker, class: ClassKey) -> bool {
        let mut services = worker.task_counts.iter();
        services.any(|(service, _)| self.effect(*service, class) > NEGLIGIBLE_LOG_EFFECT)
    }

    /// Returns whether batch tasks of a class may be the cause that a worker's services are slow. On
    /// an overloaded worker, with nearly all processors in use, every class may be. Otherwise these
    /// are the classes known to slow the services or, if there are none, those whose effect is
    /// unknown.
    pub fn is_likely_cause(&self, worker: &PoolWorker, class: ClassKey, overloaded: bool) -> bool {
        let classes = worker.task_counts.iter().map(|(class, _)| *class);
        let mut batch = classes.filter(|class| self.service(*class).is_none());
        if overloaded {
            return true;
        }
        if batch.clone().any(|class| self.interferes(worker, class)) {
            return self.interferes(worker, class);
        }
        batch.any(|class| self.may_interfere(worker, class)) && self.may_interfere(worker, class)
    }

    /// Returns how much a task of `class` would slow the services on a worker, as a sum of
    /// logarithms, or `None` if a service would be slowed beyond its target. If the task is itself a
    /// service, returns how much the worker's present tasks would slow it, and never `None`.
    pub fn added_interference(
        &self,
        worker: &PoolWorker,
        class: ClassKey,
        kind: ClassKind,
        urgent: bool,
    ) -> Option<f64> {
        if kind == ClassKind::Service {
            // A service that waits serves no requests, so it is never rejected here: the worker
            // that slows it least is preferred.
            return Some(self.total_effect(worker, class, None));
        }
        if !urgent && self.is_second_unknown_class(worker, class) {
            return None;
        }
        let mut sum = 0.0;
        for (service, _) in &worker.task_counts {
            if self.service(*service).is_some() {
                let present = self.total_effect(worker, *service, None);
                let after = self.total_effect(worker, *service, Some(class));
                sum += self.added_effect_within_limit(*service, present, after, urgent)?;
            }
        }
        Some(sum)
    }

    /// Returns whether the effect of a task on a service of a worker is unknown, and the worker
    /// already runs a batch task of which the same is true. Admitting one such task at a time shows
    /// soonest which one slows the service, and does the least damage.
    fn is_second_unknown_class(&self, worker: &PoolWorker, class: ClassKey) -> bool {
        let services = worker.task_counts.iter();
        let mut models = services.filter_map(|(service, _)| self.service(*service));
        models.any(|model| {
            let is_unknown = |class: ClassKey| !model.regression.has_learned_class(class);
            let batch = worker.task_counts.iter().map(|(other, _)| *other);
            let mut batch = batch.filter(|other| self.service(*other).is_none());
            is_unknown(class) && batch.any(is_unknown)
        })
    }

    /// Returns the sum of the effects of all tasks on a worker on a service, with one additional
    /// task of the class `added`.
    fn total_effect(&self, worker: &PoolWorker, service: ClassKey, added: Option<ClassKey>) -> f64 {
        let others = worker
            .task_counts
            .iter()
            .filter(|(class, _)| *class != service);
        let present = others.map(|(class, count)| {
            let more = f64::from(u8::from(added == Some(*class)));
            self.effect(service, *class) * task_count_weight(f64::from(*count) + more)
        });
        let new_class_effect = added.filter(|class| worker.task_count(*class) == 0);
        present.sum::<f64>() + new_class_effect.map_or(0.0, |class| self.effect(service, class))
    }

    fn added_effect_within_limit(
        &self,
        service: ClassKey,
        before: f64,
        after: f64,
        urgent: bool,
    ) -> Option<f64> {
        let limit = match urgent {
            true => MAX_LATENCY_RATIO_URGENT,
            false => MAX_LATENCY_RATIO,
        };
        let effect = after - before;
        let alone = self.service(service).map_or(f64::NEG_INFINITY, |model| {
            model.regression.log_ratio_alone(model.load.peak())
        });
        if effect > NEGLIGIBLE_LOG_EFFECT && (alone + after).exp() > limit {
            return None;
        }
        Some(effect.max(0.0))
    }
}
