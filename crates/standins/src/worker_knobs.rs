//! How a stand-in worker misbehaves.

use std::time::Duration;

use crate::InterferenceModel;

/// What becomes of a checkpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CheckpointMode {
    /// It is kept.
    #[default]
    Kept,
    /// It can't be kept, and the worker says so.
    Fails,
    /// The worker says that it is kept, but a run that resumes from it starts from the beginning.
    Lost,
}

/// How a stand-in worker behaves, beyond the faults of its calls.
#[derive(Clone, Debug)]
pub struct WorkerKnobs {
    /// Every task fails soon after its start.
    pub fails_every_task: bool,
    /// What becomes of checkpoints.
    pub checkpoints: CheckpointMode,
    /// How tasks slow each other.
    pub interference: InterferenceModel,
    /// The load of the moment, in thousandths: it scales the interference.
    pub load_millis: u32,
    /// How often each run is measured.
    pub usage_period: Duration,
    /// The least and the most that a measurement lags.
    pub usage_lag: (Duration, Duration),
}

impl Default for WorkerKnobs {
    fn default() -> Self {
        Self {
            fails_every_task: false,
            checkpoints: CheckpointMode::Kept,
            interference: InterferenceModel::new(),
            load_millis: 1000,
            usage_period: Duration::from_secs(5),
            usage_lag: (Duration::from_secs(5), Duration::from_secs(30)),
        }
    }
}
