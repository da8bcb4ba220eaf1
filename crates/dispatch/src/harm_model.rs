//! What is learned of how fillers slow services.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    LearnedEffect,
    LearnedRecord,
    LearnedService,
    load_track::LoadTrack,
    service_view::FillerProfile, //
};

/// By how much the variance of an effect grows with each observation of its service: pairs stay as they are for long.
const DRIFT: f64 = 0.00002;
/// The variance under which an effect is known well enough to place more by it.
const KNOWN: f64 = 0.25;
/// The variance of an effect that is not known yet.
const UNKNOWN_EFFECT: f64 = 1.0;
/// The variance of one observation, at first, at least and at most.
const FIRST_NOISE: f64 = 0.004;
const LEAST_NOISE: f64 = 0.0015;
const MOST_NOISE: f64 = 0.03;
/// How much of the noise that was seen is kept with each observation.
const NOISE_KEPT: f64 = 0.99;
/// An observation teaches as if it were off by no more than this many deviations.
const LARGEST_ERROR: f64 = 3.0;
/// The load from which on a tail tells no more than that it is at least so high.
const SATURATED: f64 = 0.93;
/// The lowest effect that is believed: fillers speed nothing up, but figures are rough.
const LEAST_EFFECT: f64 = -0.2;
/// The largest effect that is believed, for a filler on all processors.
const LARGEST_EFFECT: f64 = 5.0;
/// The effect of an image on all processors from which on it counts as harmful: a tenth of them costs a service
/// a twentieth of its load.
const HARMFUL: f64 = 0.5;
/// The share of the least tail seen that a service without any load is taken to have.
const IDLE_SHARE: f64 = 0.8;
/// The least tail, as a share of the target, before any was seen.
const FIRST_LEAST: f64 = 0.3;

/// A filler's presence beside a service.
#[derive(Clone, Debug)]
pub(crate) struct FillerPresence {
    /// What it runs.
    pub(crate) image: Arc<str>,
    /// The share of the worker's processors that it uses.
    pub(crate) share: f64,
    /// How much of the time that the services' figures are of it was there, as a share.
    pub(crate) seen: f64,
}

/// What is learned of how fillers slow services.
///
/// A service's tail grows as that of a queue: what it is without any load, divided by what its load leaves
/// free. So a tail tells a load, and loads add up: the service's own, which its step's tasks share, plus, for
/// each image that fills beside it, an effect times the share of the processors that this one uses. Most
/// pairs do little harm, and some do much.
#[derive(Debug, Default)]
pub(crate) struct HarmModel {
    services: IndexMap<Arc<str>, ServiceModel>,
}

/// What is learned of one image that serves.
#[derive(Debug)]
struct ServiceModel {
    /// The least tail seen, as a share of the target.
    least: f64,
    fillers: IndexMap<Arc<str>, PairEffect>,
    /// The variance of one observation.
    noise: f64,
    /// The share of the images that do it no harm.
    harmless: f64,
}

/// By how much a filler on all processors raises a service's load.
#[derive(Clone, Copy, Debug)]
struct PairEffect {
    mean: f64,
    variance: f64,
}

impl HarmModel {
    /// Returns the load that a tail tells of, as a share of its target.
    pub(crate) fn load(&mut self, service: &Arc<str>, ratio: f64) -> f64 {
        let model = self.model(service);
        if ratio > 0.0 {
            model.least = model.least.min(ratio);
        }
        model.load(ratio)
    }

    /// Returns the load at which a service's tail is at this share of its target.
    pub(crate) fn limit(&self, service: &Arc<str>, ratio: f64) -> f64 {
        self.services.get(service).map_or_else(
            || ServiceModel::new().load(ratio),
            |model| model.load(ratio),
        )
    }

    /// Learns from a service's load beside this company what each of these does, and how its own load, which is
    /// expected on `track`, is.
    pub(crate) fn learn(
        &mut self,
        service: &Arc<str>,
        company: &[FillerPresence],
        track: &mut LoadTrack,
        load: f64,
    ) {
        self.model(service).learn(company, track, load);
    }

    /// Tells whether it is known what a filler does to a service.
    pub(crate) fn knows(&self, service: &Arc<str>, filler: &Arc<str>) -> bool {
        let model = self.services.get(service);
        model
            .and_then(|model| model.fillers.get(filler))
            .is_some_and(PairEffect::is_known)
    }

    /// Returns what an image that fills does to each image that serves.
    pub(crate) fn profile(&self, filler: &Arc<str>) -> FillerProfile {
        let pairs = self.services.values().map(|model| {
            let pair = model.fillers.get(filler);
            pair.map_or((0.0, false), |pair| (pair.believed(), pair.is_known()))
        });
        FillerProfile {
            effects: pairs.collect(),
        }
    }

    /// Returns the place of an image that serves in a profile.
    pub(crate) fn place_of(&self, service: &Arc<str>) -> Option<usize> {
        self.services.get_index_of(service)
    }

