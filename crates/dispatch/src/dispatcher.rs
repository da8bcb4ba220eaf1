//! The dispatcher: the state of one owner of jobs and workers, and its basic operations.

use std::{
    collections::{
        BTreeSet,
        HashSet, //
    },
    sync::Arc,
    time::Duration, //
};

use indexmap::{
    IndexMap,
    IndexSet, //
};
use jasminebend_base::DomainName;

use crate::{
    CrashFinding,
    DispatchSettings,
    EarlierRun,
    FillerEviction,
    FleetConfiguration,
    JobFailure,
    JobGraph,
    JobKey,
    JobOutcome,
    JobProgress,
    ProgressRecord,
    QueueRule,
    RunLoss,
    RunNumber,
    StepKey,
    StepSpec,
    SurplusRun,
    TaskKey,
    UnknownEnd,
    WorkerKey,
    WorkerOrder,
    admission::AdmissionGrants,
    commit_tracker::CommitTracker,
    held_end::HeldEnd,
    inherited_start::InheritedStart,
    interference_model::InterferenceModel,
    job_state::{
        JobState,
        OccurrenceState, //
    },
    order_window::OrderWindow,
    pool_demand::PoolDemand,
    service_snapshot::ServiceSnapshot,
    unplaceable_demands::UnplaceableDemands,
    unsettled_crash::UnsettledCrash,
    worker_state::WorkerState, //
};

/// An accepted job as passed to [`Dispatcher::add_job`].
#[derive(Clone, Debug)]
pub struct AcceptedJob {
    /// The name of the queue to which the job was submitted.
    pub queue: Arc<str>,
    /// The queue's rule when the job was accepted, if it is on record; in force for an owner that
    /// knows no configuration with the queue.
    pub rule: Option<QueueRule>,
    /// The job's steps, payload and schedule.
    pub graph: Arc<JobGraph>,
    /// When the job was accepted, on the owner's process clock.
    pub accepted: Duration,
    /// Whether a former owner may have started some of the job's tasks.
    pub inherited: bool,
}

/// Which owners may have opened a step, and so may have started tasks of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StepOrigin {
    /// A former owner may have opened the step and started some of its tasks.
    Unknown,
    /// Only this owner: no former owner can have heard of the end of a task on which the step
    /// depends, and have opened the step.
    ThisOwner,
}

