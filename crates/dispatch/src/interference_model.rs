//! Learned model of the interference of fillers with services.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    LearnedEffect,
    LearnedRecord,
    LearnedService,
    load_estimate::LoadEstimate,
    service_snapshot::FillerProfile, //
};

/// The growth of an effect's variance with each observation of its service: effects change only
/// slowly.
const EFFECT_VARIANCE_DRIFT: f64 = 0.00002;
/// The variance below which an effect counts as known, so that more fillers may be placed by it.
const KNOWN_EFFECT_VARIANCE: f64 = 0.25;
/// The variance of an effect before any observation.
const UNKNOWN_EFFECT_VARIANCE: f64 = 1.0;
/// The variance of one observation: initial value and bounds.
const INITIAL_NOISE_VARIANCE: f64 = 0.004;
const MIN_NOISE_VARIANCE: f64 = 0.0015;
const MAX_NOISE_VARIANCE: f64 = 0.03;
/// The weight of the previous noise estimate in the moving average, per observation.
const NOISE_AVERAGE_WEIGHT: f64 = 0.99;
/// The limit, in standard deviations, to which the error of an observation is clamped.
const MAX_ERROR_DEVIATIONS: f64 = 3.0;
/// The load above which a tail latency only gives a lower bound of the load.
const SATURATED_LOAD: f64 = 0.93;
/// The lower bound of an effect: fillers speed nothing up, but measurements are rough.
const MIN_EFFECT: f64 = -0.2;
/// The upper bound of the effect of a filler on all of a worker's CPU.
const MAX_EFFECT: f64 = 5.0;
/// The effect, at all of a worker's CPU, above which a filler image counts as harmful: at a tenth
/// of the CPU it adds a twentieth to a service's load.
const HARMFUL_EFFECT: f64 = 0.5;
/// The tail latency assumed of a service without load, as a share of the lowest tail observed.
const IDLE_TAIL_SHARE: f64 = 0.8;
/// The initial value of the lowest tail, as a share of the target, before any was observed.
const INITIAL_MIN_TAIL_RATIO: f64 = 0.3;

/// A filler beside a service, as far as the service's metrics reflect it.
#[derive(Clone, Debug)]
pub(crate) struct FillerPresence {
    /// The filler's image.
    pub(crate) image: Arc<str>,
    /// The share of the worker's CPU that the filler uses.
    pub(crate) share: f64,
    /// The share of the services' metrics window during which the filler ran.
    pub(crate) seen_share: f64,
}

/// Learns how much each filler image slows each service image down.
///
/// The tail latency of a service is modelled as that of a queue: the latency without load, divided
/// by the free share of its capacity. A tail latency therefore determines a load, and loads add up:
/// the service's own, shared by all tasks of its step, plus, for each filler image beside it, an
/// effect times the share of CPU that the filler uses. Most pairs of images interfere little, some
/// strongly.
#[derive(Debug, Default)]
pub(crate) struct InterferenceModel {
    /// The learned parameters by service image.
    services: IndexMap<Arc<str>, ServiceModel>,
}

/// The learned parameters of one service image.
#[derive(Debug)]
struct ServiceModel {
    /// The lowest observed tail latency, as a share of the target.
    min_tail_ratio: f64,
    /// The estimated effects by filler image.
    fillers: IndexMap<Arc<str>, EffectEstimate>,
    /// The variance of one observation of the service's load.
    noise: f64,
    /// The share of the filler images observed beside the service that do not harm it.
    harmless_share: f64,
}

/// Estimate of the load that a filler image on all of a worker's CPU adds to a service: mean and
/// variance.
#[derive(Clone, Copy, Debug)]
struct EffectEstimate {
    mean: f64,
    variance: f64,
}

impl InterferenceModel {
    /// Returns the load that a tail latency indicates; `ratio` is the tail divided by its target.
    pub(crate) fn observe_tail(&mut self, service: &Arc<str>, ratio: f64) -> f64 {
        let model = self.model(service);
        if ratio > 0.0 {
            model.min_tail_ratio = model.min_tail_ratio.min(ratio);
        }
        model.load(ratio)
    }

