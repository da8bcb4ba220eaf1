//! The learned model of one service's latency.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ClassKey;

/// The prior variance of the coefficients of a service's own latency. All variances here are of the
/// natural logarithm of latency over target.
const OWN_PRIOR_VARIANCE: f64 = 1.0;
/// The prior variance of the effect of a class. It is smaller because most classes add next to
/// nothing: with equal priors, a part of a service's own latency would be attributed to the classes
/// that usually run beside it.
const CLASS_PRIOR_VARIANCE: f64 = 0.05;
/// The variance of one measurement.
const MEASUREMENT_VARIANCE: f64 = 0.02;
/// The limit to the prediction error that is learned from one measurement, so that a single stall
/// of a VM does not mark the classes on it as harmful.
const MAX_LOG_ERROR: f64 = 1.5;
/// The limit to the effect of one task of a class.
const MAX_LOG_EFFECT: f64 = 4.0;
/// The number of features that stand for no class: the constant 1, and the load.
const OWN_FEATURE_COUNT: usize = 2;

/// A linear regression of a service's latency by recursive least squares. It models the logarithm
/// of latency over target as the service's own part, linear in its load, plus one term for each
/// other class on the worker, proportional to the load and to [`task_count_weight`] of the number
/// of tasks. The full covariance matrix is kept, so that classes that were always measured together
/// share the effect until one is measured without the other.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct LatencyRegression {
    /// The index of each class's feature, by the key of the class; zero if the class has none.
    #[serde(rename = "features")]
    feature_by_class: Vec<usize>,
    /// The estimated coefficient of each feature.
    means: Vec<f64>,
    /// The covariance matrix of the coefficients.
    covariance: Vec<Vec<f64>>,
}

impl LatencyRegression {
    pub(crate) fn new() -> Self {
        let mut regression = Self {
            feature_by_class: Vec::new(),
            means: Vec::new(),
            covariance: Vec::new(),
        };
        for _ in 0..OWN_FEATURE_COUNT {
            regression.add_feature();
        }
        regression
    }

    /// Learns from a measured logarithm of latency over target. `task_counts` holds the other
    /// classes on the worker, each with its number of tasks as if at full speed.
    pub(crate) fn learn(&mut self, load: f64, task_counts: &[(ClassKey, f64)], measured: f64) {
        let features = self.feature_vector(load, task_counts);
        let predicted: f64 = dot(&self.means, &features);
        let prediction_error = (measured - predicted).clamp(-MAX_LOG_ERROR, MAX_LOG_ERROR);
        let feature_covariances: Vec<f64> = self
            .covariance
            .iter()
            .map(|row| dot(row, &features))
            .collect();
        let innovation_variance = dot(&feature_covariances, &features) + MEASUREMENT_VARIANCE;
        for (mean, covariance) in self.means.iter_mut().zip(&feature_covariances) {
            *mean += covariance / innovation_variance * prediction_error;
        }
        for (row, gain) in self.covariance.iter_mut().zip(&feature_covariances) {
            for (cell, other) in row.iter_mut().zip(&feature_covariances) {
                *cell -= gain * other / innovation_variance;
            }
        }
    }

    /// Returns the logarithm of latency over target for the service alone on a worker, or negative
    /// infinity while that is unknown.
    pub(crate) fn log_ratio_alone(&self, load: f64) -> f64 {
        let own_features = [(0, 1.0), (1, load)];
        let rows = self.covariance[..OWN_FEATURE_COUNT].iter();
        let feature_covariances: Vec<f64> = rows.map(|row| dot(row, &own_features)).collect();
        match dot(&feature_covariances, &own_features) < OWN_PRIOR_VARIANCE / 2.0 {
            true => dot(&self.means, &own_features),
            false => f64::NEG_INFINITY,
        }
    }

    /// Returns what one task of a class adds at full load to the logarithm of latency over target.
    /// Returns zero while that is unknown or not statistically significant: otherwise the noise of
    /// a dozen harmless classes would add up to the effect of a harmful one.
    pub(crate) fn effect(&self, class: ClassKey) -> f64 {
        match self.find_feature(class) {
            // No class makes a service faster, so a negative estimate is noise.
            Some(index) if self.has_learned_feature(index) && self.is_significant(index) => {
                self.means[index].clamp(0.0, MAX_LOG_EFFECT)
            }
            _ => 0.0,
        }
    }

    /// Returns whether an estimate exceeds its standard deviation.
    fn is_significant(&self, index: usize) -> bool {
        let mean = self.means[index];
        mean * mean > self.covariance[index][index]
    }

    /// Returns whether measurements have at least halved the prior variance of a class's effect.
    pub(crate) fn has_learned_class(&self, class: ClassKey) -> bool {
        self.find_feature(class)
            .is_some_and(|index| self.has_learned_feature(index))
    }

    /// Applies one step of decay, which keeps the share `kept_share`: the effects of classes that
    /// are no longer measured approach zero, and variances approach the prior variance.
    pub(crate) fn decay(&mut self, kept_share: f64) {
        for (index, row) in self.covariance.iter_mut().enumerate() {
            row.iter_mut().for_each(|cell| *cell *= kept_share);
            row[index] += prior_variance(index) * (1.0 - kept_share);
        }
        for mean in &mut self.means[OWN_FEATURE_COUNT..] {
            *mean *= kept_share;
        }
    }

    fn feature_vector(&mut self, load: f64, task_counts: &[(ClassKey, f64)]) -> Vec<(usize, f64)> {
        let mut features = vec![(0, 1.0), (1, load)];
        for (class, tasks) in task_counts {
            let feature = self.feature_or_insert(*class);
            features.push((feature, load * task_count_weight(*tasks)));
        }
        features
    }

    fn feature_or_insert(&mut self, class: ClassKey) -> usize {
        let key = usize::from(class.0);
        if self.feature_by_class.len() <= key {
            self.feature_by_class.resize(key + 1, 0);
        }
        if self.feature_by_class[key] == 0 {
            self.feature_by_class[key] = self.means.len();
            self.add_feature();
        }
        self.feature_by_class[key]
    }

    fn add_feature(&mut self) {
        for row in &mut self.covariance {
            row.push(0.0);
        }
        let mut row = vec![0.0; self.means.len() + 1];
        row[self.means.len()] = prior_variance(self.means.len());
        self.covariance.push(row);
        self.means.push(0.0);
    }

    fn find_feature(&self, class: ClassKey) -> Option<usize> {
        let feature = *self.feature_by_class.get(usize::from(class.0))?;
        (feature > 0).then_some(feature)
    }

    /// Returns whether measurements have at least halved the prior variance of a feature.
    fn has_learned_feature(&self, index: usize) -> bool {
        self.covariance[index][index] < prior_variance(index) / 2.0
    }
}

fn prior_variance(feature: usize) -> f64 {
    match feature < OWN_FEATURE_COUNT {
        true => OWN_PRIOR_VARIANCE,
        false => CLASS_PRIOR_VARIANCE,
    }
}

fn dot(values: &[f64], features: &[(usize, f64)]) -> f64 {
    let terms = features
        .iter()
        .map(|(index, weight)| values[*index] * weight);
    terms.sum()
}

/// Returns the weight of a number of tasks of one class, in which each further task counts less.
pub(crate) fn task_count_weight(tasks: f64) -> f64 {
    (1.0 + tasks).log2()
}
