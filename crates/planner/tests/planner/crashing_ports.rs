//! A table and workers that stop answering at a planner's n-th call, as if the planner had crashed
//! there.

use std::{
    future::pending,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
};

use async_trait::async_trait;
use jasminebend_ports::{
    CommitOutcome,
    RowChange,
    RowKey,
    TableError,
    TableRow,
    TableService,
    WorkerAnswer,
    WorkerError,
    WorkerRequest,
    WorkerTransport,
    WriteId, //
};
use jasminebend_standins::{
    TableStandIn,
    WorkerFleet, //
};

/// The call at which a planner crashes, before or right after the call takes effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CrashPoint {
    /// Number of the call, counted from 1.
    pub(crate) call: usize,
    pub(crate) after_effect: bool,
}

/// The table and workers of one planner, with a common count of its calls.
#[derive(Clone)]
pub(crate) struct CrashingPorts {
    table: TableStandIn,
    fleet: WorkerFleet,
    calls: Arc<AtomicUsize>,
    crash_point: CrashPoint,
}

impl CrashingPorts {
    pub(crate) fn new(table: &TableStandIn, fleet: &WorkerFleet, crash_point: CrashPoint) -> Self {
        Self {
            table: table.clone(),
            fleet: fleet.clone(),
            calls: Arc::default(),
            crash_point,
        }
    }

    /// Returns the number of calls so far.
    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    /// Performs a call, or never returns if the planner has crashed at or before it.
    async fn call_until_crash<Answer, Call>(&self, call: Call) -> Answer
    where
        Call: Future<Output = Answer> + Send,
    {
        let count = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        if count > self.crash_point.call
            || (count == self.crash_point.call && !self.crash_point.after_effect)
        {
            return pending().await;
        }
        let answer = call.await;
        if count == self.crash_point.call {
            return pending().await;
        }
        answer
    }
}

#[async_trait]
impl TableService for CrashingPorts {
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, TableError> {
        self.call_until_crash(self.table.read(key)).await
    }

    async fn scan(
        &self,
        prefix: &RowKey,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        self.call_until_crash(self.table.scan(prefix, after, limit))
            .await
    }

    async fn commit(
        &self,
        write: WriteId,
        changes: Vec<RowChange>,
    ) -> Result<CommitOutcome, TableError> {
        self.call_until_crash(self.table.commit(write, changes))
            .await
    }
}

#[async_trait]
impl WorkerTransport for CrashingPorts {
    async fn call(
        &self,
        worker: SocketAddr,
        request: WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError> {
        self.call_until_crash(self.fleet.call(worker, request))
            .await
    }
}
