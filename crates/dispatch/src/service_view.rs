//! Snapshot of a worker's services, by which the worker is scored for fillers.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    harm_model::HarmModel,
    worker_state::WorkerState, //
};

/// The ratio of tail latency to target at which the target is just met.
const TARGET: f64 = 1.0;
/// The scale of the logistic distribution of the error with which a service's load is forecast some
/// seconds ahead.
const SPREAD: f64 = 0.04;
/// The excess, in multiples of the scale, above which the expected overshoot is practically equal
/// to the excess.
const CERTAIN: f64 = 30.0;
/// The load assumed of a service before its load has been observed.
const USUAL_LOAD: f64 = 0.6;
/// The forecast horizon of a service's load when a filler is placed: fillers run for about that
/// long.
const AHEAD: Duration = Duration::from_millis(2500);
/// The time after a filler's start during which the services' metrics do not show its effect yet.
const UNSEEN: Duration = Duration::from_millis(1200);
/// The maximum age of a snapshot of an unchanged worker: the services' loads change by themselves.
const FRESH: Duration = Duration::from_millis(500);

/// Snapshot of a worker's services, by which the worker is scored for fillers. Computed once after
/// each change of the worker, because every filler that looks for a place scores every worker.
#[derive(Debug, Default)]
pub(crate) struct ServiceView {
    taken: Option<(Duration, u64)>,
    services: Vec<ServedRun>,
    /// When the newest filler was placed on the worker.
    last_came: Option<Duration>,
    /// The lowest share, over the services, of known filler images that do not harm the service.
    pub(crate) harmless: f64,
}

#[derive(Debug)]
struct ServedRun {
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

impl ServiceView {
    /// Returns whether the snapshot is still valid for a worker.
    pub(crate) fn is_fresh(&self, worker: &WorkerState, now: Duration) -> bool {
        self.taken
            .is_some_and(|(at, version)| version == worker.version && now < at + FRESH)
    }

    /// Takes a snapshot of a worker's services.
    pub(crate) fn new(worker: &WorkerState, harm: &HarmModel, now: Duration) -> Self {
        let served = worker.runs.values().filter(|run| run.target.is_some());
        let mut harmless: f64 = 1.0;
        let mut services = Vec::new();
        for run in served {
            let Some(image) = &run.image else {
                continue;
            };
            let expected = run
                .load
                .map_or(USUAL_LOAD, |load| load.expected(now, AHEAD));
            let company = worker.fillers_effect(image, harm);
            let excess = expected + company - harm.limit(image, TARGET);
            harmless = harmless.min(harm.harmless_share(image));
            services.push(ServedRun {
                image: harm.place_of(image),
                excess,
                overshoot: expected_overshoot(excess),
            });
        }
        let fillers = worker.runs.values().filter(|run| run.is_filler());
        Self {
            taken: Some((now, worker.version)),
            services,
            last_came: fillers.map(|run| run.placed).max(),
            harmless,
        }
    }

    /// Returns whether the effect of a recently placed filler is not visible yet while this
    /// filler's effect on one of the services is unknown: fillers of unknown effect are placed one
    /// at a time.
    pub(crate) fn is_learning(&self, filler: &FillerProfile, now: Duration) -> bool {
        self.has_newcomer(UNSEEN, now) && self.services.iter().any(|service| !filler.knows(service))
    }

    /// Returns whether a filler was placed within this time.
    pub(crate) fn has_newcomer(&self, within: Duration, now: Duration) -> bool {
        self.last_came.is_some_and(|at| now < at + within)
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
    pub(crate) fn new(harm: &HarmModel, image: Option<&Arc<str>>) -> Self {
        image.map_or_else(Self::default, |image| harm.profile(image))
    }

    fn effect(&self, service: &ServedRun) -> f64 {
        self.pair(service).map_or(0.0, |(effect, _)| effect)
    }

    fn knows(&self, service: &ServedRun) -> bool {
        self.pair(service).is_some_and(|(_, known)| known)
    }

    /// Returns the effect on a service and whether it is known; `None` if the service's image is
    /// not in the model.
    fn pair(&self, service: &ServedRun) -> Option<(f64, bool)> {
        self.effects.get(service.image?).copied()
    }
}

/// Returns the mean overshoot of a limit, in multiples of the forecast scale, by a load with this
/// expected excess over the limit.
fn expected_overshoot(excess: f64) -> f64 {
    let spreads = excess / SPREAD;
    if spreads > CERTAIN {
        spreads
    } else {
        spreads.exp().ln_1p()
    }
}
