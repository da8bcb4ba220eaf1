//! The state of a shard's actor.

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
    PlannerPorts,
    PlannerSettings,
    journal_writer::JournalWriter,
    shard_calls::ShardCalls,
    shard_phase::ShardPhase,
    task_run::TaskRun,
    worker_link::WorkerLink, //
};

/// The state of a shard's actor. The ledger is ahead of the journal: a transition is applied in
/// memory at once, and its external effect follows once it is committed. Times are on the monotonic
/// clock.
pub(crate) struct ShardState {
    pub(crate) settings: PlannerSettings,
    pub(crate) ports: Arc<PlannerPorts>,
    pub(crate) calls: ShardCalls,
    pub(crate) random: StdRng,
    pub(crate) phase: ShardPhase,
    /// Whether this is the first actor in this process with the shard's current epoch.
    pub(crate) first_of_epoch: bool,
    /// Earliest time of the next attempt to open the journal.
    pub(crate) journal_retry_at: Duration,

    pub(crate) configuration: watch::Receiver<Arc<Configuration>>,
    pub(crate) vms: watch::Receiver<Arc<VmSnapshot>>,

    pub(crate) ledger: JobLedger,
    /// Builds commits; `None` until the journal was read.
    pub(crate) writer: Option<JournalWriter>,
    /// Key of the newest snapshot that was written.
    pub(crate) snapshot_key: Option<String>,
    /// Whether a snapshot is being written; commits wait for it.
    pub(crate) snapshotting: bool,
    /// Time at which a snapshot is due even if the log is short.
    pub(crate) next_snapshot: Duration,
    /// Time since which commits have failed; `None` while they succeed.
    pub(crate) table_failing_since: Option<Duration>,
    /// Earliest time of the next commit after a failure.
    pub(crate) commit_retry_at: Duration,
    /// Whether the commit in flight must be sent again.
    pub(crate) resend_due: bool,
    /// Runs whose end is not committed yet.
    pub(crate) uncommitted_ends: IndexSet<TaskAttempt>,

    /// Jobs whose results are being written to the object store.
    pub(crate) closing: IndexSet<JobId>,
    /// Jobs whose stored row is outdated.
    pub(crate) outdated_job_rows: IndexSet<JobId>,
    /// Time of the next update of job rows.
    pub(crate) next_job_row_update: Duration,
    /// Time of the next sweep of old job rows.
    pub(crate) next_sweep: Duration,
    /// Key of the last job row that was swept; `None` to begin at the first one.
    pub(crate) sweep_position: Option<RowKey>,

    pub(crate) pool: WorkerPool,
    pub(crate) learned: LearnedState,
    pub(crate) queue: ReadyQueue,
    /// Why each job with waiting tasks is not placed.
    pub(crate) wait_reasons: IndexMap<JobId, WaitReason>,
    /// Capacity that the runs of each team's batch jobs use, for the quota.
    pub(crate) team_usage: IndexMap<TeamName, ResourceAmount>,
    /// Latency targets of service classes.
    pub(crate) class_targets: IndexMap<ClassName, Duration>,
    /// Time of the next attempt to move services out of closed failure domains.
    pub(crate) next_move: Duration,
    /// Whether something changed that may allow a placement.
    pub(crate) plan_due: bool,
    /// The pool's release count at the last pass; capacity was freed if it has changed.
    pub(crate) planned_releases: u64,
    /// Time of the next pass even if nothing changed.
    pub(crate) next_plan: Duration,
    /// Time of the next pass over pre-committed runs.
    pub(crate) next_precommit: Duration,

    pub(crate) runs: IndexMap<TaskId, TaskRun>,
    /// Runs for which a step may be due.
    pub(crate) runs_to_advance: IndexSet<TaskId>,
    /// Number of stops and checkpoints that are sent and not answered.
    pub(crate) stops_in_flight: usize,
    pub(crate) links: IndexMap<WorkerKey, WorkerLink>,
    /// Number of workers in the VM list, by shard.
    pub(crate) workers_by_shard: IndexMap<u16, usize>,
    /// Scheduled calls to workers by time; entries other than a worker's `call_due` are stale.
    pub(crate) scheduled_calls: BTreeSet<(Duration, WorkerKey)>,

    /// Keys of unreadable rows that were already logged.
    pub(crate) unreadable_rows: IndexSet<RowKey>,
    /// Whether the last inbox scan failed.
    pub(crate) inbox_scan_failed: bool,
    /// Whether an inbox scan is in progress.
    pub(crate) scanning: bool,
    /// Time of the next inbox scan.
    pub(crate) next_scan: Duration,
    /// Accepted jobs, with the time of the commit if it happened, until a later scan has shown that
    /// their inbox rows are deleted.
    pub(crate) accepted: IndexMap<JobId, Option<Duration>>,
}