/// Schedules the tasks of the jobs that one owner holds onto that owner's workers.
///
/// Does no I/O and reads no clock: callers report events together with the time since the process's
/// origin, and receive orders in return. Two sources of truth exist outside of it: the store's rows
/// hold what was requested and what has ended; the workers know what is running. The dispatcher
/// keeps the capacity of a run reserved until the worker can no longer execute it, and gives a task
/// a new run only once the previous one is known to be over.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    pub(crate) fencing_token: u64,
    /// The fencing token of the owner before, above which this owner's begin; `None` for the first owner.
    former_token: Option<u64>,
    /// The number of run numbers allocated so far.
    pub(crate) run_count: u64,
    pub(crate) configuration: Arc<FleetConfiguration>,
    /// The latest known rule of each queue, including removed queues, whose jobs continue.
    pub(crate) queue_rules: IndexMap<Arc<str>, QueueRule>,
    /// The failure domains in which no run may start.
    pub(crate) closed_domains: BTreeSet<DomainName>,
    /// All workers ever listed; a [`WorkerKey`] is an index into this list.
    pub(crate) workers: Vec<WorkerState>,
    /// The workers' keys by identity.
    pub(crate) worker_keys: IndexMap<Arc<str>, WorkerKey>,
    pub(crate) jobs: IndexMap<JobKey, JobState>,
    /// Jobs that were cancelled before this owner learned of them.
    pub(crate) cancelled_early: HashSet<JobKey>,
    /// Steps that may have tasks without a run.
    pub(crate) pending_steps: IndexSet<StepKey>,
    /// Runs to be stopped; an entry stays until its run is gone.
    pub(crate) pending_stops: IndexSet<(WorkerKey, TaskKey, RunNumber)>,
    /// Orders decided between two plans, to be returned by the next plan.
    pub(crate) pending_orders: Vec<WorkerOrder>,
    /// Log entries to be returned by the next plan.
    pub(crate) pending_evictions: Vec<FillerEviction>,
    /// Lost runs, to be returned by the next plan.
    pub(crate) pending_losses: Vec<RunLoss>,
    /// Whether all jobs are known of which a former owner may have started tasks.
    pub(crate) knows_former_jobs: bool,
    /// Records of jobs that are not known yet.
    pub(crate) early_records: IndexMap<JobKey, ProgressRecord>,
    /// Jobs whose rows can't be read, unless another copy was.
    pub(crate) unreadable_jobs: HashSet<JobKey>,
    /// Ends of runs that an owner recorded which could not read their jobs.
    pub(crate) recorded_ends: IndexMap<JobKey, ProgressRecord>,
    /// Jobs of which such a record can't be read.
    pub(crate) closed_ends: HashSet<JobKey>,
    /// Ends of runs whose jobs are not known yet.
    pub(crate) held_ends: IndexMap<JobKey, Vec<HeldEnd>>,
    /// What happened to ends of unknown jobs' runs, to be returned by the next plan.
    pub(crate) pending_unknown_ends: Vec<UnknownEnd>,
    /// Workers that left this owner unanswered until every lease of a former owner had lapsed.
    pub(crate) lapsed_in_takeover: Vec<WorkerKey>,
    /// Surplus runs to log with the next plan.
    pub(crate) pending_surplus_runs: Vec<SurplusRun>,
    /// Tasks whose start a former owner has announced and of whose runs no worker has told yet, each
    /// with its worker's identity.
    pub(crate) inherited_starts: IndexMap<TaskKey, InheritedStart>,
    /// Crashes that a former owner counted, of workers that are not known yet.
    pub(crate) inherited_crashes: IndexMap<Arc<str>, Vec<UnsettledCrash>>,
    /// When the registry was last read without a failure since.
    pub(crate) registry_read_at: Option<Duration>,
    /// Since when it was read without a failure.
    pub(crate) registry_read_since: Option<Duration>,
    /// Whether a worker has ever listed a run of an unknown job.
    pub(crate) has_unknown_runs: bool,
    /// Findings about crashes, to be returned by the next plan.
    pub(crate) pending_crashes: Vec<CrashFinding>,
    pub(crate) commits: CommitTracker,
    pub(crate) interference: InterferenceModel,
    /// Demands for which no worker had capacity in a recent plan.
    pub(crate) unplaceable: UnplaceableDemands,
    /// Workers whose free capacity the current plan reserves for steps that have waited too long.
    pub(crate) reserved_workers: IndexSet<WorkerKey>,
    /// The wall-clock time (since 1970) of the process clock's origin, as of the last reading of
    /// both clocks.
    pub(crate) clock_origin: Duration,
    pub(crate) order_window: OrderWindow,
    /// Whether the last plan deferred starts because too many orders were in flight.
    pub(crate) starts_deferred: bool,
    /// The number of plans made so far.
    pub(crate) plan_count: u64,
    /// Repeated jobs with occurrences still to come, each with the number of the next occurrence.
    pub(crate) next_occurrences: IndexMap<JobKey, u32>,
    /// Demand statistics by pool.
    pub(crate) pool_demands: IndexMap<Arc<str>, PoolDemand>,
    /// Admissions granted to jobs that are not on record yet.
    pub(crate) grants: AdmissionGrants,
    /// When the first plan was made; `None` before it.
    pub(crate) first_plan_at: Option<Duration>,
    /// When the last plan was made.
    pub(crate) last_plan_at: Duration,
    /// When the process was last known to run.
    pub(crate) last_active_at: Option<Duration>,
    /// When the process resumed after it had last been suspended.
    pub(crate) resumed_at: Duration,
    /// The suspected gang whose turn it is to start, and until when other suspected tasks wait for it.
    pub(crate) isolation_turn: Option<(StepKey, Duration)>,
    /// Whether the owner may soon depend on the workers' word that they follow it.
    pub(crate) storeless: bool,
    /// Until when workers that this owner does not know may continue to execute a former owner's orders.
    pub(crate) unknown_workers_until: Option<Duration>,
    /// The wall-clock time since 1970 at which this process's clock was zero, if it is known.
    pub(crate) wall_origin: Option<Duration>,
    /// Whether runs start only on workers that are on record for a successor.
    pub(crate) requires_recorded_workers: bool,
    /// Whether restarts of workers are known that are not on record as they are.
    pub(crate) has_changed_restarts: bool,
}

