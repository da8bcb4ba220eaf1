//! What is learned of how fillers slow services.

use std::sync::Arc;

use indexmap::IndexMap;

use crate::{
    LearnedEffect,
    LearnedRecord,
    LearnedService, //
};

/// How much an observation's weight falls with each later one of its service. At some 100 a second what
/// was seen 20 s ago weighs a third. The pairs stay as they are for long; what changes within seconds is
/// the services' load.
const KEPT: f64 = 0.9995;
/// The variance under which an effect is known well enough to place more by it.
const KNOWN: f64 = 0.25;
/// The variance of what is not known yet: of a service's own load, and of a filler's effect.
const UNKNOWN_LEVEL: f64 = 0.25;
const UNKNOWN_EFFECT: f64 = 1.0;
/// The variance of one observation: a service's own load swings by a fifth.
const NOISE: f64 = 0.03;
/// An observation teaches as if it were off by no more than this.
const LARGEST_ERROR: f64 = 0.6;
/// The largest effect that is believed, for a filler on all processors.
const LARGEST_EFFECT: f64 = 5.0;
/// The effect of an image on all processors from which on it counts as harmful: a tenth of them costs a service
/// a twentieth of its load.
const HARMFUL: f64 = 0.5;
/// The load that a service is taken to have before it was seen.
const USUAL_LEVEL: f64 = 0.4;
/// The share of the least tail seen that a service without any load is taken to have.
const IDLE_SHARE: f64 = 0.8;
/// The least tail, as a share of the target, before any was seen.
const FIRST_LEAST: f64 = 0.3;

/// A filler's presence: its image and the share of the worker's processors that it uses.
pub(crate) type Presence<'a> = (&'a Arc<str>, f64);

/// What is learned of how fillers slow services.
///
/// A service's tail grows as that of a queue: what it is without any load, divided by what its load leaves
/// free. So a tail tells a load, and loads add up: for each image that serves, a level of its own plus, for
/// each image that fills beside it, an effect times the share of the processors that this one uses. Most
/// pairs do little harm, and some do much.
#[derive(Debug, Default)]
pub(crate) struct HarmModel {
    services: IndexMap<Arc<str>, ServiceModel>,
}

/// A regression by recursive least squares with forgetting.
#[derive(Debug)]
struct ServiceModel {
    /// The least tail seen, as a share of the target.
    least: f64,
    features: IndexMap<Arc<str>, usize>,
    means: Vec<f64>,
    covariance: Vec<Vec<f64>>,
    /// The share of the images that do it no harm.
    harmless: f64,
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

    /// Learns from a service's load beside this company.
    pub(crate) fn learn(&mut self, service: &Arc<str>, company: &[Presence<'_>], load: f64) {
        self.model(service).learn(company, load);
    }

    /// Tells whether it is known what a filler does to a service.
    pub(crate) fn knows(&self, service: &Arc<str>, filler: &Arc<str>) -> bool {
        self.services.get(service).is_some_and(|model| {
            let index = model.features.get(filler);
            index.is_some_and(|&index| model.covariance[index][index] < KNOWN)
        })
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
            features: IndexMap::new(),
            means: vec![USUAL_LEVEL],
            covariance: vec![vec![UNKNOWN_LEVEL]],
            harmless: 1.0,
        }
    }

    fn restored(record: &LearnedService) -> Self {
        let mut model = Self::new();
        model.least = f64::from(record.least);
        model.set(0, record.level);
        for (image, effect) in &record.fillers {
            let index = model.feature(&image.as_str().into());
            model.set(index, *effect);
        }
        model.harmless = model.count_harmless();
        model
    }

    fn set(&mut self, index: usize, effect: LearnedEffect) {
        self.means[index] = f64::from(effect.mean);
        self.covariance[index][index] = f64::from(effect.variance);
    }

    fn record(&self, image: &Arc<str>) -> LearnedService {
        let fillers = self.features.iter();
        LearnedService {
            image: image.to_string(),
            // CAST: Figures around 1, rough already.
            least: self.least as f32,
            level: self.learned(0),
            fillers: fillers
                .map(|(filler, &index)| (filler.to_string(), self.learned(index)))
                .collect(),
        }
    }

    fn learned(&self, index: usize) -> LearnedEffect {
        LearnedEffect {
            // CAST: Figures around 1, rough already.
            mean: self.means[index] as f32,
            // CAST: As above.
            variance: self.covariance[index][index] as f32,
        }
    }

    fn load(&self, ratio: f64) -> f64 {
        let idle = self.least * IDLE_SHARE;
        1.0 - idle / ratio.max(idle)
    }

    fn effect(&self, filler: &Arc<str>) -> f64 {
        let Some(&index) = self.features.get(filler) else {
            return 0.0;
        };
        let mean = self.means[index];
        // What is no more than chance would add up over many fillers.
        let known = mean * mean > self.covariance[index][index];
        if known {
            mean.clamp(0.0, LARGEST_EFFECT)
        } else {
            0.0
        }
    }

    fn learn(&mut self, company: &[Presence<'_>], measured: f64) {
        let mut features = vec![(0, 1.0)];
        for (image, share) in company {
            features.push((self.feature(image), *share));
        }
        let predicted: f64 = features.iter().map(|(at, x)| self.means[*at] * x).sum();
        let error = (measured - predicted).clamp(-LARGEST_ERROR, LARGEST_ERROR);
        let spread: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| features.iter().map(|(at, x)| row[*at] * x).sum())
            .collect();
        let total: f64 = features.iter().map(|(at, x)| spread[*at] * x).sum::<f64>() + NOISE;
        for (mean, spread) in self.means.iter_mut().zip(&spread) {
            *mean += spread / total * error;
        }
        for (row, gain) in self.covariance.iter_mut().zip(&spread) {
            for (cell, other) in row.iter_mut().zip(&spread) {
                *cell -= gain * other / total;
            }
        }
        self.forget();
        self.harmless = self.count_harmless();
    }

    fn count_harmless(&self) -> f64 {
        let images = self.features.len().max(1) as f64;
        let harmful = self
            .features
            .keys()
            .filter(|image| self.effect(image) > HARMFUL);
        1.0 - harmful.count() as f64 / images
    }

    /// Lets what was learned fade, up to not knowing it.
    fn forget(&mut self) {
        for (index, row) in self.covariance.iter_mut().enumerate() {
            let most = if index == 0 {
                UNKNOWN_LEVEL
            } else {
                UNKNOWN_EFFECT
            };
            let grown = (row[index] / KEPT).min(most);
            row[index] = grown;
        }
    }

    fn feature(&mut self, image: &Arc<str>) -> usize {
        if let Some(&index) = self.features.get(image) {
            return index;
        }
        let index = self.means.len();
        self.features.insert(Arc::clone(image), index);
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; index + 1];
        row[index] = UNKNOWN_EFFECT;
        self.covariance.push(row);
        self.means.push(0.0);
        index
    }
}
