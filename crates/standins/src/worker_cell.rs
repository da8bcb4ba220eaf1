//! A stand-in worker's state with the clock that it lives by.

use std::{
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use jasminebend_ports::{
    ClockSource,
    WorkerAnswer,
    WorkerError,
    WorkerRequest, //
};

use crate::{
    run_ledger::SettleRuns,
    worker_core::WorkerCore, //
};

/// A stand-in worker's state with the clock that it lives by.
pub(crate) struct WorkerCell {
    core: Mutex<WorkerCore>,
    clock: Arc<dyn ClockSource>,
}

impl WorkerCell {
    pub(crate) fn new(core: WorkerCore, clock: Arc<dyn ClockSource>) -> Self {
        Self {
            core: Mutex::new(core),
            clock,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, WorkerCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn carry_out(&self, request: &WorkerRequest) -> Result<WorkerAnswer, WorkerError> {
        let mut core = self.lock();
        let now = self.now();
        match request {
            WorkerRequest::Adopt(adoption) => {
                core.adopt(now, *adoption).map(WorkerAnswer::Inventory)
            }
            WorkerRequest::Renew(renewal) => core.renew(now, renewal).map(WorkerAnswer::Report),
            WorkerRequest::Start { epoch, order } => {
                core.start(now, *epoch, order).map(|()| WorkerAnswer::Done)
            }
            WorkerRequest::Throttle {
                epoch,
                attempt,
                speed_millis,
            } => core
                .throttle(now, *epoch, *attempt, *speed_millis)
                .map(|()| WorkerAnswer::Done),
            WorkerRequest::Checkpoint { epoch, attempt } => core
                .checkpoint(now, *epoch, *attempt)
                .map(WorkerAnswer::Checkpoint),
            WorkerRequest::Stop { epoch, attempt } => core
                .stop(now, *epoch, *attempt)
                .map(|()| WorkerAnswer::Done),
        }
    }
}

impl SettleRuns for WorkerCell {
    fn settle(&self) {
        let mut core = self.lock();
        let now = self.now();
        core.settle(now);
    }
}
