//! Places waiting tasks on workers.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    DomainName,
    ResourceAmount, //
};
use jasminebend_placement::{
    ClassKey,
    JobId,
    JobRecord,
    JobTransition,
    LatestStart,
    TaskDemand,
    TaskId,
    TaskState,
    WaitReason,
    WorkerKey, //
};

use crate::{
    commit_effect::CommitEffect,
    link_phase::LinkPhase,
    shard_state::ShardState,
    task_run::TaskRun, //
};

/// Limits the placements of one pass, so that a pass takes far less time than a tick.
const MAX_PLACEMENTS_PER_PASS: usize = 1000;
/// Placement pauses while more journal entries than this wait for a commit.
const MAX_PENDING_ENTRIES: usize = 4096;
/// Interval at which the queue is examined even if nothing changed, because the learned model and
/// the admission limits of failure domains change with time.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// A task is urgent if its latest start is less than this many milliseconds away.
const URGENT_LAXITY_MS: i64 = 7_000;

/// The sizes that fitted on no worker in this pass; larger ones are rejected without a search.
#[derive(Debug, Default)]
struct UnplaceableSizes {
    /// Whether no worker has answered this owner yet.
    no_worker_answered: bool,
    /// Class, urgency and size of rejected tasks, with the reason.
    rejected: Vec<(ClassKey, bool, ResourceAmount, WaitReason)>,
}

impl UnplaceableSizes {
    /// Returns the reason if a task of this class, urgency and size cannot be placed in this pass.
    /// Lack of free capacity applies to all classes, other reasons to the same class and urgency.
    fn find(&self, class: ClassKey, urgent: bool, size: ResourceAmount) -> Option<WaitReason> {
        let covers = |entry: &&(ClassKey, bool, ResourceAmount, WaitReason)| {
            let same = entry.0 == class && entry.1 == urgent;
            let by_size = entry.3 == WaitReason::NoFreeCapacity || same;
            by_size && entry.2.fits_in(size)
        };
        self.rejected.iter().find(covers).map(|entry| entry.3)
    }
}

impl ShardState {
    /// Places waiting tasks, those of the job with the least laxity first.
    pub(crate) fn plan(&mut self, now: Duration) {
        let changed = self.plan_due || self.pool.release_count() != self.planned_releases;
        let waiting = self
            .writer
            .as_ref()
            .map_or(0, |writer| writer.pending_entries());
        self.start_precommitted(now);
        // Without the table no run can be committed, and capacity reserved for one would stay idle.
        if self.table_failing_since.is_some() || waiting > MAX_PENDING_ENTRIES {
            return;
        }
        if !changed && now < self.next_plan {
            return;
        }
        self.plan_due = false;
        self.planned_releases = self.pool.release_count();
        self.next_plan = now + PLAN_INTERVAL;
        self.probe_workers(now);
        let mut links = self.links.values();
        let mut unplaceable = UnplaceableSizes {
            no_worker_answered: links.all(|link| link.phase == LinkPhase::New),
            ..UnplaceableSizes::default()
        };
        let mut placements = 0;
        let mut last = None;
        while let Some((start, job)) = self.queue.next_after(last) {
            last = Some((start, job));
            placements += self.plan_job(job, start, &mut unplaceable, now);
            if placements >= MAX_PLACEMENTS_PER_PASS {
                self.plan_due = true;
                return;
            }
        }
        self.plan_precommits(now);
    }

    /// Places tasks of a job until one cannot be placed; returns how many were placed.
    fn plan_job(
        &mut self,
        job: JobId,
        start: LatestStart,
        unplaceable: &mut UnplaceableSizes,
        now: Duration,
    ) -> usize {
        let mut placed = 0;
        while let Some(task) = self.queue.peek(job) {
            match self.choose_worker(task, start, unplaceable, now) {
                Ok((worker, class, size)) => {
                    self.queue.pop(job);
                    self.place(task, worker, class, size);
                    placed += 1;
                }
                Err(reason) => {
                    let reason = match unplaceable.no_worker_answered {
                        true => WaitReason::Takeover,
                        false => reason,
                    };
                    self.wait_reasons.insert(job, reason);
                    return placed;
                }
            }
        }
        self.wait_reasons.swap_remove(&job);
        placed
    }

