//! The state of a stand-in worker. It reads no clock: every call takes the current time, and first simulates the runs
//! up to that time.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    ClassKind,
    DomainName,
    OwnerEpoch,
    ResourceAmount,
    VmName, //
};
use jasminebend_ports::{
    CheckpointId,
    EpochAdoption,
    LeaseRenewal,
    RunCompletion,
    TaskAttempt,
    TaskOrder,
    TaskUsage,
    WorkerError,
    WorkerInventory,
    WorkerReport,
    WorkerTask, //
};

use crate::{
    CheckpointMode,
    RunEnd,
    RunLedger,
    RunRecord,
    WorkerSettings,
    ended_runs::EndedRuns,
    run_set::RunSet,
    usage_queue::UsageQueue,
    worker_lease::WorkerLease,
    worker_run::{
        FULL_SPEED_MILLIS,
        WorkerRun, //
    }, //
};

/// The time after its start at which a run fails on a worker with `fails_every_task`.
const BROKEN_TASK_FAILURE_DELAY: Duration = Duration::from_millis(10);

/// The state of a stand-in worker: its lease, its runs in progress, and the ended runs that the owner has not
/// acknowledged.
#[derive(Debug)]
pub(crate) struct WorkerState {
    pub(crate) name: VmName,
    pub(crate) domain: DomainName,
    pub(crate) capacity: ResourceAmount,
    pub(crate) settings: WorkerSettings,
    pub(crate) ledger: Arc<RunLedger>,
    incarnation: u64,
    lease: WorkerLease,
    running: RunSet,
    ended: EndedRuns,
    usage: UsageQueue,
}

impl WorkerState {
    pub(crate) fn new(
        name: VmName,
        domain: DomainName,
        capacity: ResourceAmount,
        ledger: Arc<RunLedger>,
        seed: u64,
    ) -> Self {
        Self {
            name,
            domain,
            capacity,
            settings: WorkerSettings::default(),
            ledger,
            incarnation: seed,
            lease: WorkerLease::default(),
            running: RunSet::default(),
            ended: EndedRuns::default(),
            usage: UsageQueue::new(seed),
        }
    }

    pub(crate) fn adopt(
        &mut self,
        now: Duration,
        adoption: EpochAdoption,
    ) -> Result<WorkerInventory, WorkerError> {
        self.advance_to(now);
        let changes_shard = self.lease.changes_shard(adoption.shard);
        self.lease.adopt(now, adoption)?;
        if changes_shard {
            // A delayed start order of the former shard may carry the same epoch as this shard. It names the former
            // incarnation, so that changing the incarnation rejects it.
            self.incarnation += 1;
        }
        let running = self.running.runs().map(|run| run.to_task(None));
        Ok(WorkerInventory {
            incarnation: self.incarnation,
            epoch: self.lease.epoch(),
            capacity: self.capacity,
            tasks: running.chain(self.ended.tasks()).collect(),
        })
    }

    pub(crate) fn renew(
        &mut self,
        now: Duration,
        renewal: &LeaseRenewal,
    ) -> Result<WorkerReport, WorkerError> {
        self.advance_to(now);
        self.lease.renew(now, renewal)?;
        self.ended.acknowledge(&renewal.acknowledged);
        self.running.measure(now, &self.settings, &mut self.usage);
        Ok(WorkerReport {
            incarnation: self.incarnation,
            // CAST: a worker holds far fewer runs than 2^32.
            running: self.running.len() as u32,
            ended: self.ended.tasks().collect(),
            usage: self.report_usage(now, renewal.usage_limit),
        })
    }

    fn report_usage(&mut self, now: Duration, limit: u32) -> Vec<TaskUsage> {
        let running = &self.running;
        self.usage.retain_running(|run| running.contains(run));
        // CAST: usize has at least 32 bits here.
        self.usage.take_due(now, limit as usize)
    }

    pub(crate) fn start(
        &mut self,
        now: Duration,
        epoch: OwnerEpoch,
        order: &TaskOrder,
    ) -> Result<(), WorkerError> {
        self.advance_to(now);
        self.lease.check_epoch(epoch)?;
        if self.running.contains(order.attempt) {
            return Ok(());
        }
        self.check_order(now, epoch, order)?;
        self.check_capacity(order.reserved)?;
        self.start_run(now, order);
        Ok(())
    }

