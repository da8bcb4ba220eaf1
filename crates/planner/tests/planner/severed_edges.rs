//! A planner's table and workers that go silent for good at its n-th call, as if it had died there.

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
    WorkerCalls,
    WorkerError,
    WorkerRequest,
    WriteId, //
};
use jasminebend_standins::{
    TableStandIn,
    WorkerFleet, //
};

/// Where a planner dies: at its n-th call, before the call takes effect or right after.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DeathPoint {
    pub(crate) call: usize,
    pub(crate) after_effect: bool,
}

/// The calls of one planner, counted over table and workers.
#[derive(Clone)]
pub(crate) struct SeveredEdges {
    table: TableStandIn,
    fleet: WorkerFleet,
    calls: Arc<AtomicUsize>,
    death: DeathPoint,
}

impl SeveredEdges {
    pub(crate) fn new(table: &TableStandIn, fleet: &WorkerFleet, death: DeathPoint) -> Self {
        Self {
            table: table.clone(),
            fleet: fleet.clone(),
            calls: Arc::default(),
            death,
        }
    }

    pub(crate) fn calls(&self) -> usize {
        self.calls.load(Ordering::Relaxed)
    }

    async fn meet_death<Answer, Call>(&self, call: Call) -> Answer
    where
        Call: Future<Output = Answer> + Send,
    {
        let count = self.calls.fetch_add(1, Ordering::Relaxed) + 1;
        if count > self.death.call || (count == self.death.call && !self.death.after_effect) {
            return pending().await;
        }
        let answer = call.await;
        if count == self.death.call {
            return pending().await;
        }
        answer
    }
}

#[async_trait]
impl TableService for SeveredEdges {
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, TableError> {
        self.meet_death(self.table.read(key)).await
    }

    async fn scan(
        &self,
        prefix: &RowKey,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        self.meet_death(self.table.scan(prefix, after, limit)).await
    }

    async fn commit(
        &self,
        write: WriteId,
        changes: Vec<RowChange>,
    ) -> Result<CommitOutcome, TableError> {
        self.meet_death(self.table.commit(write, changes)).await
    }
}

#[async_trait]
impl WorkerCalls for SeveredEdges {
    async fn call(
        &self,
        worker: SocketAddr,
        request: WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError> {
        self.meet_death(self.fleet.call(worker, request)).await
    }
}