    /// Returns the load at which a service's tail latency is this share of its target.
    pub(crate) fn load_limit(&self, service: &Arc<str>, ratio: f64) -> f64 {
        self.services.get(service).map_or_else(
            || ServiceModel::new().load(ratio),
            |model| model.load(ratio),
        )
    }

    /// Updates the effects of `fillers_present` and `estimate`, the estimate of the service's own
    /// load, from the service's measured load.
    pub(crate) fn observe_load(
        &mut self,
        service: &Arc<str>,
        fillers_present: &[FillerPresence],
        estimate: &mut LoadEstimate,
        load: f64,
    ) {
        self.model(service)
            .observe_load(fillers_present, estimate, load);
    }

    /// Returns whether the effect of a filler image on a service image is known well enough.
    pub(crate) fn is_known(&self, service: &Arc<str>, filler: &Arc<str>) -> bool {
        let model = self.services.get(service);
        model
            .and_then(|model| model.fillers.get(filler))
            .is_some_and(EffectEstimate::is_known)
    }

    /// Returns the effects of a filler image on all service images.
    pub(crate) fn profile(&self, filler: &Arc<str>) -> FillerProfile {
        let pairs = self.services.values().map(|model| {
            let pair = model.fillers.get(filler);
            pair.map_or((0.0, false), |pair| {
                (pair.significant_mean(), pair.is_known())
            })
        });
        FillerProfile {
            effects: pairs.collect(),
        }
    }

    /// Returns the index of a service image in a [`FillerProfile`].
    pub(crate) fn service_index(&self, service: &Arc<str>) -> Option<usize> {
        self.services.get_index_of(service)
    }

    /// Returns the load that a filler on this share of the CPU adds to a service; 0 while that is
    /// not known.
    pub(crate) fn effect(&self, service: &Arc<str>, filler: &Arc<str>, share: f64) -> f64 {
        self.services
            .get(service)
            .map_or(0.0, |model| model.effect(filler) * share)
    }

    /// Returns the share of the filler images observed beside a service that do not harm it; 1 for
    /// an unknown service.
    pub(crate) fn harmless_share(&self, service: &Arc<str>) -> f64 {
        self.services
            .get(service)
            .map_or(1.0, |model| model.harmless_share)
    }

    /// Returns the model's parameters as a record for a successor.
    pub(crate) fn record(&self) -> LearnedRecord {
        let services = self.services.iter();
        LearnedRecord {
            services: services.map(|(image, model)| model.record(image)).collect(),
        }
    }

