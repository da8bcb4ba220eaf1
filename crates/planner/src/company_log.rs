//! Which classes shared a VM lately.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use jasminebend_placement::ClassKey;

/// Measurements are at most this late; older companies are of no use.
const KEPT: Duration = Duration::from_secs(60);
/// A change of company shows in a measurement only after this time.
const SETTLED: Duration = Duration::from_secs(2);

/// Which classes shared a VM lately. A measurement is late: it tells of the company at the time when
/// it was made, and blaming that of the time when it came would learn pairs that never met.
#[derive(Debug, Default)]
pub(crate) struct CompanyLog {
    changes: VecDeque<(Duration, Vec<(ClassKey, f64)>)>,
}

impl CompanyLog {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    pub(crate) fn note(&mut self, now: Duration, company: Vec<(ClassKey, f64)>) {
        self.changes.push_back((now, company));
        while let Some((next, _)) = self.changes.get(1)
            && *next + KEPT < now
        {
            self.changes.pop_front();
        }
    }

    /// Returns the company of now.
    pub(crate) fn latest(&self) -> &[(ClassKey, f64)] {
        self.changes
            .back()
            .map_or(&[], |(_, company)| company.as_slice())
    }

    /// Returns the company at a time, `None` if it had just changed or is not known any more.
    pub(crate) fn at(&self, time: Duration) -> Option<&[(ClassKey, f64)]> {
        let found = self
            .changes
            .iter()
            .rev()
            .find(|(since, _)| *since <= time)?;
        let settled = found.0 + SETTLED <= time;
        settled.then_some(found.1.as_slice())
    }
}
