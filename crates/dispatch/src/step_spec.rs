//! Definition of a step of a job.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::ResourceAmount;
use serde::{
    Deserialize,
    Serialize, //
};

/// Definition of a step of a job: a number of equal tasks.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The CPU and memory that each task declares to need.
    pub size: ResourceAmount,
    /// The declared run time of a task; a rough value.
    pub estimate: Duration,
    /// The steps whose tasks must all be done before this step starts.
    #[serde(rename = "after")]
    pub dependencies: Vec<u16>,
    /// Whether the tasks form a gang: they run only all together.
    pub gang: bool,
    /// Whether the tasks are slower when spread over more than one rack.
    pub rack_sensitive: bool,
    /// A label that the worker must have; `None` allows any worker.
    pub label: Option<Arc<str>>,
    /// The rack where the step's data is stored, if known.
    pub data_rack: Option<Arc<str>>,
    /// The maximum number of the step's tasks on one worker; `None` for no limit.
    #[serde(rename = "spread")]
    pub max_per_worker: Option<u32>,
    /// Whether several runs of a task may execute at the same time.
    #[serde(rename = "copies")]
    pub allows_copies: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Whether a task saves checkpoints, from which a later run resumes.
    pub checkpoints: bool,
    /// The image that the tasks run; tasks of one image are assumed to behave alike.
    pub image: Option<Arc<str>>,
    /// The tail latency that the tasks must stay below, if they serve requests.
    #[serde(rename = "target")]
    pub tail_target: Option<Duration>,
    /// Whether the tasks are fillers: best-effort tasks that use only CPU that other tasks leave
    /// idle.
    pub filler: bool,
    /// The maximum number of the step's long-running tasks that the scheduler itself may make
    /// unavailable at a time.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

/// How a step's tasks use their worker's CPU.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkKind {
    /// The tasks reserve CPU until their job is cancelled.
    LongRunning,
    /// The tasks reserve CPU until they are done.
    Short,
    /// The tasks reserve no CPU and use what the others leave idle (best-effort).
    Filler,
}

impl StepSpec {
    /// Returns how the step's tasks use their worker's CPU.
    pub fn kind(&self) -> WorkKind {
        match (self.filler, self.long_running) {
            (true, _) => WorkKind::Filler,
            (false, true) => WorkKind::LongRunning,
            (false, false) => WorkKind::Short,
        }
    }

    /// Returns the memory that the step takes beside `StepSpec` itself, in bytes.
    pub(crate) fn heap_bytes(&self) -> usize {
        let texts = [&self.label, &self.data_rack, &self.image];
        let texts = texts.into_iter().flatten().map(|text| text.len());
        size_of_val(self.dependencies.as_slice()) + texts.sum::<usize>()
    }

    /// Returns the capacity that a task reserves on its worker; a filler reserves memory only.
    pub fn reserved(&self) -> ResourceAmount {
        let mut size = self.size;
        if self.filler {
            size.cpu_millis = 0;
        }
        size
    }
}
