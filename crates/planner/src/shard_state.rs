//! What the actor of a shard knows.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{
        Duration,
        SystemTime, //
    },
};

use indexmap::{
    IndexMap,
    IndexSet, //
};
use jasminebend_base::{
    ClassName,
    Configuration,
    ResourceAmount,
    TeamName,
    VmSnapshot, //
};
use jasminebend_placement::{
    JobId,
    JobLedger,
    JobRecord,
    LearnedState,
    ReadyQueue,
    TaskId,
    WaitReason,
    WorkerKey,
    WorkerPool, //
};
use jasminebend_ports::{
    RowKey,
    TaskAttempt,
    WriteId, //
};
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use tokio::sync::watch;

use crate::{
    JobStatus,
    PlannerEdges,
    PlannerSettings,
    journal_writer::JournalWriter,
    shard_calls::ShardCalls,
    shard_phase::ShardPhase,
    task_run::TaskRun,
    worker_link::WorkerLink, //
};

/// What the actor of a shard knows. The ledger runs ahead of the journal: each transition is made in
/// memory at once, and what it allows outside is done once it is committed.
pub(crate) struct ShardState {
    pub(crate) settings: PlannerSettings,
    pub(crate) edges: Arc<PlannerEdges>,
    pub(crate) calls: ShardCalls,
    pub(crate) random: StdRng,
    pub(crate) phase: ShardPhase,
    /// Whether no other actor of this process ever acted under this epoch.
    pub(crate) first_of_epoch: bool,
    pub(crate) retry: Duration,

    pub(crate) configuration: watch::Receiver<Arc<Configuration>>,
    pub(crate) vms: watch::Receiver<Arc<VmSnapshot>>,

    pub(crate) ledger: JobLedger,
    pub(crate) writer: Option<JournalWriter>,
    pub(crate) snapshot_key: Option<String>,
    pub(crate) snapshotting: bool,
    pub(crate) next_snapshot: Duration,
    /// Since when commits have failed.
    pub(crate) table_silent: Option<Duration>,
    pub(crate) commit_retry: Duration,
    pub(crate) resend: bool,
    /// The ends that are not committed yet.
    pub(crate) ending: IndexSet<TaskAttempt>,

    /// The jobs whose results are being written to the object store.
    pub(crate) closing: IndexSet<JobId>,
    /// The jobs whose rows are older than they are.
    pub(crate) untold: IndexSet<JobId>,
    pub(crate) next_told: Duration,
    pub(crate) next_sweep: Duration,
    pub(crate) swept_to: Option<RowKey>,

    pub(crate) pool: WorkerPool,
    pub(crate) learned: LearnedState,
    pub(crate) queue: ReadyQueue,
    pub(crate) reasons: IndexMap<JobId, WaitReason>,
    pub(crate) team_used: IndexMap<TeamName, ResourceAmount>,
    pub(crate) class_targets: IndexMap<ClassName, Duration>,
    pub(crate) next_move: Duration,
    pub(crate) plan_due: bool,
    pub(crate) planned_releases: u64,
    pub(crate) next_plan: Duration,
    pub(crate) next_ahead: Duration,

    pub(crate) runs: IndexMap<TaskId, TaskRun>,
    pub(crate) attention: IndexSet<TaskId>,
    pub(crate) stops_in_flight: usize,
    pub(crate) links: IndexMap<WorkerKey, WorkerLink>,
    /// The number of workers in the VM list, by shard.
    pub(crate) listed: IndexMap<u16, usize>,
    pub(crate) contacts: BTreeSet<(Duration, WorkerKey)>,

    /// The rows that could not be read.
    pub(crate) left_alone: IndexSet<RowKey>,
    /// Whether the last look for submissions failed.
    pub(crate) unread: bool,
    pub(crate) scanning: bool,
    pub(crate) next_scan: Duration,
    /// The jobs taken in, with the time when that was committed, until a later scan has shown that
    /// their inbox rows are gone.
    pub(crate) accepted: IndexMap<JobId, Option<Duration>>,
}

