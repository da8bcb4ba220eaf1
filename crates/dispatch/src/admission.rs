//! Admission decisions and pending grants.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::JobKey;

/// The lifetime of a grant for a job that is not on record yet.
const GRANT_TTL: Duration = Duration::from_secs(10);

/// Admission decision for a job.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Admission {
    /// The job may be accepted.
    Granted,
    /// The job is rejected: it would take CPU that short tasks need.
    Refused(CpuShortage),
}

/// Reason for the rejection of a long-running job: the CPU that is missing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CpuShortage {
    /// The CPU that the job requests, in millicores.
    #[serde(rename = "demand")]
    pub requested: u64,
    /// The CPU that is not promised to long-running tasks, in millicores.
    #[serde(rename = "room")]
    pub available: u64,
    /// The part of this CPU that short tasks need, in millicores.
    #[serde(rename = "short_need")]
    pub short_task_need: u64,
    /// The time after which there should be enough CPU, counted from the decision.
    #[serde(rename = "back")]
    pub retry_after: Duration,
}

/// Grants of long-running jobs that are not known to be on record yet.
#[derive(Debug, Default)]
pub(crate) struct AdmissionGrants {
    /// The granted CPU in millicores and the expiry of each grant.
    grants: IndexMap<JobKey, (u64, Duration)>,
}

impl AdmissionGrants {
    /// Records a grant of this CPU, in millicores.
    pub(crate) fn grant(&mut self, key: JobKey, demand: u64, now: Duration) {
        self.grants.insert(key, (demand, now + GRANT_TTL));
    }

    /// Removes the grant of a job that is on record.
    pub(crate) fn remove(&mut self, key: JobKey) {
        self.grants.swap_remove(&key);
    }

    /// Returns whether a job has an unexpired grant.
    pub(crate) fn contains(&self, key: JobKey, now: Duration) -> bool {
        self.grants.get(&key).is_some_and(|(_, until)| now < *until)
    }

    /// Removes expired grants and returns the CPU of the others, in millicores.
    pub(crate) fn total(&mut self, now: Duration) -> u64 {
        self.grants.retain(|_, (_, until)| now < *until);
        let granted = self.grants.values().map(|(demand, _)| *demand);
        granted.fold(0, u64::saturating_add)
    }
}
