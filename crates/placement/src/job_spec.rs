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

/// A job as it is submitted: a number of equal tasks of one class. The target of the class
/// determines by when the job must be finished.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team whose quota the job's tasks count against.
    pub team: TeamName,
    /// The name of a class that the configuration declares.
    pub class: ClassName,
    /// The number of tasks.
    pub tasks: u32,
    /// The resources that each task is declared to need.
    pub size: ResourceAmount,
    /// What the tasks run; passed to the workers without being interpreted.
    pub payload: String,
    /// How long a task is declared to run. If absent, the run time is learned from the class's
    /// runs.
    #[serde(default, with = "humantime_serde::option")]
    pub run_time: Option<Duration>,
    /// An idempotency key of the submitter: submissions with the same team and key are one job.
    #[serde(default)]
    pub key: Option<String>,
}
