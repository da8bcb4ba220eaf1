//! How much tasks on one VM slow each other.

use indexmap::IndexMap;
use jasminebend_base::ClassName;

/// How much tasks on one VM slow each other: each neighbour adds its pair's share to the time that
/// a task takes.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    pairs: IndexMap<(ClassName, ClassName), u32>,
}

impl InterferenceModel {
    /// Creates a model in which nothing slows anything.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets by how much, in thousandths, a neighbour of the class `noisy` at full speed lengthens
    /// the time that a task of the class `victim` takes.
    pub fn with_pair<Name>(mut self, victim: Name, noisy: Name, added_millis: u32) -> Self
    where
        Name: Into<ClassName>,
    {
        self.pairs
            .insert((victim.into(), noisy.into()), added_millis);
        self
    }

    /// Returns the share that a neighbour adds, as a fraction.
    pub(crate) fn added(&self, victim: &ClassName, noisy: &ClassName, speed_millis: u32) -> f64 {
        let pair = (victim.clone(), noisy.clone());
        let added = self.pairs.get(&pair).copied().unwrap_or(0);
        f64::from(added) * f64::from(speed_millis) / 1e6
    }
}