impl Dispatcher {
    /// Creates the dispatcher of the owner with this fencing token alone, which is the first owner's if it is 1.
    pub fn new(fencing_token: u64, settings: DispatchSettings) -> Self {
        Self {
            settings,
            fencing_token,
            former_token: (fencing_token > 1).then(|| fencing_token - 1),
            run_count: 0,
            configuration: Arc::new(FleetConfiguration::default()),
            queue_rules: IndexMap::new(),
            closed_domains: BTreeSet::new(),
            workers: Vec::new(),
            worker_keys: IndexMap::new(),
            jobs: IndexMap::new(),
            cancelled_early: HashSet::new(),
            pending_steps: IndexSet::new(),
            pending_stops: IndexSet::new(),
            pending_orders: Vec::new(),
            pending_evictions: Vec::new(),
            pending_losses: Vec::new(),
            knows_former_jobs: fencing_token <= 1,
            early_records: IndexMap::new(),
            unreadable_jobs: HashSet::new(),
            recorded_ends: IndexMap::new(),
            closed_ends: HashSet::new(),
            held_ends: IndexMap::new(),
            pending_unknown_ends: Vec::new(),
            lapsed_in_takeover: Vec::new(),
            pending_surplus_runs: Vec::new(),
            inherited_starts: IndexMap::new(),
            inherited_crashes: IndexMap::new(),
            registry_read_at: None,
            registry_read_since: None,
            has_unknown_runs: false,
            pending_crashes: Vec::new(),
            commits: CommitTracker::default(),
            interference: InterferenceModel::default(),
            unplaceable: UnplaceableDemands::default(),
            reserved_workers: IndexSet::new(),
            clock_origin: Duration::ZERO,
            order_window: OrderWindow::default(),
            starts_deferred: false,
            plan_count: 0,
            next_occurrences: IndexMap::new(),
            pool_demands: IndexMap::new(),
            grants: AdmissionGrants::default(),
            first_plan_at: None,
            last_plan_at: Duration::ZERO,
            last_active_at: None,
            resumed_at: Duration::ZERO,
            isolation_turn: None,
            storeless: false,
            unknown_workers_until: None,
            wall_origin: None,
            requires_recorded_workers: false,
            has_changed_restarts: false,
        }
    }

    /// Sets the fencing token of the owner before, above which this owner's begin; `None` for the first owner.
    pub fn with_former_token(self, former_token: Option<u64>) -> Self {
        Self {
            former_token,
            knows_former_jobs: former_token.is_none(),
            ..self
        }
    }

    /// Returns the owner's fencing token, the highest of its term.
    pub fn token(&self) -> u64 {
        self.fencing_token
    }

    /// Returns the fencing token of the owner before; `None` if this is the first owner.
    pub fn former_token(&self) -> Option<u64> {
        self.former_token
    }

    /// Returns the fencing token of calls to a worker. It rises with each restart of the worker, so that the new incarnation
    /// refuses what was sent to the former one.
    pub fn worker_token(&self, key: WorkerKey) -> u64 {
        let token = self.incarnation_token(self.worker(key));
        token.min(self.fencing_token)
    }

    /// Returns whether a worker has restarted so often that the term has no token of its own for the present incarnation.
    pub(crate) fn has_spent_tokens(&self, worker: &WorkerState) -> bool {
        self.incarnation_token(worker) > self.fencing_token
    }

    fn incarnation_token(&self, worker: &WorkerState) -> u64 {
        self.former_token.unwrap_or(0) + 1 + worker.restarts
    }

    /// Replaces the configuration. Rules of queues that it no longer contains stay in force for
    /// their remaining jobs.
    pub fn set_configuration(&mut self, configuration: Arc<FleetConfiguration>) {
        for (name, rule) in &configuration.queues {
            let former = self.queue_rules.insert(Arc::clone(name), rule.clone());
            if former.is_none() {
                self.fail_exhausted_jobs(name);
            }
        }
        self.configuration = configuration;
        self.unplaceable.clear();
    }

    /// Sets the failure domains in which no run may start.
    pub fn close_domains(&mut self, closed: BTreeSet<DomainName>) {
        self.closed_domains = closed;
        self.unplaceable.clear();
    }

    /// Adds a job. A job that is already known stays unchanged.
    pub fn add_job(&mut self, key: JobKey, job: AcceptedJob) {
        if self.jobs.contains_key(&key) {
            return;
        }
        if let Some(rule) = job.rule
            && !self.queue_rules.contains_key(&job.queue)
        {
            self.queue_rules.insert(Arc::clone(&job.queue), rule);
            self.fail_exhausted_jobs(&job.queue);
        }
        let remaining_chains = job.graph.remaining_chains();
        let repeated = job.graph.schedule.is_some();
        let state = JobState {
            queue: job.queue,
            remaining_chains,
            accepted: job.accepted,
            inherited: job.inherited,
            started: false,
            has_begun: false,
            cancelled: false,
            outcome: None,
            failure: None,
            recorded_outcome: None,
            occurrences: Default::default(),
            run_count: 0,
            idle_since: job.accepted,
            graph: job.graph,
        };
        self.jobs.insert(key, state);
        self.grants.remove(key);
        match repeated {
            true => drop(self.next_occurrences.insert(key, 0)),
            false => self.open_occurrence(key, 0),
        }
        if self.cancelled_early.remove(&key) {
            self.cancel_job(key);
        }
        if let Some(record) = self.early_records.swap_remove(&key) {
            self.restore_job(key, &record);
        }
        self.apply_recorded_ends(key);
        self.apply_held_ends(key);
        self.adopt_unknown_runs(key);
    }

