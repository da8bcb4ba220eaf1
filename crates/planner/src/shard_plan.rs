//! Which task starts where, next.

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

/// The most decisions of one pass, so that a pass stays far shorter than a tick.
const MOST_DECISIONS: usize = 1000;
/// The entries that may wait for a commit before decisions pause.
const MOST_WAITING: usize = 4096;
/// How often the queue is looked at though nothing changed: what is learned and the failure domains
/// that fill change by time alone.
const PLAN_EVERY: Duration = Duration::from_secs(1);
/// The time before its latest start from which a task is urgent.
const URGENT_MS: i64 = 7_000;

/// The sizes that fitted nowhere in this pass; larger ones need no look.
#[derive(Debug, Default)]
struct PassMemo {
    /// Whether no worker has answered yet.
    unheard: bool,
    unfit: Vec<(ClassKey, bool, ResourceAmount, WaitReason)>,
}

impl PassMemo {
    fn find(&self, class: ClassKey, urgent: bool, size: ResourceAmount) -> Option<WaitReason> {
        let covers = |entry: &&(ClassKey, bool, ResourceAmount, WaitReason)| {
            let same = entry.0 == class && entry.1 == urgent;
            let by_size = entry.3 == WaitReason::NoFreeCapacity || same;
            by_size && entry.2.fits_in(size)
        };
        self.unfit.iter().find(covers).map(|entry| entry.3)
    }
}

impl ShardState {
    /// Places what can be placed, the job with the least laxity first.
    pub(crate) fn plan(&mut self, now: Duration) {
        let changed = self.plan_due || self.pool.release_count() != self.planned_releases;
        let waiting = self.writer.as_ref().map_or(0, |writer| writer.waiting());
        self.start_ahead(now);
        // Without the table no run can be committed, and room set aside for one would be idle.
        if self.table_silent.is_some() || waiting > MOST_WAITING {
            return;
        }
        if !changed && now < self.next_plan {
            return;
        }
        self.plan_due = false;
        self.planned_releases = self.pool.release_count();
        self.next_plan = now + PLAN_EVERY;
        self.probe_workers(now);
        let mut links = self.links.values();
        let mut memo = PassMemo {
            unheard: links.all(|link| link.phase == LinkPhase::New),
            ..PassMemo::default()
        };
        let mut decisions = 0;
        let mut at = None;
        while let Some((start, job)) = self.queue.next_after(at) {
            at = Some((start, job));
            decisions += self.plan_job(job, start, &mut memo, now);
            if decisions >= MOST_DECISIONS {
                self.plan_due = true;
                return;
            }
        }
        self.plan_ahead(now);
    }

    /// Places tasks of a job until one finds no place; returns how many found one.
    fn plan_job(
        &mut self,
        job: JobId,
        start: LatestStart,
        memo: &mut PassMemo,
        now: Duration,
    ) -> usize {
        let mut placed = 0;
        while let Some(task) = self.queue.peek(job) {
            match self.place_for(task, start, memo, now) {
                Ok((worker, class, size)) => {
                    self.queue.pop(job);
                    self.place(task, worker, class, size);
                    placed += 1;
                }
                Err(reason) => {
                    let reason = match memo.unheard {
                        true => WaitReason::TakeOver,
                        false => reason,
                    };
                    self.reasons.insert(job, reason);
                    return placed;
                }
            }
        }
        self.reasons.swap_remove(&job);
        placed
    }

    fn place_for(
        &mut self,
        task: TaskId,
        start: LatestStart,
        memo: &mut PassMemo,
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
        let urgent = start.laxity_ms(now) < URGENT_MS;
        if record.failed_on.is_empty()
            && let Some(reason) = memo.find(class, urgent, size)
        {
            return Err(reason);
        }
        let spread = self.spread_of(job);
        let demand = TaskDemand {
            class,
            kind: job.kind,
            size,
            failed_on: &record.failed_on,
            job_tasks_by_domain: &spread,
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
                    memo.unfit.push((class, urgent, size, reason));
                }
                Err(reason)
            }
        }
    }

    /// Returns what to set aside for a task. What was learned may exceed every worker: the largest
    /// one, all to itself, must then do.
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

    fn spread_of(&self, job: &JobRecord) -> Vec<(DomainName, u32)> {
        let mut spread: Vec<(DomainName, u32)> = Vec::new();
        if job.kind == ClassKind::Batch {
            return spread;
        }
        for task in &job.tasks {
            let TaskState::Placed { worker, .. } = &task.state else {
                continue;
            };
            let Some(key) = self.pool.key_of(worker) else {
                continue;
            };
            let domain = &self.pool.worker(key).domain;
            match spread.iter_mut().find(|(name, _)| name == domain) {
                Some((_, count)) => *count += 1,
                None => spread.push((domain.clone(), 1)),
            }
        }
        spread
    }

    /// Decides on a run: its room is set aside now, and it starts once this is committed.
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
            self.add_run(task, TaskRun::new(attempt, worker, class, kind, size));
            self.pool.record_start(worker);
        }
    }
}
