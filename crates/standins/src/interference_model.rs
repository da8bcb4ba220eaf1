//! How much the tasks on one VM slow each other down.

use indexmap::IndexMap;
use jasminebend_base::ClassName;

/// How much the tasks on one VM slow each other down: each co-located task adds its pair's share to a task's run time.
#[derive(Clone, Debug, Default)]
pub struct InterferenceModel {
    /// For each pair of a slowed and a slowing class, the added share in thousandths at full speed.
    pairs: IndexMap<(ClassName, ClassName), u32>,
}

impl InterferenceModel {
    /// Creates a model without interference.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets by how much, in thousandths, a co-located task of the class `noisy` at full speed lengthens the run time
    /// of a task of the class `victim`.
    pub fn with_pair<Name>(mut self, victim: Name, noisy: Name, added_millis: u32) -> Self
    where
        Name: Into<ClassName>,
    {
        self.pairs
            .insert((victim.into(), noisy.into()), added_millis);
        self
    }

    /// Returns the share that a co-located task at this speed adds, as a fraction.
    pub(crate) fn added_share(
        &self,
        victim: &ClassName,
        noisy: &ClassName,
        speed_millis: u32,
    ) -> f64 {
        let pair = (victim.clone(), noisy.clone());
        let added_millis = self.pairs.get(&pair).copied().unwrap_or(0);
        f64::from(added_millis) * f64::from(speed_millis) / 1e6
    }
}
