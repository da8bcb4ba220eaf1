//! What a filler that would come to a worker has to know of the services there.

use std::{
    sync::Arc,
    time::Duration, //
};

use crate::{
    harm_model::HarmModel,
    worker_state::WorkerState, //
};

/// A tail at its target, as a share of it.
const TARGET: f64 = 1.0;
/// How far a service's load turns out off what is expected of it some seconds ahead, as the scale of a logistic
/// distribution.
const SPREAD: f64 = 0.04;
/// The overshoot, in spreads, from which on the chance of none is next to nothing.
const CERTAIN: f64 = 30.0;
/// The load that a service is taken to reach while nothing was seen of it.
const USUAL_LOAD: f64 = 0.6;
/// How far ahead a service's load is looked at when a filler is placed: fillers run for about that long.
const AHEAD: Duration = Duration::from_millis(2500);
/// How long a filler's effect is not seen after its start.
const UNSEEN: Duration = Duration::from_millis(1200);
/// After how long a view is taken anew although nothing has changed: loads go on.
const FRESH: Duration = Duration::from_millis(500);

/// What a filler that would come to a worker has to know of the services there: worked out once after each change of
/// the worker, since every filler that looks for a place looks at every worker.
#[derive(Debug, Default)]
pub(crate) struct ServiceView {
    taken: Option<(Duration, u64)>,
    services: Vec<ServedRun>,
    /// When the filler came that came last.
    last_came: Option<Duration>,
    /// The least share of the fillers' images that do one of the services no harm.
    pub(crate) harmless: f64,
}

#[derive(Debug)]
struct ServedRun {
    /// The place of its image in what was learned, if it was seen.
    image: Option<usize>,
    /// By how much its load is expected above the one at its target.
    excess: f64,
    /// By how much it is expected to exceed its target, in spreads.
    overshoot: f64,
}

/// What an image that fills does to each image that serves, by its place in what was learned.
#[derive(Debug, Default)]
pub(crate) struct FillerProfile {
    /// The effect, at all processors, and whether it is known.
    pub(crate) effects: Vec<(f64, bool)>,
}

impl ServiceView {
    /// Tells whether it still shows a worker as it is.
    pub(crate) fn is_fresh(&self, worker: &WorkerState, now: Duration) -> bool {
        self.taken
            .is_some_and(|(at, version)| version == worker.version && now < at + FRESH)
    }

    /// Looks at a worker's services.
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

    /// Tells whether another newcomer's effect is not seen yet, and it is not known what this filler does to one of the
    /// services: one unknown at a time.
    pub(crate) fn is_learning(&self, filler: &FillerProfile, now: Duration) -> bool {
        self.has_newcomer(UNSEEN, now) && self.services.iter().any(|service| !filler.knows(service))
    }

    /// Tells whether a filler came within this time.
    pub(crate) fn has_newcomer(&self, within: Duration, now: Duration) -> bool {
        self.last_came.is_some_and(|at| now < at + within)
    }

    /// Returns by how much more, in spreads, services would exceed their targets beside a filler on this share of the
    /// processors. Of a service that is expected above its target already all that is added counts: by the chance alone,
    /// which is next to certain with and without the filler, it would be the best place of all.
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
    /// Gathers what is known of an image.
    pub(crate) fn new(harm: &HarmModel, image: Option<&Arc<str>>) -> Self {
        image.map_or_else(Self::default, |image| harm.profile(image))
    }

    fn effect(&self, service: &ServedRun) -> f64 {
        self.pair(service).map_or(0.0, |(effect, _)| effect)
    }

    fn knows(&self, service: &ServedRun) -> bool {
        self.pair(service).is_some_and(|(_, known)| known)
    }

    fn pair(&self, service: &ServedRun) -> Option<(f64, bool)> {
        self.effects.get(service.image?).copied()
    }
}

/// Returns by how much, in spreads, a load turns out above a limit on average, if this excess over it is expected.
fn expected_overshoot(excess: f64) -> f64 {
    let spreads = excess / SPREAD;
    if spreads > CERTAIN {
        spreads
    } else {
        spreads.exp().ln_1p()
    }
}
