//! A job as it is submitted.

use std::time::Duration;

use jasminebend_base::{
    ClassName,
    ResourceAmount,
    TeamName, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// A job as it is submitted: equal tasks of one class. The class's target says when it must be done.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team whose quota it counts against.
    pub team: TeamName,
    /// The class, as the configuration declares it.
    pub class: ClassName,
    /// The number of tasks.
    pub tasks: u32,
    /// What each task is declared to need.
    pub size: ResourceAmount,
    /// What the tasks run; the workers' own business.
    pub payload: String,
    /// How long a task is declared to run; learned from the class's runs when absent.
    #[serde(default, with = "humantime_serde::option")]
    pub run_time: Option<Duration>,
    /// A key of the submitter's: submissions with the same team and key are one job.
    #[serde(default)]
    pub key: Option<String>,
}
