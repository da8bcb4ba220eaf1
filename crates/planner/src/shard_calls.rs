//! Calls of a shard's actor to the table, the object store and workers.

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
    PlannerPorts,
    in_flight_calls::InFlightCalls,
    journal_store,
    row_keys,
    shard_message::ShardMessage,
    shard_permit::ShardPermit,
    task_attempts::attempt_of,
    trace_span,
    worker_call_error::WorkerCallError, //
};

/// Limits the rows of one scan: submissions, cancellations or job rows.
pub(crate) const MAX_ROWS_PER_SCAN: usize = 200;

/// Calls of a shard's actor. Each runs as its own task and sends its result to the actor as a
/// message, so that a slow worker or table never blocks the actor. All end with the actor.
pub(crate) struct ShardCalls {
    pub(crate) permit: ShardPermit,
    pub(crate) ports: Arc<PlannerPorts>,
    actor: ActorRef<ShardMessage>,
    in_flight_calls: InFlightCalls,
    tasks: JoinSet<()>,
}

impl ShardCalls {
    pub(crate) fn new(
        permit: ShardPermit,
        ports: Arc<PlannerPorts>,
        actor: ActorRef<ShardMessage>,
        in_flight_calls: InFlightCalls,
    ) -> Self {
        Self {
            permit,
            ports,
            actor,
            in_flight_calls,
            tasks: JoinSet::new(),
        }
    }

    fn epoch(&self) -> OwnerEpoch {
        self.permit.epoch
    }

    /// Starts a call as a task and sends its result to the actor.
    pub(crate) fn spawn<Call>(&mut self, call: Call)
    where
        Call: Future<Output = ShardMessage> + Send + 'static,
    {
        while self.tasks.try_join_next().is_some() {}
        let guard = self.in_flight_calls.track();
        let actor = self.actor.clone();
        self.tasks.spawn(async move {
            let message = call.await;
            drop(guard);
            // If the actor has ended, nothing waits for the result.
            let _ = actor.cast(message);
        });
    }

    /// Reads the shard's journal.
    pub(crate) fn read_journal(&mut self, write: WriteId) {
        let ports = Arc::clone(&self.ports);
        let (shard, epoch) = (self.permit.shard, self.epoch());
        self.spawn(async move {
            let opened =
                journal_store::open_journal(&ports.table, &ports.objects, shard, epoch, write)
                    .await;
            ShardMessage::Opened(Box::new(opened))
        });
    }

    /// Commits changes to the table.
    pub(crate) fn commit(&mut self, write: WriteId, changes: Vec<RowChange>) {
        let ports = Arc::clone(&self.ports);
        self.spawn(async move {
            let _span = trace_span::start_span("planner.commit");
            ShardMessage::Committed(ports.table.commit(write, changes).await)
        });
    }

    /// Writes a snapshot to the object store.
    pub(crate) fn store_snapshot(&mut self, key: ObjectKey, entries: usize, body: Bytes) {
        let ports = Arc::clone(&self.ports);
        self.spawn(async move {
            let result = ports.objects.put(&key, body).await;
            ShardMessage::SnapshotStored {
                key,
                entries,
                result,
            }
        });
    }

    /// Writes a job's results to the object store after a delay.
    pub(crate) fn store_results(
        &mut self,
        job: JobId,
        key: ObjectKey,
        body: Bytes,
        delay: Duration,
    ) {
        let ports = Arc::clone(&self.ports);
        self.spawn(async move {
            tokio::time::sleep(delay).await;
            let result = ports.objects.put(&key, body.clone()).await;
            ShardMessage::ResultsStored { job, body, result }
        });
    }

    /// Deletes an object.
    pub(crate) fn delete_object(&mut self, key: ObjectKey) {
        let ports = Arc::clone(&self.ports);
        self.spawn(async move {
            // An object that is not deleted only costs storage.
            let _ = ports.objects.delete(&key).await;
            ShardMessage::CallCompleted
        });
    }

    /// Reads the next job rows after a key.
    pub(crate) fn scan_job_rows(&mut self, after: Option<RowKey>) {
        let ports = Arc::clone(&self.ports);
        self.spawn(async move {
            let prefix = RowKey::from(row_keys::JOBS_PREFIX);
            let rows = ports.table.scan(&prefix, after.as_ref(), MAX_ROWS_PER_SCAN);
            ShardMessage::JobRowsScanned(rows.await)
        });
    }

