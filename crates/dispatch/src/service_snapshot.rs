//! Snapshot of a worker's services, by which the worker is scored for fillers.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    interference_model::InterferenceModel,
    worker_state::WorkerState, //
};

/// The ratio of tail latency to target at which the target is just met.
const TARGET_TAIL_RATIO: f64 = 1.0;
/// The scale of the logistic distribution of the error with which a service's load is forecast some
/// seconds ahead.
const FORECAST_ERROR_SCALE: f64 = 0.04;
/// The excess, in multiples of the scale, above which the expected overshoot is practically equal
/// to the excess.
const CERTAIN_EXCESS_SCALES: f64 = 30.0;
/// The load assumed of a service before its load has been observed.
const DEFAULT_SERVICE_LOAD: f64 = 0.6;
/// The forecast horizon of a service's load when a filler is placed: fillers run for about that
/// long.
const LOAD_FORECAST_HORIZON: Duration = Duration::from_millis(2500);
/// The time after a filler's start during which the services' metrics do not show its effect yet.
const EFFECT_VISIBILITY_DELAY: Duration = Duration::from_millis(1200);
/// The maximum age of a snapshot of an unchanged worker: the services' loads change by themselves.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(500);

/// Snapshot of a worker's services, by which the worker is scored for fillers. Computed once after
/// each change of the worker, because every filler that looks for a place scores every worker.
#[derive(Debug, Default)]
pub(crate) struct ServiceSnapshot {
    /// When the snapshot was taken, and of which version of the worker; `None` before the first.
    taken_at: Option<(Duration, u64)>,
    services: Vec<ServiceForecast>,
    /// When the newest filler was placed on the worker.
    newest_filler_at: Option<Duration>,
    /// The lowest share, over the services, of known filler images that do not harm the service.
    pub(crate) harmless_share: f64,
}

/// The forecast of one service's task.
#[derive(Debug)]
struct ServiceForecast {
    /// The index of the service's image in the interference model, if the image is known there.
    image: Option<usize>,
    /// The expected load minus the load at which the service just meets its target.
    excess: f64,
    /// The expected overshoot of the target, in multiples of the forecast scale.
    overshoot: f64,
}

/// The effects of a filler image on all service images, by the service's index in the interference
/// model.
#[derive(Debug, Default)]
pub(crate) struct FillerProfile {
    /// The effect of a filler that uses all of a worker's CPU, and whether it is known well enough.
    pub(crate) effects: Vec<(f64, bool)>,
}

impl ServiceSnapshot {
    /// Returns whether the snapshot is still valid for a worker.
    pub(crate) fn is_valid(&self, worker: &WorkerState, now: Duration) -> bool {
        self.taken_at
            .is_some_and(|(at, version)| version == worker.version && now < at + MAX_SNAPSHOT_AGE)
    }

    /// Takes a snapshot of a worker's services.
    pub(crate) fn new(worker: &WorkerState, model: &InterferenceModel, now: Duration) -> Self {
        let service_runs = worker.runs.values().filter(|run| run.target.is_some());
        let mut harmless_share: f64 = 1.0;
        let mut services = Vec::new();
        for run in service_runs {
            let Some(image) = &run.image else {
                continue;
            };
            let expected = run.load.map_or(DEFAULT_SERVICE_LOAD, |load| {
                load.forecast(now, LOAD_FORECAST_HORIZON)
            });
            let fillers_effect = worker.fillers_effect(image, model);
            let excess = expected + fillers_effect - model.load_limit(image, TARGET_TAIL_RATIO);
            harmless_share = harmless_share.min(model.harmless_share(image));
            services.push(ServiceForecast {
                image: model.service_index(image),
                excess,
                overshoot: expected_overshoot(excess),
            });
        }
        let fillers = worker.runs.values().filter(|run| run.is_filler());
        Self {
            taken_at: Some((now, worker.version)),
            services,
            newest_filler_at: fillers.map(|run| run.placed_at).max(),
            harmless_share,
        }
    }

    /// Returns whether the effect of a recently placed filler is not visible yet while this
    /// filler's effect on one of the services is unknown: fillers of unknown effect are placed one
    /// at a time.
    pub(crate) fn awaits_filler_effect(&self, filler: &FillerProfile, now: Duration) -> bool {
        self.has_recent_filler(EFFECT_VISIBILITY_DELAY, now)
            && self.services.iter().any(|service| !filler.knows(service))
    }

    /// Returns whether a filler was placed within this time.
    pub(crate) fn has_recent_filler(&self, within: Duration, now: Duration) -> bool {
        self.newest_filler_at.is_some_and(|at| now < at + within)
    }

    /// Returns the increase in the services' expected overshoot, in multiples of the forecast
    /// scale, that a filler on this share of the worker's CPU causes. The overshoot, not the
    /// probability of exceeding the target, is compared: for a service that is expected above its
    /// target anyway, the probability hardly changes, and its worker would seem the best place of
    /// all.
    pub(crate) fn risk(&self, filler: &FillerProfile, share: f64) -> f64 {
        let risks = self.services.iter().map(|service| {
            let added = filler.effect(service) * share;
            if added > 0.0 {
                expected_overshoot(service.excess + added) - service.overshoot
            } else {
                0.0
            }
        });
        risks.sum()
    }
}

impl FillerProfile {
    /// Returns the profile of a filler's image; empty without an image.
    pub(crate) fn new(model: &InterferenceModel, image: Option<&Arc<str>>) -> Self {
        image.map_or_else(Self::default, |image| model.profile(image))
    }

    fn effect(&self, service: &ServiceForecast) -> f64 {
        self.pair(service).map_or(0.0, |(effect, _)| effect)
    }

    fn knows(&self, service: &ServiceForecast) -> bool {
        self.pair(service).is_some_and(|(_, known)| known)
    }

    /// Returns the effect on a service and whether it is known; `None` if the service's image is
    /// not in the model.
    fn pair(&self, service: &ServiceForecast) -> Option<(f64, bool)> {
        self.effects.get(service.image?).copied()
    }
}

/// Returns the mean overshoot of a limit, in multiples of the forecast scale, by a load with this
/// expected excess over the limit.
fn expected_overshoot(excess: f64) -> f64 {
    let scales = excess / FORECAST_ERROR_SCALE;
    if scales > CERTAIN_EXCESS_SCALES {
        scales
    } else {
        scales.exp().ln_1p()
    }
}