    pub(crate) fn throttle(
        &mut self,
        now: Duration,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
        speed_millis: u32,
    ) -> Result<(), WorkerError> {
        self.advance_to(now);
        self.lease.check_epoch(epoch)?;
        let run = self
            .running
            .get_mut(attempt)
            .ok_or(WorkerError::UnknownRun)?;
        run.speed_millis = speed_millis.min(FULL_SPEED_MILLIS);
        Ok(())
    }

    pub(crate) fn checkpoint(
        &mut self,
        now: Duration,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<CheckpointId, WorkerError> {
        self.advance_to(now);
        self.lease.check_epoch(epoch)?;
        if let Some(RunCompletion::Checkpointed { checkpoint }) = self.ended.event_of(attempt) {
            return Ok(checkpoint.clone());
        }
        if !self.running.contains(attempt) {
            return Err(WorkerError::UnknownRun);
        }
        let checkpoint = self
            .save_checkpoint(attempt)
            .ok_or(WorkerError::CheckpointFailed)?;
        let event = RunCompletion::Checkpointed {
            checkpoint: checkpoint.clone(),
        };
        self.end_run(now, attempt, event);
        Ok(checkpoint)
    }

    pub(crate) fn stop(
        &mut self,
        now: Duration,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<(), WorkerError> {
        self.advance_to(now);
        self.lease.check_epoch(epoch)?;
        self.end_run(now, attempt, RunCompletion::Stopped);
        self.ended.record_ended(attempt);
        Ok(())
    }

    /// Restarts the worker: its runs vanish, its state and lease are lost, and its incarnation increases.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.advance_to(now);
        for run in self.running.runs() {
            self.ledger
                .record_end(run.ledger_index, now, RunEnd::WorkerFailed, None);
        }
        self.running.clear();
        self.ended = EndedRuns::default();
        self.usage.clear();
        self.lease = WorkerLease::default();
        self.incarnation += 1;
    }

    /// Simulates the runs up to `now`, in the order of their completions, because each completion changes the speed of
    /// the remaining runs.
    pub(crate) fn advance_to(&mut self, now: Duration) {
        while let Some((at, attempt)) = self.next_event().filter(|(at, _)| *at <= now) {
            self.running.advance(at, &self.settings);
            match attempt {
                Some(attempt) => self.complete_run(at, attempt),
                None => self.lapse_lease(at),
            }
        }
        self.running.advance(now, &self.settings);
    }

    pub(crate) fn running_tasks(&self) -> Vec<WorkerTask> {
        self.running.runs().map(|run| run.to_task(None)).collect()
    }

    /// Rejects delayed start orders: their sender may meanwhile have considered the task not started and have started
    /// it elsewhere. An order is late if its epoch or incarnation is not the current one, if the lease was last
    /// renewed longer than `valid_for` ago, if any run of the task is in progress, or if this run or a later one of the
    /// task has ended.
    fn check_order(
        &self,
        now: Duration,
        epoch: OwnerEpoch,
        order: &TaskOrder,
    ) -> Result<(), WorkerError> {
        self.lease.check_order(now, epoch, order.valid_for)?;
        let differs = |named| named != self.incarnation;
        if order.incarnation.is_some_and(differs) {
            return Err(WorkerError::OutOfDate);
        }
        let has_ended = self.ended.has_ended(order.attempt);
        let is_running = self.running.has_task(order.attempt);
        if !has_ended && !is_running {
            return Ok(());
        }
        Err(WorkerError::OutOfDate)
    }

    fn check_capacity(&self, reserved: ResourceAmount) -> Result<(), WorkerError> {
        let left = self.capacity.saturating_sub(self.running.reserved());
        if reserved.fits_in(left) {
            return Ok(());
        }
        self.ledger.count_over_capacity();
        Err(WorkerError::InsufficientCapacity)
    }

    fn start_run(&mut self, now: Duration, order: &TaskOrder) {
        let resumed = order.checkpoint.as_ref();
        let done_seconds = resumed.map_or(0.0, |checkpoint| {
            self.ledger.checkpoint_work_seconds(checkpoint)
        });
        let ledger_index = self.ledger.record_start(RunRecord {
            attempt: order.attempt,
            class: order.class.clone(),
            kind: order.kind,
            worker: self.name.clone(),
            domain: self.domain.clone(),
            started: now,
            resumed: resumed.cloned(),
            ended: None,
            kept: None,
        });
        let fails_at = self
            .settings
            .fails_every_task
            .then_some(now + BROKEN_TASK_FAILURE_DELAY);
        let run = WorkerRun::new(order, now, done_seconds, ledger_index).with_failure_at(fails_at);
        self.running.insert(run);
        self.ledger
            .record_reserved(&self.name, self.running.reserved(), self.capacity);
    }

    fn complete_run(&mut self, now: Duration, attempt: TaskAttempt) {
        if let Some(event) = self.running.get(attempt).map(WorkerRun::completion_event) {
            self.end_run(now, attempt, event);
        }
    }

    fn end_run(&mut self, now: Duration, attempt: TaskAttempt, event: RunCompletion) {
        let Some(run) = self.running.remove(attempt) else {
            return;
        };
        let (end, kept) = ledger_end(&event);
        self.ledger.record_end(run.ledger_index, now, end, kept);
        self.ended.insert(run.to_task(Some(event)));
    }

    /// Saves a checkpoint of a run. Returns `None` if the run is unknown or checkpoints fail on this worker.
    fn save_checkpoint(&self, attempt: TaskAttempt) -> Option<CheckpointId> {
        let run = self.running.get(attempt)?;
        let name = format!("{}/{}/{attempt}", self.name, self.incarnation);
        let checkpoint = CheckpointId::from(name);
        match self.settings.checkpoints {
            CheckpointMode::Saved => self
                .ledger
                .save_checkpoint(checkpoint.clone(), run.done_seconds),
            CheckpointMode::Lost => {}
            CheckpointMode::Fails => return None,
        }
        Some(checkpoint)
    }

    /// Ends every run because the lease lapsed: the owner may meanwhile have started the tasks elsewhere.
    fn lapse_lease(&mut self, now: Duration) {
        self.lease.lapse();
        let attempts: Vec<_> = self.running.runs().map(|run| run.attempt).collect();
        for attempt in attempts {
            let checkpoint = self.save_batch_checkpoint(attempt);
            self.end_run(now, attempt, RunCompletion::Lapsed { checkpoint });
        }
    }

    fn save_batch_checkpoint(&self, attempt: TaskAttempt) -> Option<CheckpointId> {
        let kind = self.running.get(attempt)?.kind;
        match kind {
            ClassKind::Batch => self.save_checkpoint(attempt),
            ClassKind::Service => None,
        }
    }

    /// Returns the time and the run of the next completion, or the time at which the lease lapses, without a run.
    /// Whichever comes first is returned.
    fn next_event(&self) -> Option<(Duration, Option<TaskAttempt>)> {
        let lapse = self.lease.end().map(|at| (at, None));
        let completion = self.running.next_completion(&self.settings);
        let completion = completion.map(|(at, attempt)| (at, Some(attempt)));
        // A run that completes at the time of the lapse counts as completed, since `min_by_key` returns the first
        // minimum.
        completion
            .into_iter()
            .chain(lapse)
            .min_by_key(|(at, _)| *at)
    }
}

fn ledger_end(event: &RunCompletion) -> (RunEnd, Option<CheckpointId>) {
    match event {
        RunCompletion::Finished { .. } => (RunEnd::Finished, None),
        RunCompletion::Failed { .. } => (RunEnd::Failed, None),
        RunCompletion::Checkpointed { checkpoint } => {
            (RunEnd::Checkpointed, Some(checkpoint.clone()))
        }
        RunCompletion::Stopped => (RunEnd::Stopped, None),
        RunCompletion::Lapsed { checkpoint } => (RunEnd::Lapsed, checkpoint.clone()),
    }
}
