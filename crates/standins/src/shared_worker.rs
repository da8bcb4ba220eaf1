//! The shared state of a stand-in worker with its clock.

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
    run_ledger::AdvanceRuns,
    worker_state::WorkerState, //
};

/// The shared state of a stand-in worker with its clock. Calls are dispatched to the state with the current time.
pub(crate) struct SharedWorker {
    state: Mutex<WorkerState>,
    clock: Arc<dyn ClockSource>,
}

impl SharedWorker {
    pub(crate) fn new(state: WorkerState, clock: Arc<dyn ClockSource>) -> Self {
        Self {
            state: Mutex::new(state),
            clock,
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn handle(&self, request: &WorkerRequest) -> Result<WorkerAnswer, WorkerError> {
        let mut state = self.lock();
        let now = self.now();
        match request {
            WorkerRequest::Adopt(adoption) => {
                state.adopt(now, *adoption).map(WorkerAnswer::Inventory)
            }
            WorkerRequest::Renew(renewal) => state.renew(now, renewal).map(WorkerAnswer::Report),
            WorkerRequest::Start { epoch, order } => {
                state.start(now, *epoch, order).map(|()| WorkerAnswer::Done)
            }
            WorkerRequest::Throttle {
                epoch,
                attempt,
                speed_millis,
            } => state
                .throttle(now, *epoch, *attempt, *speed_millis)
                .map(|()| WorkerAnswer::Done),
            WorkerRequest::Checkpoint { epoch, attempt } => state
                .checkpoint(now, *epoch, *attempt)
                .map(WorkerAnswer::Checkpoint),
            WorkerRequest::Stop { epoch, attempt } => state
                .stop(now, *epoch, *attempt)
                .map(|()| WorkerAnswer::Done),
        }
    }
}

impl AdvanceRuns for SharedWorker {
    fn advance_runs(&self) {
        let mut state = self.lock();
        let now = self.now();
        state.advance_to(now);
    }
}