    /// Cancels a job: no task of it starts any more, and its runs are stopped.
    pub fn cancel_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(&key) else {
            self.cancelled_early.insert(key);
            return;
        };
        if job.is_over() {
            return;
        }
        job.cancelled = true;
        job.outcome = Some(JobOutcome::Cancelled);
        // The stored row that requests the cancellation is its record.
        job.recorded_outcome = Some(JobOutcome::Cancelled);
        self.stop_job_runs(key);
    }

    /// Opens the occurrences that are due at `wall`, the time since 1970 that corresponds to `now`
    /// on the process clock.
    pub fn open_due_occurrences(&mut self, wall: Duration, now: Duration) {
        self.clock_origin = wall.saturating_sub(now);
        let due: Vec<(JobKey, u32)> = self
            .next_occurrences
            .iter()
            .filter_map(|(&key, &next)| {
                let schedule = self.jobs.get(&key)?.graph.schedule?;
                (schedule.due(next) <= wall + self.settings.early_start).then_some((key, next))
            })
            .collect();
        for (key, next) in due {
            self.open_occurrence(key, next);
            let count = self.jobs.get(&key).map_or(0, |job| job.graph.occurrences());
            match next + 1 < count {
                true => drop(self.next_occurrences.insert(key, next + 1)),
                false => drop(self.next_occurrences.shift_remove(&key)),
            }
        }
    }

    /// Returns when the next occurrence is due, since 1970; `None` if none is to come.
    pub fn next_occurrence_due(&self) -> Option<Duration> {
        let due = self.next_occurrences.iter().filter_map(|(key, &next)| {
            let schedule = self.jobs.get(key)?.graph.schedule?;
            Some(schedule.due(next))
        });
        due.min()
    }

    /// Returns a job's progress, or `None` if the job is unknown.
    pub fn progress(&self, key: JobKey) -> Option<JobProgress> {
        Some(self.jobs.get(&key)?.progress())
    }

    /// Returns why a job has failed, once that is on record; `None` for any other job.
    pub fn failure(&self, key: JobKey) -> Option<&JobFailure> {
        let job = self.jobs.get(&key)?;
        job.recorded_outcome.and(job.failure.as_ref())
    }

    /// Returns the number of a queue's accepted jobs of which no run is known to have begun, and that have not ended.
    pub fn waiting_job_count(&self, queue: &str) -> usize {
        self.jobs
            .values()
            .filter(|job| job.queue.as_ref() == queue && !job.has_begun && !job.is_over())
            .count()
    }

    /// Returns the number of jobs that have not ended.
    pub fn unfinished_job_count(&self) -> usize {
        self.jobs.values().filter(|job| !job.is_over()).count()
    }

    /// Returns the number of known runs on all workers.
    pub fn total_run_count(&self) -> usize {
        self.workers.iter().map(|worker| worker.runs.len()).sum()
    }

    /// Returns whether every worker that a former owner may have sent orders to has answered this
    /// owner, or certainly no longer runs anything for the former owner.
    pub fn is_takeover_complete(&self) -> bool {
        self.inherited_worker_count() == 0 && self.unknown_workers_until.is_none()
    }

    /// Returns the number of workers that a former owner may have sent orders to, and that have neither listed all runs and ends to
    /// this owner nor certainly stopped.
    pub fn inherited_worker_count(&self) -> usize {
        let workers = self.workers.iter();
        workers
            .filter(|worker| worker.may_have_unknown_runs())
            .count()
    }

    /// Creates the state of a job's occurrence, if there is none, and opens its steps that have no
    /// unfinished dependencies.
    pub(crate) fn open_occurrence(&mut self, key: JobKey, occurrence: u32) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        if job.is_over() {
            return;
        }
        if !job.occurrences.contains_key(&occurrence) {
            let state = OccurrenceState::new(&job.graph, job.inherited);
            job.occurrences.insert(occurrence, state);
            // A start of 0 means that the occurrence began before this process, which says nothing
            // about the arrival rate.
            let started_at = job.occurrence_start(occurrence, self.clock_origin);
            let (queue, graph) = (Arc::clone(&job.queue), Arc::clone(&job.graph));
            if !started_at.is_zero() {
                self.record_arrival(&queue, &graph, started_at);
            }
        }
        self.open_steps(key, occurrence, StepOrigin::Unknown);
    }

    /// Opens the steps whose dependencies are all done.
    pub(crate) fn open_steps(&mut self, key: JobKey, occurrence: u32, origin: StepOrigin) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let graph = Arc::clone(&job.graph);
        let Some(state) = job.occurrences.get_mut(&occurrence) else {
            return;
        };
        state.open_steps(&graph, origin);
        for (number, step) in state.steps.iter().enumerate() {
            if step.has_pending() {
                self.pending_steps.insert(StepKey {
                    job: key,
                    occurrence,
                    // CAST: A job has at most 256 steps.
                    step: number as u16,
                });
            }
        }
    }

    /// Stops all runs of a job that is over and forgets its open steps.
    pub(crate) fn stop_job_runs(&mut self, key: JobKey) {
        self.next_occurrences.shift_remove(&key);
        self.pending_steps.retain(|step| step.job != key);
        let Some(job) = self.jobs.get(&key) else {
            return;
        };
        let (queue, graph) = (Arc::clone(&job.queue), Arc::clone(&job.graph));
        let mut runs = Vec::new();
        for (&occurrence, state) in &job.occurrences {
            for (number, step) in state.steps.iter().enumerate() {
                for (index, task) in step.tasks.iter().enumerate() {
                    let step = StepKey {
                        job: key,
                        occurrence,
                        // CAST: A job has at most 256 steps.
                        step: number as u16,
                    };
                    // CAST: A step has at most 20,000 tasks.
                    let key = step.task(index as u32);
                    runs.extend(task.runs.iter().map(|&(worker, run)| (worker, key, run)));
                }
            }
        }
        if !runs.is_empty() {
            self.record_released_cpu(&queue, &graph, self.last_plan_at);
        }
        for (worker, task, run) in runs {
            self.stop_run(worker, task, run);
        }
    }

    /// Requests that a run be stopped; the next plan sends the order.
    pub(crate) fn stop_run(&mut self, worker: WorkerKey, task: TaskKey, run: RunNumber) {
        self.pending_stops.insert((worker, task, run));
    }

    /// Returns a new run number of this owner.
    pub(crate) fn next_run(&mut self) -> RunNumber {
        self.run_count += 1;
        RunNumber::of_owner(self.fencing_token, self.run_count)
    }

    /// Returns what is known of a task's last run that is over.
    pub fn earlier_run(&self, task: TaskKey) -> EarlierRun {
        let step = task.step;
        let job = self.jobs.get(&step.job);
        let state = job.and_then(|job| job.step(step.occurrence, step.step));
        let state = state.and_then(|state| state.tasks.get(task.index as usize));
        state.map_or(EarlierRun::None, |state| state.earlier)
    }

    /// Returns whether a former owner may have started some of a step's tasks.
    pub fn may_be_inherited(&self, step: StepKey) -> bool {
        let job = self.jobs.get(&step.job);
        job.is_some_and(|job| job.may_be_inherited(step.occurrence, step.step))
    }

    /// Returns the definition of a step, or `None` if its job is unknown.
    pub(crate) fn step_spec(&self, step: StepKey) -> Option<&StepSpec> {
        let job = self.jobs.get(&step.job)?;
        job.graph.steps.get(usize::from(step.step))
    }

    pub(crate) fn worker(&self, key: WorkerKey) -> &WorkerState {
        &self.workers[key.index()]
    }

    /// Returns a worker for modification and marks it as changed.
    pub(crate) fn worker_mut(&mut self, key: WorkerKey) -> &mut WorkerState {
        let worker = &mut self.workers[key.index()];
        worker.changed_in_plan = self.plan_count;
        worker.version += 1;
        worker
    }

    /// Recomputes the service snapshots that are out of date because their worker has changed or
    /// their lifetime has passed.
    pub(crate) fn refresh_snapshots(&mut self, now: Duration) {
        for worker in &mut self.workers {
            if !worker.service_snapshot.is_valid(worker, now) {
                worker.service_snapshot = ServiceSnapshot::new(worker, &self.interference, now);
            }
        }
    }
}
