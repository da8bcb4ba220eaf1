//! A worker as its owner knows it.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_base::ResourceAmount;

use crate::{
    FleetWorker,
    RunNumber,
    TaskKey,
    WorkerClock,
    harm_model::{
        FillerPresence,
        HarmModel, //
    },
    run_state::RunState,
    service_view::ServiceView,
    service_watch::ServiceWatch,
    worker_health::WorkerHealth, //
};

/// The time of which a worker's figures are: of the last half second, and some time old.
const FIGURES_OF: Duration = Duration::from_millis(700);
/// The share of what a service's task sets aside that it is believed to use before its load was seen.
const USUAL_USE: f64 = 0.6;
/// The shares between which it is believed to be: a tail is a rough figure.
const LEAST_USE: f64 = 0.25;
const MOST_USE: f64 = 0.75;

/// A worker as its owner knows it.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) record: FleetWorker,
    /// Whether the registry lists it.
    pub(crate) listed: bool,
    pub(crate) clock: WorkerClock,
    /// Whether it has answered to this owner's token in this life of it.
    pub(crate) fenced: bool,
    /// Until when it may go on with what a former owner told it, if it has not answered.
    pub(crate) inherited_until: Option<Duration>,
    /// When its last answer came.
    pub(crate) heard: Option<Duration>,
    /// How many calls in a row got no answer.
    pub(crate) unanswered: u32,
    /// Whether nothing listened at its address when it was last called.
    pub(crate) closed: bool,
    pub(crate) born: Option<Duration>,
    pub(crate) runs: IndexMap<(TaskKey, RunNumber), RunState>,
    pub(crate) reserved: ResourceAmount,
    pub(crate) filler_cpu: u64,
    /// What services' tasks set aside of the processors, in thousandths.
    pub(crate) service_cpu: u64,
    /// What long-running tasks set aside of the processors, in thousandths.
    pub(crate) long_running_cpu: u64,
    /// What services are believed to use of what they set aside.
    pub(crate) service_use: u64,
    /// The last end that was looked at.
    pub(crate) processed: u64,
    /// The last end that is on record.
    pub(crate) acknowledged: u64,
    /// Ends that were looked at, with the commit that puts each on record.
    pub(crate) pending_acks: VecDeque<(u64, u64)>,
    /// Whether it is emptied for its VM's upkeep.
    pub(crate) upkeep: bool,
    pub(crate) health: WorkerHealth,
    pub(crate) watch: ServiceWatch,
    /// When its services' figures were last learned from.
    pub(crate) learned: Option<Duration>,
    /// The fillers that left it just now, and when: figures still show them.
    pub(crate) departed: Vec<(FillerPresence, Duration)>,
    /// How often it has changed.
    pub(crate) version: u64,
    pub(crate) view: ServiceView,
    /// The last plan before it last changed.
    pub(crate) changed: u64,
}

impl WorkerState {
    pub(crate) fn new(record: FleetWorker) -> Self {
        Self {
            record,
            listed: true,
            clock: WorkerClock::default(),
            fenced: false,
            inherited_until: None,
            heard: None,
            unanswered: 0,
            closed: false,
            born: None,
            runs: IndexMap::new(),
            reserved: ResourceAmount::default(),
            filler_cpu: 0,
            service_cpu: 0,
            long_running_cpu: 0,
            service_use: 0,
            processed: 0,
            acknowledged: 0,
            pending_acks: VecDeque::new(),
            upkeep: false,
            health: WorkerHealth::default(),
            watch: ServiceWatch::default(),
            learned: None,
            departed: Vec::new(),
            version: 0,
            view: ServiceView::default(),
            changed: 0,
        }
    }

    pub(crate) fn free(&self) -> ResourceAmount {
        self.record.capacity.saturating_sub(self.reserved)
    }

    /// Returns the processors that nothing is believed to use, in thousandths; negative if fillers
    /// want more than there is. Services set aside what their peak needs and use as much as their load.
    pub(crate) fn idle_cpu(&self) -> i64 {
        let unused = signed(self.service_cpu) - signed(self.service_use);
        signed(self.free().cpu_millis) + unused - signed(self.filler_cpu)
    }