impl ShardState {
    pub(crate) fn new(
        settings: PlannerSettings,
        ports: Arc<PlannerPorts>,
        calls: ShardCalls,
        first_of_epoch: bool,
    ) -> Self {
        let shard = u64::from(calls.permit.shard);
        let seed = ports.seed ^ calls.permit.epoch.0.rotate_left(20) ^ shard.rotate_left(48);
        let mut configuration = ports.configuration.clone();
        let mut vms = ports.vms.clone();
        // The initial values count as changes for this shard.
        configuration.mark_changed();
        vms.mark_changed();
        Self {
            settings,
            configuration,
            vms,
            ports,
            calls,
            random: StdRng::seed_from_u64(seed),
            phase: ShardPhase::Closed,
            first_of_epoch,
            journal_retry_at: Duration::ZERO,
            ledger: JobLedger::new(),
            writer: None,
            snapshot_key: None,
            snapshotting: false,
            next_snapshot: Duration::ZERO,
            table_failing_since: None,
            commit_retry_at: Duration::ZERO,
            resend_due: false,
            uncommitted_ends: IndexSet::new(),
            closing: IndexSet::new(),
            outdated_job_rows: IndexSet::new(),
            next_job_row_update: Duration::ZERO,
            next_sweep: Duration::ZERO,
            sweep_position: None,
            pool: WorkerPool::new(),
            learned: LearnedState::default(),
            queue: ReadyQueue::new(),
            wait_reasons: IndexMap::new(),
            team_usage: IndexMap::new(),
            class_targets: IndexMap::new(),
            next_move: Duration::ZERO,
            plan_due: true,
            planned_releases: 0,
            next_plan: Duration::ZERO,
            next_precommit: Duration::ZERO,
            runs: IndexMap::new(),
            runs_to_advance: IndexSet::new(),
            stops_in_flight: 0,
            links: IndexMap::new(),
            workers_by_shard: IndexMap::new(),
            scheduled_calls: BTreeSet::new(),
            unreadable_rows: IndexSet::new(),
            inbox_scan_failed: false,
            scanning: false,
            next_scan: Duration::ZERO,
            accepted: IndexMap::new(),
        }
    }

    /// Returns the time of the monotonic clock.
    pub(crate) fn now(&self) -> Duration {
        self.ports.clock.monotonic()
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    pub(crate) fn wall_ms(&self) -> u64 {
        let since = self
            .ports
            .clock
            .wall()
            .duration_since(SystemTime::UNIX_EPOCH);
        since.map_or(0, |time| {
            u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
        })
    }

    /// Returns a random write identifier.
    pub(crate) fn random_write_id(&mut self) -> WriteId {
        WriteId::new(&mut self.random)
    }

    /// Performs all due work.
    pub(crate) fn tick(&mut self) {
        // A planner that was paused for longer than its ownership lasts resumes here with its old
        // state. It must not act; each call checks the permit again by itself.
        if !self.calls.permit.is_granted() {
            return;
        }
        let now = self.now();
        if self.phase == ShardPhase::Deposed {
            return;
        }
        // Workers are called even if the journal cannot be read, so that their tasks keep running.
        self.refresh_workers(now);
        self.call_due_workers(now);
        match self.phase {
            ShardPhase::Closed => self.open_journal(now),
            ShardPhase::Open => self.perform_due_work(now),
            ShardPhase::Opening | ShardPhase::Faulted(_) | ShardPhase::Deposed => {}
        }
    }

    /// Performs the due work of an open shard.
    fn perform_due_work(&mut self, now: Duration) {
        self.refresh_configuration(now);
        self.pool.refill_start_tokens(now);
        self.learned.interference.decay(now);
        self.advance_runs(now);
        self.plan(now);
        self.scan_inbox(now);
        self.sweep(now);
        self.resend_batch(now);
        self.commit(now);
    }

    /// Returns the status of a job; `None` if the shard does not have it.
    pub(crate) fn status(&self, job: JobId) -> Option<JobStatus> {
        let record = self.ledger.job(job)?;
        Some(self.status_of(job, record))
    }

    /// Returns the status of a job, with pre-committed runs counted as waiting.
    pub(crate) fn status_of(&self, job: JobId, record: &JobRecord) -> JobStatus {
        let mut status = JobStatus::new(job, record, self.wait_reason(job));
        let tasks = (0..record.spec.tasks).map(|index| TaskId { job, index });
        let precommitted = tasks.filter(|task| {
            let run = self.runs.get(task);
            run.is_some_and(|run| run.precommitted && !run.holds_capacity)
        });
        status.count_precommitted_as_waiting(
            u32::try_from(precommitted.count()).unwrap_or(0),
            self.wait_reason(job),
        );
        status
    }

    /// Returns the status of every job of the shard.
    pub(crate) fn statuses(&self) -> Vec<JobStatus> {
        let jobs = self.ledger.jobs();
        jobs.map(|(job, record)| self.status_of(job, record))
            .collect()
    }

    /// Returns the reason why a job's tasks wait.
    pub(crate) fn wait_reason(&self, job: JobId) -> WaitReason {
        if self.inbox_scan_failed || self.table_failing_since.is_some() {
            return WaitReason::TableUnavailable;
        }
        self.wait_reasons
            .get(&job)
            .copied()
            .unwrap_or(WaitReason::NotConsidered)
    }
}
