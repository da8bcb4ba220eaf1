//! The settings of a stand-in worker.

use std::time::Duration;

use crate::InterferenceModel;

/// What happens to the checkpoints on a stand-in worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CheckpointMode {
    /// They are saved.
    #[default]
    Saved,
    /// They can't be saved, and the worker reports an error.
    Fails,
    /// The worker reports them as saved, but a run that resumes from one starts from the beginning.
    Lost,
}

/// The settings of a stand-in worker. The faults of its calls are set by a [`FaultPlan`](crate::FaultPlan).
#[derive(Clone, Debug)]
pub struct WorkerSettings {
    /// Whether every task fails soon after its start.
    pub fails_every_task: bool,
    /// What happens to checkpoints.
    pub checkpoints: CheckpointMode,
    /// How much tasks slow each other down.
    pub interference: InterferenceModel,
    /// The load, in thousandths. It scales the interference.
    pub load_millis: u32,
    /// The time between two measurements of a run's resource usage.
    pub usage_period: Duration,
    /// The minimum and the maximum delay between a measurement and its report.
    pub usage_lag: (Duration, Duration),
}

impl Default for WorkerSettings {
    fn default() -> Self {
        Self {
            fails_every_task: false,
            checkpoints: CheckpointMode::Saved,
            interference: InterferenceModel::new(),
            load_millis: 1000,
            usage_period: Duration::from_secs(5),
            usage_lag: (Duration::from_secs(5), Duration::from_secs(30)),
        }
    }
}
