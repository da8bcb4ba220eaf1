//! A run as its owner knows it.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::ResourceAmount;

use crate::{
    StepSpec,
    TaskKey,
    WorkKind,
    load_track::LoadTrack, //
};

/// How far a run is, as its owner knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunPhase {
    /// Its start was sent at this time.
    Sent,
    /// Its start got no answer: it may run, now or later.
    Unsure,
    /// Its worker said at this time that it runs.
    Running(Duration),
    /// Its end was ordered. The worker has answered at that time, if it has.
    Stopping(Option<Duration>),
}

/// A run as its owner knows it. Its room is set aside until its worker no longer can run it.
#[derive(Clone, Debug)]
pub(crate) struct RunState {
    pub(crate) task: TaskKey,
    pub(crate) phase: RunPhase,
    pub(crate) kind: WorkKind,
    /// What it sets aside.
    pub(crate) reserved: ResourceAmount,
    /// The processors that it uses beside what is set aside, in thousandths, if it is a filler.
    pub(crate) filler_cpu: u64,
    /// What it runs; tasks of one image behave alike.
    pub(crate) image: Option<Arc<str>>,
    pub(crate) target: Option<Duration>,
    /// When it was placed.
    pub(crate) placed: Duration,
    pub(crate) percent: u32,
    /// When its progress was last seen to change.
    pub(crate) moved: Duration,
    pub(crate) figure: Option<u64>,
    /// Its own load, if it serves requests.
    pub(crate) load: Option<LoadTrack>,
    /// The share at which it was last told to work.
    pub(crate) pace: u32,
    /// When its stop was last sent.
    pub(crate) stop_sent: Option<Duration>,
    /// How often it was sent.
    pub(crate) stop_tries: u32,
}

impl RunState {
    /// Creates the run of a task of this step.
    pub(crate) fn new(task: TaskKey, spec: &StepSpec, phase: RunPhase, now: Duration) -> Self {
        Self {
            task,
            phase,
            kind: spec.kind(),
            reserved: spec.reserved(),
            filler_cpu: if spec.filler { spec.size.cpu_millis } else { 0 },
            image: spec.image.clone(),
            target: spec.target,
            placed: now,
            percent: 0,
            moved: now,
            figure: None,
            load: None,
            pace: 100,
            stop_sent: None,
            stop_tries: 0,
        }
    }

    /// Returns the processors that it sets aside, in thousandths, if it serves requests.
    pub(crate) fn service_cpu(&self) -> u64 {
        self.target.map_or(0, |_| self.reserved.cpu_millis)
    }

    /// Returns the processors that it sets aside, in thousandths, if it lasts.
    pub(crate) fn long_running_cpu(&self) -> u64 {
        match self.kind {
            WorkKind::LongRunning => self.reserved.cpu_millis,
            WorkKind::Short | WorkKind::Filler => 0,
        }
    }

    pub(crate) fn is_stopping(&self) -> bool {
        matches!(self.phase, RunPhase::Stopping(_))
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        matches!(self.phase, RunPhase::Running(_))
    }

    pub(crate) fn is_filler(&self) -> bool {
        self.filler_cpu > 0
    }
}