    /// Returns the fillers that its services' figures show, those that came or left just now in part if `fading`.
    pub(crate) fn company(&mut self, now: Duration, fading: bool) -> Vec<FillerPresence> {
        let shown = |since: Duration| {
            if !fading {
                return 1.0;
            }
            let passed = now.saturating_sub(since).as_secs_f64();
            (passed / FIGURES_OF.as_secs_f64()).min(1.0)
        };
        self.departed.retain(|(_, left)| shown(*left) < 1.0);
        let gone = self.departed.iter().map(|(presence, left)| FillerPresence {
            seen: 1.0 - shown(*left),
            ..presence.clone()
        });
        let fillers = self.runs.values().filter(|run| run.is_filler());
        let present = fillers.filter_map(|run| {
            Some(FillerPresence {
                image: run.image.clone()?,
                share: run.figure? as f64 / self.processors(),
                seen: shown(run.placed),
            })
        });
        gone.chain(present).collect()
    }

    /// Returns what short tasks set aside of the processors, in thousandths.
    pub(crate) fn short_cpu(&self) -> u64 {
        self.reserved
            .cpu_millis
            .saturating_sub(self.long_running_cpu)
    }

    pub(crate) fn processors(&self) -> f64 {
        self.record.capacity.cpu_millis.max(1) as f64
    }

    /// Returns by how much its fillers, at full pace, raise the load of an image that serves.
    pub(crate) fn fillers_effect(&self, service: &Arc<str>, harm: &HarmModel) -> f64 {
        let fillers = self.runs.values().filter(|run| run.is_filler());
        let effects = fillers.filter_map(|run| {
            let share = run.filler_cpu as f64 / self.processors();
            Some(harm.effect(service, run.image.as_ref()?, share))
        });
        effects.sum()
    }

    /// Works out anew what its services use.
    pub(crate) fn weigh_services(&mut self, now: Duration) {
        let services = self.runs.values().filter(|run| run.target.is_some());
        let used = services.map(|run| {
            let share = run
                .load
                .map_or(USUAL_USE, |load| load.expected(now, Duration::ZERO));
            run.service_cpu() as f64 * share.clamp(LEAST_USE, MOST_USE)
        });
        // CAST: Less than its processors.
        self.service_use = used.sum::<f64>() as u64;
    }

    pub(crate) fn add(&mut self, run: RunNumber, state: RunState) {
        self.reserved += state.reserved;
        self.filler_cpu += state.filler_cpu;
        self.service_cpu += state.service_cpu();
        self.long_running_cpu += state.long_running_cpu();
        let now = state.placed;
        self.runs.insert((state.task, run), state);
        self.weigh_services(now);
    }

    pub(crate) fn drop_run(&mut self, task: TaskKey, run: RunNumber, now: Duration) {
        let Some(state) = self.runs.swap_remove(&(task, run)) else {
            return;
        };
        if let (Some(image), Some(used)) = (&state.image, state.figure)
            && state.is_filler()
        {
            let presence = FillerPresence {
                image: Arc::clone(image),
                share: used as f64 / self.processors(),
                seen: 1.0,
            };
            self.departed.push((presence, now));
        }
        self.reserved = self.reserved.saturating_sub(state.reserved);
        self.filler_cpu = self.filler_cpu.saturating_sub(state.filler_cpu);
        self.service_cpu = self.service_cpu.saturating_sub(state.service_cpu());
        self.long_running_cpu = self
            .long_running_cpu
            .saturating_sub(state.long_running_cpu());
        self.weigh_services(now);
    }

    /// Tells whether it has left, and runs nothing any more: it said that it would, its entry is gone, and
    /// nothing listens at its address. One of these alone may also be a cut.
    pub(crate) fn has_left(&self) -> bool {
        self.record.draining && !self.listed && self.closed
    }

    /// Forgets everything that a former life of it ran and said.
    pub(crate) fn forget_life(&mut self) {
        self.clock = WorkerClock::default();
        self.fenced = false;
        self.inherited_until = None;
        self.processed = 0;
        self.acknowledged = 0;
        self.pending_acks.clear();
        self.health = WorkerHealth::default();
        self.watch = ServiceWatch::default();
    }

    /// Moves the acknowledgement forward over the ends that are on record by `committed`.
    pub(crate) fn acknowledge(&mut self, committed: u64) {
        while let Some(&(number, commit)) = self.pending_acks.front() {
            if commit > committed {
                return;
            }
            self.acknowledged = number;
            self.pending_acks.pop_front();
        }
    }

    /// Tells whether fillers gave way to its services lately, so that no more of them should come.
    pub(crate) fn shields_services(&self, now: Duration) -> bool {
        self.watch.is_active(now) && self.serves()
    }

    pub(crate) fn serves(&self) -> bool {
        self.runs.values().any(|run| run.target.is_some())
    }
}

pub(crate) fn signed(amount: u64) -> i64 {
    i64::try_from(amount).unwrap_or(i64::MAX)
}
