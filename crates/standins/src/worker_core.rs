//! The state of a stand-in worker. It reads no clock: every call is told the time, and first brings
//! the runs up to it.

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
    TaskAttempt,
    TaskEvent,
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
    WorkerKnobs,
    ended_runs::EndedRuns,
    run_set::RunSet,
    usage_lag::UsageLag,
    worker_lease::WorkerLease,
    worker_run::{
        FULL_SPEED,
        WorkerRun, //
    }, //
};

/// How long a run takes to fail on a worker that fails every task.
const DOOM: Duration = Duration::from_millis(10);

/// The state of a stand-in worker.
#[derive(Debug)]
pub(crate) struct WorkerCore {
    pub(crate) name: VmName,
    pub(crate) domain: DomainName,
    pub(crate) capacity: ResourceAmount,
    pub(crate) knobs: WorkerKnobs,
    pub(crate) ledger: Arc<RunLedger>,
    incarnation: u64,
    lease: WorkerLease,
    running: RunSet,
    ended: EndedRuns,
    usage: UsageLag,
}

impl WorkerCore {
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
            knobs: WorkerKnobs::default(),
            ledger,
            incarnation: seed,
            lease: WorkerLease::default(),
            running: RunSet::default(),
            ended: EndedRuns::default(),
            usage: UsageLag::new(seed),
        }
    }

    pub(crate) fn adopt(
        &mut self,
        now: Duration,
        adoption: EpochAdoption,
    ) -> Result<WorkerInventory, WorkerError> {
        self.settle(now);
        let moves = self.lease.moves_to(adoption.shard);
        self.lease.adopt(now, adoption)?;
        if moves {
            // A start of the former shard that comes late may carry the very epoch of this one; it
            // names the former incarnation.
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
        self.settle(now);
        self.lease.renew(now, renewal)?;
        self.ended.acknowledge(&renewal.acknowledged);
        self.running.measure(now, &self.knobs, &mut self.usage);
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
        self.usage.keep_running(|run| running.contains(run));
        // CAST: usize has at least 32 bits here.
        self.usage.due(now, limit as usize)
    }

    pub(crate) fn start(
        &mut self,
        now: Duration,
        epoch: OwnerEpoch,
        order: &TaskOrder,
    ) -> Result<(), WorkerError> {
        self.settle(now);
        self.lease.check_epoch(epoch)?;
        if self.running.contains(order.attempt) {
            return Ok(());
        }
        self.check_order(now, epoch, order)?;
        self.check_room(order.reserved)?;
        self.run(now, order);
        Ok(())
    }

    pub(crate) fn throttle(
        &mut self,
        now: Duration,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
        speed_millis: u32,
    ) -> Result<(), WorkerError> {
        self.settle(now);
        self.lease.check_epoch(epoch)?;
        let run = self
            .running
            .get_mut(attempt)
            .ok_or(WorkerError::UnknownRun)?;
        run.speed_millis = speed_millis.min(FULL_SPEED);
        Ok(())
    }

    pub(crate) fn checkpoint(
        &mut self,
        now: Duration,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<CheckpointId, WorkerError> {
        self.settle(now);
        self.lease.check_epoch(epoch)?;
        if let Some(TaskEvent::Checkpointed { checkpoint }) = self.ended.end_of(attempt) {
            return Ok(checkpoint.clone());
        }
        if !self.running.contains(attempt) {
            return Err(WorkerError::UnknownRun);
        }
        let checkpoint = self.keep(attempt).ok_or(WorkerError::CheckpointFailed)?;
        let event = TaskEvent::Checkpointed {
            checkpoint: checkpoint.clone(),
        };
        self.end(now, attempt, event);
        Ok(checkpoint)
    }

    pub(crate) fn stop(
        &mut self,
        now: Duration,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<(), WorkerError> {
        self.settle(now);
        self.lease.check_epoch(epoch)?;
        self.end(now, attempt, TaskEvent::Stopped);
        self.ended.mark(attempt);
        Ok(())
    }

    /// Restarts: everything is forgotten.
    pub(crate) fn restart(&mut self, now: Duration) {
        self.settle(now);
        for run in self.running.runs() {
            self.ledger
                .end(run.ledger_place, now, RunEnd::Vanished, None);
        }
        self.running.clear();
        self.ended = EndedRuns::default();
        self.usage.clear();
        self.lease = WorkerLease::default();
        self.incarnation += 1;
    }

    /// Brings the runs up to `now`, one end after another: each changes the others' speed.
    pub(crate) fn settle(&mut self, now: Duration) {
        while let Some((at, attempt)) = self.next_end().filter(|(at, _)| *at <= now) {
            self.running.advance(at, &self.knobs);
            match attempt {
                Some(attempt) => self.end_by_itself(at, attempt),
                None => self.lapse(at),
            }
        }
        self.running.advance(now, &self.knobs);
    }

    pub(crate) fn running_tasks(&self) -> Vec<WorkerTask> {
        self.running.runs().map(|run| run.to_task(None)).collect()
    }

    /// Guards against starts that come late: their sender has meanwhile taken the task for not
    /// started, and may run it elsewhere. Such an order belongs to an epoch that was not adopted
    /// here, or to a run that ended, or its time since the last renewal is over.
    fn check_order(
        &self,
        now: Duration,
        epoch: OwnerEpoch,
        order: &TaskOrder,
    ) -> Result<(), WorkerError> {
        self.lease.check_order(now, epoch, order.valid_for)?;
        let other = |meant| meant != self.incarnation;
        if order.incarnation.is_some_and(other) {
            return Err(WorkerError::OutOfDate);
        }
        let ended = self.ended.rules_out(order.attempt);
        let runs = self.running.has_task(order.attempt);
        if !ended && !runs {
            return Ok(());
        }
        Err(WorkerError::OutOfDate)
    }

    fn check_room(&self, reserved: ResourceAmount) -> Result<(), WorkerError> {
        let left = self.capacity.saturating_sub(self.running.reserved());
        if reserved.fits_in(left) {
            return Ok(());
        }
        self.ledger.note_over_capacity();
        Err(WorkerError::NoRoom)
    }

    fn run(&mut self, now: Duration, order: &TaskOrder) {
        let resumed = order.checkpoint.as_ref();
        let done_seconds = resumed.map_or(0.0, |checkpoint| self.ledger.resume(checkpoint));
        let place = self.ledger.start(RunRecord {
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
        let doomed = self.knobs.fails_every_task.then_some(now + DOOM);
        let run = WorkerRun::new(order, now, done_seconds, place).with_doom(doomed);
        self.running.insert(run);
        self.ledger
            .note_reserved(&self.name, self.running.reserved(), self.capacity);
    }

    fn end_by_itself(&mut self, now: Duration, attempt: TaskAttempt) {
        if let Some(event) = self.running.get(attempt).map(WorkerRun::own_end) {
            self.end(now, attempt, event);
        }
    }

    fn end(&mut self, now: Duration, attempt: TaskAttempt, event: TaskEvent) {
        let Some(run) = self.running.remove(attempt) else {
            return;
        };
        let (end, kept) = ledger_end(&event);
        self.ledger.end(run.ledger_place, now, end, kept);
        self.ended.insert(run.to_task(Some(event)));
    }

    /// Keeps a run's state, if this worker can.
    fn keep(&self, attempt: TaskAttempt) -> Option<CheckpointId> {
        let run = self.running.get(attempt)?;
        let name = format!("{}/{}/{attempt}", self.name, self.incarnation);
        let checkpoint = CheckpointId::from(name);
        match self.knobs.checkpoints {
            CheckpointMode::Kept => self.ledger.keep(checkpoint.clone(), run.done_seconds),
            CheckpointMode::Lost => {}
            CheckpointMode::Fails => return None,
        }
        Some(checkpoint)
    }

    /// The lease lapsed: the owner may by now have started the runs elsewhere.
    fn lapse(&mut self, now: Duration) {
        self.lease.lapse();
        let attempts: Vec<_> = self.running.runs().map(|run| run.attempt).collect();
        for attempt in attempts {
            let checkpoint = self.keep_batch(attempt);
            self.end(now, attempt, TaskEvent::Lapsed { checkpoint });
        }
    }

    fn keep_batch(&self, attempt: TaskAttempt) -> Option<CheckpointId> {
        let kind = self.running.get(attempt)?.kind;
        match kind {
            ClassKind::Batch => self.keep(attempt),
            ClassKind::Service => None,
        }
    }

    /// Returns the next end by itself, or the lapse of the lease as one without a run.
    fn next_end(&self) -> Option<(Duration, Option<TaskAttempt>)> {
        let lapse = self.lease.end().map(|at| (at, None));
        let end = self.running.next_end(&self.knobs);
        let end = end.map(|(at, attempt)| (at, Some(attempt)));
        // A run that ends at the very moment of the lapse has ended.
        end.into_iter().chain(lapse).min_by_key(|(at, _)| *at)
    }
}

fn ledger_end(event: &TaskEvent) -> (RunEnd, Option<CheckpointId>) {
    match event {
        TaskEvent::Finished { .. } => (RunEnd::Finished, None),
        TaskEvent::Failed { .. } => (RunEnd::Failed, None),
        TaskEvent::Checkpointed { checkpoint } => (RunEnd::Checkpointed, Some(checkpoint.clone())),
        TaskEvent::Stopped => (RunEnd::Stopped, None),
        TaskEvent::Lapsed { checkpoint } => (RunEnd::Lapsed, checkpoint.clone()),
    }
}
