//! The calls that a shard's actor makes.

use std::{
    future::Future,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use jasminebend_base::{
    DomainName,
    DomainState,
    OwnerEpoch, //
};
use jasminebend_placement::{
    JobId,
    TaskId,
    WorkerKey, //
};
use jasminebend_ports::{
    ObjectKey,
    RowChange,
    RowKey,
    TaskAttempt,
    TaskOrder,
    WriteId, //
};
use ractor::ActorRef;
use tokio::task::JoinSet;

use crate::{
    PlannerEdges,
    call_error::CallError,
    flight_count::FlightCount,
    journal_store,
    row_names,
    shard_message::ShardMessage,
    shard_permit::ShardPermit,
    task_names::attempt_of,
    trace_span, //
};

/// The most submissions and the most cancellation rows that are read at once.
pub(crate) const ROWS_PER_SCAN: usize = 200;

/// The calls that a shard's actor makes. Each runs by itself and answers with a message, so that a
/// slow worker or table never keeps the actor; all end with the actor.
pub(crate) struct ShardCalls {
    pub(crate) permit: ShardPermit,
    pub(crate) edges: Arc<PlannerEdges>,
    actor: ActorRef<ShardMessage>,
    flights: FlightCount,
    tasks: JoinSet<()>,
}

impl ShardCalls {
    pub(crate) fn new(
        permit: ShardPermit,
        edges: Arc<PlannerEdges>,
        actor: ActorRef<ShardMessage>,
        flights: FlightCount,
    ) -> Self {
        Self {
            permit,
            edges,
            actor,
            flights,
            tasks: JoinSet::new(),
        }
    }

    fn epoch(&self) -> OwnerEpoch {
        self.permit.epoch
    }

    pub(crate) fn run<Call>(&mut self, call: Call)
    where
        Call: Future<Output = ShardMessage> + Send + 'static,
    {
        while self.tasks.try_join_next().is_some() {}
        let guard = self.flights.begin();
        let actor = self.actor.clone();
        self.tasks.spawn(async move {
            let message = call.await;
            drop(guard);
            // The actor is gone only once the shard is; nobody waits for the answer then.
            let _ = actor.cast(message);
        });
    }

    pub(crate) fn open(&mut self, write: WriteId) {
        let edges = Arc::clone(&self.edges);
        let (shard, epoch) = (self.permit.shard, self.epoch());
        self.run(async move {
            let opened =
                journal_store::open(&edges.table, &edges.objects, shard, epoch, write).await;
            ShardMessage::Opened(Box::new(opened))
        });
    }

    pub(crate) fn commit(&mut self, write: WriteId, changes: Vec<RowChange>) {
        let edges = Arc::clone(&self.edges);
        self.run(async move {
            let _span = trace_span::begin("planner.commit");
            ShardMessage::Committed(edges.table.commit(write, changes).await)
        });
    }

    pub(crate) fn keep_snapshot(&mut self, key: ObjectKey, entries: usize, body: Bytes) {
        let edges = Arc::clone(&self.edges);
        self.run(async move {
            let result = edges.objects.put(&key, body).await;
            ShardMessage::SnapshotKept {
                key,
                entries,
                result,
            }
        });
    }

    pub(crate) fn keep_results(
        &mut self,
        job: JobId,
        key: ObjectKey,
        body: Bytes,
        delay: Duration,
    ) {
        let edges = Arc::clone(&self.edges);
        self.run(async move {
            tokio::time::sleep(delay).await;
            let result = edges.objects.put(&key, body.clone()).await;
            ShardMessage::ResultsKept { job, body, result }
        });
    }

    pub(crate) fn drop_object(&mut self, key: ObjectKey) {
        let edges = Arc::clone(&self.edges);
        self.run(async move {
            // What stays behind costs room and nothing else.
            let _ = edges.objects.delete(&key).await;
            ShardMessage::Noted
        });
    }

    pub(crate) fn sweep(&mut self, after: Option<RowKey>) {
        let edges = Arc::clone(&self.edges);
        self.run(async move {
            let prefix = RowKey::from(row_names::JOBS);
            let rows = edges.table.scan(&prefix, after.as_ref(), ROWS_PER_SCAN);
            ShardMessage::Swept(rows.await)
        });
    }

    pub(crate) fn scan(&mut self, started: Duration) {
        let edges = Arc::clone(&self.edges);
        let shard = self.permit.shard;
        self.run(async move {
            let inbox = row_names::inbox(shard);
            let cancels = row_names::cancels(shard);
            // Cancellations are read first: a job is submitted before it is cancelled, so that the
            // second look shows every job that the first one names, or it was taken in before.
            let cancels = edges.table.scan(&cancels, None, ROWS_PER_SCAN).await;
            let submissions = edges.table.scan(&inbox, None, ROWS_PER_SCAN).await;
            ShardMessage::Scanned {
                started,
                submissions,
                cancels,
            }
        });
    }

    /// Starts a run, unless its failure domain was taken out in the meantime: the newest
    /// configuration is looked at here, after every wait.
    pub(crate) fn start(
        &mut self,
        task: TaskId,
        address: SocketAddr,
        domain: DomainName,
        order: TaskOrder,
    ) {
        let edges = Arc::clone(&self.edges);
        let permit = self.permit.clone();
        self.run(async move {
            let _span = trace_span::begin("planner.start");
            let attempt = order.attempt.attempt;
            let is_in = edges.configuration.borrow().domain_state(&domain) == DomainState::In;
            let result = match is_in && permit.granted() {
                true => {
                    let started = edges.workers.start(address, permit.epoch, order).await;
                    started.map_err(CallError::from)
                }
                false => Err(CallError::Withheld),
            };
            ShardMessage::Started {
                task,
                attempt,
                result,
            }
        });
    }

    pub(crate) fn checkpoint(&mut self, task: TaskId, attempt: u32, address: SocketAddr) {
        let edges = Arc::clone(&self.edges);
        let permit = self.permit.clone();
        self.run(async move {
            let run = attempt_of(task, attempt);
            let result = match permit.granted() {
                true => {
                    let kept = edges.workers.checkpoint(address, permit.epoch, run).await;
                    kept.map_err(CallError::from)
                }
                false => Err(CallError::Withheld),
            };
            ShardMessage::Checkpointed {
                task,
                attempt,
                result,
            }
        });
    }

    pub(crate) fn stop(&mut self, task: TaskId, attempt: u32, address: SocketAddr) {
        let edges = Arc::clone(&self.edges);
        let permit = self.permit.clone();
        self.run(async move {
            let run = attempt_of(task, attempt);
            let result = stop_run(&edges, &permit, address, run).await;
            ShardMessage::Stopped {
                task,
                attempt,
                result,
            }
        });
    }

    pub(crate) fn stop_stray(&mut self, worker: WorkerKey, run: TaskAttempt, address: SocketAddr) {
        let edges = Arc::clone(&self.edges);
        let permit = self.permit.clone();
        self.run(async move {
            let result = stop_run(&edges, &permit, address, run).await;
            ShardMessage::StrayStopped {
                worker,
                run,
                result,
            }
        });
    }

    pub(crate) fn throttle(&mut self, address: SocketAddr, run: TaskAttempt, speed: u32) {
        let edges = Arc::clone(&self.edges);
        let permit = self.permit.clone();
        self.run(async move {
            if permit.granted() {
                // The ladder judges by what is measured next, whether this arrived or not.
                let _ = edges
                    .workers
                    .throttle(address, permit.epoch, run, speed)
                    .await;
            }
            ShardMessage::Noted
        });
    }
}

async fn stop_run(
    edges: &PlannerEdges,
    permit: &ShardPermit,
    address: SocketAddr,
    run: TaskAttempt,
) -> Result<(), CallError> {
    withhold_unless(permit.granted())?;
    Ok(edges.workers.stop(address, permit.epoch, run).await?)
}

pub(crate) fn withhold_unless(granted: bool) -> Result<(), CallError> {
    match granted {
        true => Ok(()),
        false => Err(CallError::Withheld),
    }
}