impl ShardState {
    pub(crate) fn new(
        settings: PlannerSettings,
        edges: Arc<PlannerEdges>,
        calls: ShardCalls,
        first_of_epoch: bool,
    ) -> Self {
        let shard = u64::from(calls.permit.shard);
        let seed = edges.seed ^ calls.permit.epoch.0.rotate_left(20) ^ shard.rotate_left(48);
        let mut configuration = edges.configuration.clone();
        let mut vms = edges.vms.clone();
        // What is there at the start is news to this shard.
        configuration.mark_changed();
        vms.mark_changed();
        Self {
            settings,
            configuration,
            vms,
            edges,
            calls,
            random: StdRng::seed_from_u64(seed),
            phase: ShardPhase::Closed,
            first_of_epoch,
            retry: Duration::ZERO,
            ledger: JobLedger::new(),
            writer: None,
            snapshot_key: None,
            snapshotting: false,
            next_snapshot: Duration::ZERO,
            table_silent: None,
            commit_retry: Duration::ZERO,
            resend: false,
            ending: IndexSet::new(),
            closing: IndexSet::new(),
            untold: IndexSet::new(),
            next_told: Duration::ZERO,
            next_sweep: Duration::ZERO,
            swept_to: None,
            pool: WorkerPool::new(),
            learned: LearnedState::default(),
            queue: ReadyQueue::new(),
            reasons: IndexMap::new(),
            team_used: IndexMap::new(),
            class_targets: IndexMap::new(),
            next_move: Duration::ZERO,
            plan_due: true,
            planned_releases: 0,
            next_plan: Duration::ZERO,
            next_ahead: Duration::ZERO,
            runs: IndexMap::new(),
            attention: IndexSet::new(),
            stops_in_flight: 0,
            links: IndexMap::new(),
            listed: IndexMap::new(),
            contacts: BTreeSet::new(),
            left_alone: IndexSet::new(),
            unread: false,
            scanning: false,
            next_scan: Duration::ZERO,
            accepted: IndexMap::new(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.edges.clock.monotonic()
    }

    pub(crate) fn wall_ms(&self) -> u64 {
        let since = self
            .edges
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
    }

    pub(crate) fn draw_write(&mut self) -> WriteId {
        WriteId::new(&mut self.random)
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self) {
        // A planner that was paused past its ownership wakes here with everything in hand; it does
        // nothing more, and each call asks again for itself.
        if !self.calls.permit.granted() {
            return;
        }
        let now = self.now();
        if self.phase == ShardPhase::Deposed {
            return;
        }
        // Workers are heard whether or not the journal can be read: what runs there goes on.
        self.refresh_workers(now);
        self.contact_workers(now);
        match self.phase {
            ShardPhase::Closed => self.open(now),
            ShardPhase::Open => self.work(now),
            ShardPhase::Opening | ShardPhase::Faulted(_) | ShardPhase::Deposed => {}
        }
    }

    fn work(&mut self, now: Duration) {
        self.refresh_configuration(now);
        self.pool.refill_start_tokens(now);
        self.learned.interference.decay(now);
        self.tend_runs(now);
        self.plan(now);
        self.scan(now);
        self.sweep(now);
        self.resend_batch(now);
        self.commit(now);
    }

    pub(crate) fn status(&self, job: JobId) -> Option<JobStatus> {
        let record = self.ledger.job(job)?;
        Some(self.status_of(job, record))
    }

    pub(crate) fn status_of(&self, job: JobId, record: &JobRecord) -> JobStatus {
        let mut status = JobStatus::new(job, record, self.reason(job));
        let tasks = (0..record.spec.tasks).map(|index| TaskId { job, index });
        let ahead = tasks.filter(|task| {
            let run = self.runs.get(task);
            run.is_some_and(|run| run.ahead && !run.holds_room)
        });
        status.wait_ahead(u32::try_from(ahead.count()).unwrap_or(0), self.reason(job));
        status
    }

    pub(crate) fn statuses(&self) -> Vec<JobStatus> {
        let jobs = self.ledger.jobs();
        jobs.map(|(job, record)| self.status_of(job, record))
            .collect()
    }

    pub(crate) fn reason(&self, job: JobId) -> WaitReason {
        if self.unread || self.table_silent.is_some() {
            return WaitReason::TableUnavailable;
        }
        self.reasons
            .get(&job)
            .copied()
            .unwrap_or(WaitReason::NotConsidered)
    }
}