    /// Loads the parameters that a former owner has learned.
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
            min_tail_ratio: INITIAL_MIN_TAIL_RATIO,
            fillers: IndexMap::new(),
            noise: INITIAL_NOISE_VARIANCE,
            harmless_share: 1.0,
        }
    }

    fn restored(record: &LearnedService) -> Self {
        let mut model = Self::new();
        model.min_tail_ratio = f64::from(record.min_tail_ratio);
        model.noise = f64::from(record.noise).clamp(MIN_NOISE_VARIANCE, MAX_NOISE_VARIANCE);
        for (image, effect) in &record.fillers {
            let pair = EffectEstimate {
                mean: f64::from(effect.mean),
                variance: f64::from(effect.variance),
            };
            model.fillers.insert(image.as_str().into(), pair);
        }
        model.harmless_share = model.compute_harmless_share();
        model
    }

    fn record(&self, image: &Arc<str>) -> LearnedService {
        let fillers = self.fillers.iter();
        LearnedService {
            image: image.to_string(),
            // CAST: Values around 1 that are approximate anyway.
            min_tail_ratio: self.min_tail_ratio as f32,
            // CAST: As above.
            noise: self.noise as f32,
            fillers: fillers
                .map(|(filler, pair)| (filler.to_string(), pair.record()))
                .collect(),
        }
    }

    /// Returns the load that a ratio of tail latency to target indicates.
    fn load(&self, ratio: f64) -> f64 {
        let idle = self.min_tail_ratio * IDLE_TAIL_SHARE;
        1.0 - idle / ratio.max(idle)
    }

    /// Returns the effect of a filler image on all of a worker's CPU; 0 while it is not
    /// significant.
    fn effect(&self, filler: &Arc<str>) -> f64 {
        self.fillers
            .get(filler)
            .map_or(0.0, EffectEstimate::significant_mean)
    }

    fn observe_load(
        &mut self,
        fillers_present: &[FillerPresence],
        estimate: &mut LoadEstimate,
        measured: f64,
    ) {
        let mut shares: IndexMap<&Arc<str>, f64> = IndexMap::new();
        let mut expected_variance = estimate.variance();
        for filler in fillers_present {
            *shares.entry(&filler.image).or_insert(0.0) += filler.share * filler.seen_share;
            // For fillers that started or ended within the metrics window, the share that the
            // metrics reflect is only roughly known.
            let uncertain_share = filler.seen_share * (1.0 - filler.seen_share);
            let effect = self
                .fillers
                .get(&filler.image)
                .map_or(1.0, |pair| pair.mean);
            expected_variance += (effect * filler.share * uncertain_share).powi(2);
        }
        let mut expected = estimate.load();
        for (image, share) in &shares {
            let pair = self
                .fillers
                .entry(Arc::clone(image))
                .or_insert_with(EffectEstimate::unknown);
            expected += pair.mean * share;
            expected_variance += pair.variance * share * share;
        }
        if measured > SATURATED_LOAD && expected > measured {
            return;
        }
        let total = expected_variance + self.noise;
        let difference = measured - expected;
        let bound = MAX_ERROR_DEVIATIONS * total.sqrt();
        let difference = difference.clamp(-bound, bound);
        self.noise = (self.noise * NOISE_AVERAGE_WEIGHT
            + (difference * difference - expected_variance).max(0.0)
                * (1.0 - NOISE_AVERAGE_WEIGHT))
            .clamp(MIN_NOISE_VARIANCE, MAX_NOISE_VARIANCE);
        estimate.correct(difference, total);
        for (image, share) in shares {
            if let Some(pair) = self.fillers.get_mut(image) {
                pair.correct(share, difference, total);
            }
        }
        self.harmless_share = self.compute_harmless_share();
    }

    /// Returns the share of the filler images that do not harm the service.
    fn compute_harmless_share(&self) -> f64 {
        let images = self.fillers.len().max(1) as f64;
        let harmful = self
            .fillers
            .values()
            .filter(|pair| pair.significant_mean() > HARMFUL_EFFECT);
        1.0 - harmful.count() as f64 / images
    }
}

impl EffectEstimate {
    fn unknown() -> Self {
        Self {
            mean: 0.0,
            variance: UNKNOWN_EFFECT_VARIANCE,
        }
    }

    /// Returns whether the estimate is precise enough to place fillers by it.
    fn is_known(&self) -> bool {
        self.variance < KNOWN_EFFECT_VARIANCE
    }

    /// Returns the mean if it is statistically significant, else 0: insignificant effects would add
    /// up over many fillers.
    fn significant_mean(&self) -> f64 {
        if self.mean * self.mean > self.variance {
            self.mean.clamp(0.0, MAX_EFFECT)
        } else {
            0.0
        }
    }

    /// Updates the estimate by a Kalman filter step: `difference` is the error of the predicted
    /// load and `total` its variance.
    fn correct(&mut self, share: f64, difference: f64, total: f64) {
        let gain = self.variance * share / total;
        self.mean = (self.mean + gain * difference).clamp(MIN_EFFECT, MAX_EFFECT);
        let left = self.variance - gain * self.variance * share;
        self.variance = (left + EFFECT_VARIANCE_DRIFT).min(UNKNOWN_EFFECT_VARIANCE);
    }

    fn record(&self) -> LearnedEffect {
        LearnedEffect {
            // CAST: Values around 1 that are approximate anyway.
            mean: self.mean as f32,
            // CAST: As above.
            variance: self.variance as f32,
        }
    }
}