    /// Reads the shard's inbox and cancellations.
    pub(crate) fn scan_inbox(&mut self, started: Duration) {
        let ports = Arc::clone(&self.ports);
        let shard = self.permit.shard;
        self.spawn(async move {
            let inbox = row_keys::inbox_prefix(shard);
            let cancellations = row_keys::cancellations_prefix(shard);
            // Cancellations are read first. A job is submitted before it is cancelled, so every job
            // that the first scan names is in the second one unless it was accepted before.
            let cancellations = ports
                .table
                .scan(&cancellations, None, MAX_ROWS_PER_SCAN)
                .await;
            let submissions = ports.table.scan(&inbox, None, MAX_ROWS_PER_SCAN).await;
            ShardMessage::InboxScanned {
                started,
                submissions,
                cancellations,
            }
        });
    }

    /// Starts a run unless its failure domain has been taken out. The newest configuration is
    /// checked here, immediately before the call is sent.
    pub(crate) fn start(
        &mut self,
        task: TaskId,
        address: SocketAddr,
        domain: DomainName,
        order: TaskOrder,
    ) {
        let ports = Arc::clone(&self.ports);
        let permit = self.permit.clone();
        self.spawn(async move {
            let _span = trace_span::start_span("planner.start");
            let attempt = order.attempt.attempt;
            let is_in = ports.configuration.borrow().domain_state(&domain) == DomainState::In;
            let result = match is_in && permit.is_granted() {
                true => {
                    let started = ports.workers.start(address, permit.epoch, order).await;
                    started.map_err(WorkerCallError::from)
                }
                false => Err(WorkerCallError::NotSent),
            };
            ShardMessage::Started {
                task,
                attempt,
                result,
            }
        });
    }

    /// Orders a worker to checkpoint and end a run.
    pub(crate) fn checkpoint(&mut self, task: TaskId, attempt: u32, address: SocketAddr) {
        let ports = Arc::clone(&self.ports);
        let permit = self.permit.clone();
        self.spawn(async move {
            let run = attempt_of(task, attempt);
            let result = match permit.is_granted() {
                true => {
                    let kept = ports.workers.checkpoint(address, permit.epoch, run).await;
                    kept.map_err(WorkerCallError::from)
                }
                false => Err(WorkerCallError::NotSent),
            };
            ShardMessage::Checkpointed {
                task,
                attempt,
                result,
            }
        });
    }

    /// Orders a worker to stop a run.
    pub(crate) fn stop(&mut self, task: TaskId, attempt: u32, address: SocketAddr) {
        let ports = Arc::clone(&self.ports);
        let permit = self.permit.clone();
        self.spawn(async move {
            let run = attempt_of(task, attempt);
            let result = stop_run(&ports, &permit, address, run).await;
            ShardMessage::Stopped {
                task,
                attempt,
                result,
            }
        });
    }

    /// Orders a worker to stop a run that the journal does not place there.
    pub(crate) fn stop_orphan(&mut self, worker: WorkerKey, run: TaskAttempt, address: SocketAddr) {
        let ports = Arc::clone(&self.ports);
        let permit = self.permit.clone();
        self.spawn(async move {
            let result = stop_run(&ports, &permit, address, run).await;
            ShardMessage::OrphanStopped {
                worker,
                run,
                result,
            }
        });
    }

    /// Sets the speed of a run, in thousandths of full speed.
    pub(crate) fn throttle(&mut self, address: SocketAddr, run: TaskAttempt, speed: u32) {
        let ports = Arc::clone(&self.ports);
        let permit = self.permit.clone();
        self.spawn(async move {
            if permit.is_granted() {
                // The overload controller decides by the next measurements, whether this call
                // arrived or not.
                let _ = ports
                    .workers
                    .throttle(address, permit.epoch, run, speed)
                    .await;
            }
            ShardMessage::CallCompleted
        });
    }
}

async fn stop_run(
    ports: &PlannerPorts,
    permit: &ShardPermit,
    address: SocketAddr,
    run: TaskAttempt,
) -> Result<(), WorkerCallError> {
    require_permit(permit.is_granted())?;
    Ok(ports.workers.stop(address, permit.epoch, run).await?)
}

/// Returns an error unless the permit was granted.
pub(crate) fn require_permit(granted: bool) -> Result<(), WorkerCallError> {
    match granted {
        true => Ok(()),
        false => Err(WorkerCallError::NotSent),
    }
}