    /// Chooses a worker for a task, or returns the reason why it waits.
    fn choose_worker(
        &mut self,
        task: TaskId,
        start: LatestStart,
        unplaceable: &mut UnplaceableSizes,
        now: Duration,
    ) -> Result<(WorkerKey, ClassKey, ResourceAmount), WaitReason> {
        let job = self.ledger.job(task.job).ok_or(WaitReason::NotConsidered)?;
        let record = self.ledger.task(task).ok_or(WaitReason::NotConsidered)?;
        let class = self
            .learned
            .classes
            .get_or_insert(&job.spec.team, &job.spec.class);
        let size = self.reservation(class, job);
        if !self.quota_allows(job, size) {
            return Err(WaitReason::Quota);
        }
        let urgent = start.laxity_ms(now) < URGENT_LAXITY_MS;
        if record.failed_on.is_empty()
            && let Some(reason) = unplaceable.find(class, urgent, size)
        {
            return Err(reason);
        }
        let counts = self.tasks_by_domain(job);
        let demand = TaskDemand {
            class,
            kind: job.kind,
            size,
            failed_on: &record.failed_on,
            job_tasks_by_domain: &counts,
            urgent,
        };
        let chosen =
            self.settings
                .policy
                .choose(&self.pool, &self.learned.interference, &demand, now);
        match chosen {
            Ok(worker) => Ok((worker, class, size)),
            Err(reason) => {
                if record.failed_on.is_empty() {
                    unplaceable.rejected.push((class, urgent, size, reason));
                }
                Err(reason)
            }
        }
    }

    /// Returns the capacity to reserve for a task. Learned usage that exceeds every worker is
    /// limited to the capacity of the largest worker that can hold the declared size; otherwise the
    /// task could never be placed.
    fn reservation(&self, class: ClassKey, job: &JobRecord) -> ResourceAmount {
        let size = self.learned.usage.reservation(class, job.spec.size);
        if self.pool.any_capacity_fits(size) {
            return size;
        }
        let fitting = self.pool.maximal_capacities().iter();
        let held = fitting.map(|capacity| ResourceAmount {
            cpu_millis: size.cpu_millis.min(capacity.cpu_millis),
            memory_mib: size.memory_mib.min(capacity.memory_mib),
            accelerators: size.accelerators,
        });
        held.filter(|held| job.spec.size.fits_in(*held))
            .max_by_key(|held| (held.memory_mib, held.cpu_millis))
            .unwrap_or(size)
    }

    /// Returns how many tasks of a service each failure domain has; empty for batch jobs.
    fn tasks_by_domain(&self, job: &JobRecord) -> Vec<(DomainName, u32)> {
        let mut counts: Vec<(DomainName, u32)> = Vec::new();
        if job.kind == ClassKind::Batch {
            return counts;
        }
        for task in &job.tasks {
            let TaskState::Placed { worker, .. } = &task.state else {
                continue;
            };
            let Some(key) = self.pool.key_of(worker) else {
                continue;
            };
            let domain = &self.pool.worker(key).domain;
            match counts.iter_mut().find(|(name, _)| name == domain) {
                Some((_, count)) => *count += 1,
                None => counts.push((domain.clone(), 1)),
            }
        }
        counts
    }

    /// Records a placement: reserves capacity now; the run starts once the placement is committed.
    pub(crate) fn place(
        &mut self,
        task: TaskId,
        worker: WorkerKey,
        class: ClassKey,
        size: ResourceAmount,
    ) {
        let Some(job) = self.ledger.job(task.job) else {
            return;
        };
        let kind = job.kind;
        let attempt = self.ledger.task(task).map_or(0, |record| record.attempt) + 1;
        let transition = JobTransition::Placed {
            task,
            attempt,
            worker: self.pool.worker(worker).name.clone(),
            reserved: size,
        };
        if self.record(transition, CommitEffect::Start(task)) {
            self.track_run(task, TaskRun::new(attempt, worker, class, kind, size));
            self.pool.record_start(worker);
        }
    }
}
