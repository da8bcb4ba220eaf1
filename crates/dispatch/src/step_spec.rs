//! One step of a job: equal tasks.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::ResourceAmount;
use serde::{
    Deserialize,
    Serialize, //
};

/// One step of a job: equal tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// How many tasks it has.
    pub count: u32,
    /// What each task is declared to need.
    pub size: ResourceAmount,
    /// How long a task is declared to run; a rough figure.
    pub estimate: Duration,
    /// The steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub rack_sensitive: bool,
    /// A label that the worker must have.
    pub label: Option<Arc<str>>,
    /// The rack where its data is.
    pub data_rack: Option<Arc<str>>,
    /// The most tasks of the step that may run on one worker.
    pub spread: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// Whether a task saves its progress.
    pub checkpoints: bool,
    /// What its tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// The tail latency that its tasks must stay below, if they serve requests.
    pub target: Option<Duration>,
    /// Whether it takes only the processors that other tasks leave unused.
    pub filler: bool,
    /// How many of its lasting tasks may be away at a time by the scheduler's own acts.
    pub may_miss: u32,
}

/// How a step's tasks use their worker's processors.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// They set processors aside until their job is cancelled.
    LongRunning,
    /// They set processors aside until they are done.
    Short,
    /// They use what the others leave unused.
    Filler,
}

impl StepSpec {
    /// Returns how its tasks use their worker's processors.
    pub fn kind(&self) -> WorkKind {
        match (self.filler, self.lasting) {
            (true, _) => WorkKind::Filler,
            (false, true) => WorkKind::LongRunning,
            (false, false) => WorkKind::Short,
        }
    }

    /// Returns what a task sets aside on its worker: a filler's processors are not counted.
    pub fn reserved(&self) -> ResourceAmount {
        let mut size = self.size;
        if self.filler {
            size.cpu_millis = 0;
        }
        size
    }
}
