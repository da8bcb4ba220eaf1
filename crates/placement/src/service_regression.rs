//! What is learned of one service.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ClassKey;

/// The variance, before it is measured, of what a service has alone, of what a class adds to it, all
/// as logarithms of latency over target, and that of one measurement. Most classes add next to
/// nothing: were both alike, what a service has alone would be spread over its usual company.
const UNKNOWN_OWN: f64 = 1.0;
const UNKNOWN_CLASS: f64 = 0.05;
const NOISE: f64 = 0.02;
/// A measurement teaches as if it were off by no more than this, since one stall of a VM should not
/// condemn its company.
const ERROR_LIMIT: f64 = 1.5;
const EFFECT_LIMIT: f64 = 4.0;
/// The features that are no class: one, and the load.
const OWN_FEATURES: usize = 2;

/// A linear regression of a service's latency, by recursive least squares: the logarithm of latency
/// over target is taken as what the service has alone, growing with its load, plus one term for each
/// class beside it, growing with the load and, ever less, with the number of its tasks. The whole
/// covariance is kept: classes that always came together share the blame until they come apart.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ServiceRegression {
    /// The feature of each class by its key, zero for none.
    features: Vec<usize>,
    means: Vec<f64>,
    covariance: Vec<Vec<f64>>,
}

impl ServiceRegression {
    pub(crate) fn new() -> Self {
        let mut regression = Self {
            features: Vec::new(),
            means: Vec::new(),
            covariance: Vec::new(),
        };
        for _ in 0..OWN_FEATURES {
            regression.add_feature();
        }
        regression
    }

    /// Learns from a measurement with this company, in tasks at full speed.
    pub(crate) fn learn(&mut self, load: f64, company: &[(ClassKey, f64)], measured: f64) {
        let features = self.features(load, company);
        let predicted: f64 = dot(&self.means, &features);
        let error = (measured - predicted).clamp(-ERROR_LIMIT, ERROR_LIMIT);
        let spread: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| dot(row, &features))
            .collect();
        let total = dot(&spread, &features) + NOISE;
        for (mean, spread) in self.means.iter_mut().zip(&spread) {
            *mean += spread / total * error;
        }
        for (row, gain) in self.covariance.iter_mut().zip(&spread) {
            for (cell, other) in row.iter_mut().zip(&spread) {
                *cell -= gain * other / total;
            }
        }
    }

    /// Returns the logarithm of the latency over the target without company, as far as it is known.
    pub(crate) fn alone(&self, load: f64) -> f64 {
        let own = [(0, 1.0), (1, load)];
        let rows = self.covariance[..OWN_FEATURES].iter();
        let spread: Vec<f64> = rows.map(|row| dot(row, &own)).collect();
        match dot(&spread, &own) < UNKNOWN_OWN / 2.0 {
            true => dot(&self.means, &own),
            false => f64::NEG_INFINITY,
        }
    }

    /// Returns what one task of a class adds at full load; zero while that is not known, or is no more
    /// than chance: a dozen harmless classes would add up to a bad one.
    pub(crate) fn effect(&self, class: ClassKey) -> f64 {
        match self.feature_of(class) {
            // No class makes a service faster.
            Some(index) if self.knows(index) && self.stands_out(index) => {
                self.means[index].clamp(0.0, EFFECT_LIMIT)
            }
            _ => 0.0,
        }
    }

    fn stands_out(&self, index: usize) -> bool {
        let mean = self.means[index];
        mean * mean > self.covariance[index][index]
    }

    /// Tells whether the effect of a class is known better than by a first guess.
    pub(crate) fn knows_class(&self, class: ClassKey) -> bool {
        self.feature_of(class)
            .is_some_and(|index| self.knows(index))
    }

    /// Forgets a little: what is not measured any more nears no effect and not knowing.
    pub(crate) fn forget(&mut self, kept: f64) {
        for (index, row) in self.covariance.iter_mut().enumerate() {
            row.iter_mut().for_each(|cell| *cell *= kept);
            row[index] += unknown(index) * (1.0 - kept);
        }
        for mean in &mut self.means[OWN_FEATURES..] {
            *mean *= kept;
        }
    }

    fn features(&mut self, load: f64, company: &[(ClassKey, f64)]) -> Vec<(usize, f64)> {
        let mut features = vec![(0, 1.0), (1, load)];
        for (class, tasks) in company {
            let feature = self.feature_for(*class);
            features.push((feature, load * weight_of(*tasks)));
        }
        features
    }

    fn feature_for(&mut self, class: ClassKey) -> usize {
        let key = usize::from(class.0);
        if self.features.len() <= key {
            self.features.resize(key + 1, 0);
        }
        if self.features[key] == 0 {
            self.features[key] = self.means.len();
            self.add_feature();
        }
        self.features[key]
    }

    fn add_feature(&mut self) {
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; self.means.len() + 1];
        row[self.means.len()] = unknown(self.means.len());
        self.covariance.push(row);
        self.means.push(0.0);
    }

    fn feature_of(&self, class: ClassKey) -> Option<usize> {
        let feature = *self.features.get(usize::from(class.0))?;
        (feature > 0).then_some(feature)
    }

    fn knows(&self, index: usize) -> bool {
        self.covariance[index][index] < unknown(index) / 2.0
    }
}

fn unknown(feature: usize) -> f64 {
    match feature < OWN_FEATURES {
        true => UNKNOWN_OWN,
        false => UNKNOWN_CLASS,
    }
}

fn dot(values: &[f64], features: &[(usize, f64)]) -> f64 {
    let terms = features
        .iter()
        .map(|(index, weight)| values[*index] * weight);
    terms.sum()
}

/// Returns how much several tasks of a class count: each one more counts for less.
pub(crate) fn weight_of(tasks: f64) -> f64 {
    (1.0 + tasks).log2()
}