    /// Returns by how much a filler raises a service's load; 0 while that is not known.
    pub(crate) fn effect(&self, service: &Arc<str>, filler: &Arc<str>, share: f64) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |model| model.effect(filler) * share)
    }

    /// Returns the share of the fillers' images, as far as they were seen beside a service, that do it no harm.
    pub(crate) fn harmless_share(&self, service: &Arc<str>) -> f64 {
        self.services
            .get(service)
            .map_or(1.0, |model| model.harmless)
    }

    /// Returns what a successor is to know.
    pub(crate) fn record(&self) -> LearnedRecord {
        let services = self.services.iter();
        LearnedRecord {
            services: services.map(|(image, model)| model.record(image)).collect(),
        }
    }

    /// Begins with what a former owner has learned.
    pub(crate) fn restore(&mut self, record: &LearnedRecord) {
        for service in &record.services {
            self.services.insert(
                service.image.as_str().into(),
                ServiceModel::restored(service),
            );
        }
    }

    fn model(&mut self, service: &Arc<str>) -> &mut ServiceModel {
        self.services
            .entry(Arc::clone(service))
            .or_insert_with(ServiceModel::new)
    }
}

impl ServiceModel {
    fn new() -> Self {
        Self {
            least: FIRST_LEAST,
            fillers: IndexMap::new(),
            noise: FIRST_NOISE,
            harmless: 1.0,
        }
    }

    fn restored(record: &LearnedService) -> Self {
        let mut model = Self::new();
        model.least = f64::from(record.least);
        model.noise = f64::from(record.noise).clamp(LEAST_NOISE, MOST_NOISE);
        for (image, effect) in &record.fillers {
            let pair = PairEffect {
                mean: f64::from(effect.mean),
                variance: f64::from(effect.variance),
            };
            model.fillers.insert(image.as_str().into(), pair);
        }
        model.harmless = model.count_harmless();
        model
    }

    fn record(&self, image: &Arc<str>) -> LearnedService {
        let fillers = self.fillers.iter();
        LearnedService {
            image: image.to_string(),
            // CAST: Figures around 1, rough already.
            least: self.least as f32,
            // CAST: As above.
            noise: self.noise as f32,
            fillers: fillers
                .map(|(filler, pair)| (filler.to_string(), pair.record()))
                .collect(),
        }
    }

    fn load(&self, ratio: f64) -> f64 {
        let idle = self.least * IDLE_SHARE;
        1.0 - idle / ratio.max(idle)
    }

    fn effect(&self, filler: &Arc<str>) -> f64 {
        self.fillers.get(filler).map_or(0.0, PairEffect::believed)
    }

    fn learn(&mut self, company: &[FillerPresence], track: &mut LoadTrack, measured: f64) {
        let mut shares: IndexMap<&Arc<str>, f64> = IndexMap::new();
        let mut doubt = track.variance();
        for filler in company {
            *shares.entry(&filler.image).or_insert(0.0) += filler.share * filler.seen;
            // Of what came or went within the figures' time it is only roughly known how much they show.
            let rough = filler.seen * (1.0 - filler.seen);
            let effect = self
                .fillers
                .get(&filler.image)
                .map_or(1.0, |pair| pair.mean);
            doubt += (effect * filler.share * rough).powi(2);
        }
        let mut expected = track.load();
        for (image, share) in &shares {
            let pair = self
                .fillers
                .entry(Arc::clone(image))
                .or_insert_with(PairEffect::unknown);
            expected += pair.mean * share;
            doubt += pair.variance * share * share;
        }
        if measured > SATURATED && expected > measured {
            return;
        }
        let total = doubt + self.noise;
        let difference = measured - expected;
        let most = LARGEST_ERROR * total.sqrt();
        let difference = difference.clamp(-most, most);
        self.noise = (self.noise * NOISE_KEPT
            + (difference * difference - doubt).max(0.0) * (1.0 - NOISE_KEPT))
            .clamp(LEAST_NOISE, MOST_NOISE);
        track.correct(difference, total);
        for (image, share) in shares {
            if let Some(pair) = self.fillers.get_mut(image) {
                pair.correct(share, difference, total);
            }
        }
        self.harmless = self.count_harmless();
    }

    fn count_harmless(&self) -> f64 {
        let images = self.fillers.len().max(1) as f64;
        let harmful = self
            .fillers
            .values()
            .filter(|pair| pair.believed() > HARMFUL);
        1.0 - harmful.count() as f64 / images
    }
}

impl PairEffect {
    fn unknown() -> Self {
        Self {
            mean: 0.0,
            variance: UNKNOWN_EFFECT,
        }
    }

    fn is_known(&self) -> bool {
        self.variance < KNOWN
    }

    /// Returns the effect as far as it is more than chance: what is no more would add up over many fillers.
    fn believed(&self) -> f64 {
        if self.mean * self.mean > self.variance {
            self.mean.clamp(0.0, LARGEST_EFFECT)
        } else {
            0.0
        }
    }

    fn correct(&mut self, share: f64, difference: f64, total: f64) {
        let gain = self.variance * share / total;
        self.mean = (self.mean + gain * difference).clamp(LEAST_EFFECT, LARGEST_EFFECT);
        let left = self.variance - gain * self.variance * share;
        self.variance = (left + DRIFT).min(UNKNOWN_EFFECT);
    }

    fn record(&self) -> LearnedEffect {
        LearnedEffect {
            // CAST: Figures around 1, rough already.
            mean: self.mean as f32,
            // CAST: As above.
            variance: self.variance as f32,
        }
    }
}
