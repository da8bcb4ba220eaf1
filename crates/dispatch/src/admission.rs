//! Whether a job is taken in.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::JobKey;

/// How long a grant stands for a job that is not on record yet.
const GRANT_LIFE: Duration = Duration::from_secs(10);

/// Whether a job is taken in.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Admission {
    /// It is.
    Granted,
    /// It would take the processors that short work needs.
    Refused(RoomShortage),
}

/// What is missing for a long-running job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RoomShortage {
    /// The processors that it asks for, in thousandths.
    pub demand: u64,
    /// The processors that are not promised to long-running tasks, in thousandths.
    pub room: u64,
    /// The processors that short work needs of these, in thousandths.
    pub short_need: u64,
    /// When there should be room.
    pub back: Duration,
}

/// The long-running jobs that were granted and are not known to be on record.
#[derive(Debug, Default)]
pub(crate) struct GrantLedger {
    grants: IndexMap<JobKey, (u64, Duration)>,
}

impl GrantLedger {
    pub(crate) fn grant(&mut self, key: JobKey, demand: u64, now: Duration) {
        self.grants.insert(key, (demand, now + GRANT_LIFE));
    }

    /// Drops the grant of a job that is on record.
    pub(crate) fn settle(&mut self, key: JobKey) {
        self.grants.swap_remove(&key);
    }

    pub(crate) fn holds(&self, key: JobKey, now: Duration) -> bool {
        self.grants.get(&key).is_some_and(|(_, until)| now < *until)
    }

    /// Returns the processors that are granted, in thousandths, and forgets what has lapsed.
    pub(crate) fn total(&mut self, now: Duration) -> u64 {
        self.grants.retain(|_, (_, until)| now < *until);
        let granted = self.grants.values().map(|(demand, _)| *demand);
        granted.fold(0, u64::saturating_add)
    }
}
