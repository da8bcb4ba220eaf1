//! The entry point of a daemon's planner.

use std::sync::Arc;

use async_trait::async_trait;
use indexmap::IndexMap;
use jasminebend_base::ResourceId;
use jasminebend_placement::{
    JobId,
    JobSpec, //
};
use jasminebend_ports::ResourceUser;
use ractor::{
    ActorRef,
    rpc::CallResult, //
};
use tokio::{
    sync::{
        mpsc,
        oneshot,
        watch, //
    },
    time::Duration,
};

use crate::{
    JobError,
    JobStatus,
    PlannerPorts,
    PlannerSettings,
    SubmitError,
    cancellation_batcher::{
        self,
        CancellationRequest, //
    },
    job_api::JobApi,
    job_phase::JobPhase,
    shard_message::ShardMessage,
    shard_supervisor::ShardSupervisor, //
};

/// How long a query waits for the answer of a shard's actor.
const ACTOR_REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// A handle of a daemon's planner, which plans the shards that the daemon owns and accepts
/// submissions for all shards. The planner stops when the last clone is dropped.
#[derive(Clone)]
pub struct PlannerHandle {
    supervisor: Arc<ShardSupervisor>,
    job_api: Arc<JobApi>,
    cancellations: mpsc::Sender<CancellationRequest>,
    /// Stops the supervisor when the last clone is dropped.
    _shutdown_guard: Arc<watch::Sender<()>>,
}

impl PlannerHandle {
    /// Starts a planner, with its shard supervisor and cancellation batches.
    pub async fn start(settings: PlannerSettings, ports: PlannerPorts) -> Self {
        let ports = Arc::new(ports);
        let supervisor = Arc::new(ShardSupervisor::new(settings, Arc::clone(&ports)));
        let job_api = Arc::new(JobApi::new(settings, ports));
        let cancellations = cancellation_batcher::start(Arc::clone(&job_api));
        let (open, closed) = watch::channel(());
        tokio::spawn(Arc::clone(&supervisor).run(closed));
        Self {
            supervisor,
            job_api,
            cancellations,
            _shutdown_guard: Arc::new(open),
        }
    }

    /// Submits a job. `Ok` means that it is stored, and an error other than
    /// [`SubmitError::Unknown`] means that it is not.
    ///
    /// # Errors
    ///
    /// Any [`SubmitError`]; only [`SubmitError::Unknown`] leaves open whether the job was accepted.
    pub async fn submit(&self, spec: JobSpec) -> Result<JobId, SubmitError> {
        let result = self.job_api.submit(spec).await;
        let label = match &result {
            Ok(_) => "accepted",
            Err(SubmitError::Unknown { .. }) => "unknown",
            Err(_) => "refused",
        };
        metrics::counter!("jasminebend_planner_submissions_total", "answer" => label).increment(1);
        result
    }

    /// Returns the status of a job. Results are included only once they are committed.
    ///
    /// # Errors
    ///
    /// Any [`JobError`].
    pub async fn job_status(&self, job: JobId) -> Result<JobStatus, JobError> {
        let row = match self.job_api.read_job(job).await {
            Ok(row) => row,
            Err(JobError::Table(error)) => {
                let known = self.find_live_status(job).await;
                return known.ok_or(JobError::Table(error));
            }
            Err(error) => return Err(error),
        };
        if has_ended(&row.status) {
            return Ok(row.status);
        }
        let live = match self.supervisor.actor(row.shard) {
            Some(actor) => live_status(&actor, job).await,
            None => None,
        };
        Ok(live.unwrap_or(row.status))
    }

    /// Cancels a job. When this returns, the cancellation is stored; once the owner of the job's
    /// home shard has read it, no task of the job is started any more and running ones are stopped.
    ///
    /// # Errors
    ///
    /// Any [`JobError`].
    pub async fn cancel(&self, job: JobId) -> Result<(), JobError> {
        let row = self.job_api.read_job(job).await?;
        if has_ended(&row.status) {
            return Ok(());
        }
        let (reply, answer) = oneshot::channel();
        let request = CancellationRequest {
            shard: row.shard,
            job,
            reply,
        };
        self.cancellations
            .send(request)
            .await
            .map_err(|_| JobError::Stopping)?;
        answer.await.map_err(|_| JobError::Stopping)?
    }

    /// Returns the status of all jobs, with the newest state for those of the shards that this
    /// daemon owns.
    ///
    /// # Errors
    ///
    /// Any [`JobError`].
    pub async fn job_statuses(&self) -> Result<Vec<JobStatus>, JobError> {
        let rows = self.job_api.read_jobs().await?;
        let mut live = IndexMap::new();
        for actor in self.supervisor.actors() {
            let asked = actor.call(
                |reply| ShardMessage::Statuses { reply },
                Some(ACTOR_REPLY_TIMEOUT),
            );
            if let Ok(CallResult::Success(statuses)) = asked.await {
                live.extend(statuses.into_iter().map(|status| (status.job, status)));
            }
        }
        let newest = rows.into_iter().map(|row| match has_ended(&row.status) {
            true => row.status,
            false => live.swap_remove(&row.status.job).unwrap_or(row.status),
        });
        Ok(newest.collect())
    }

    /// Asks the actors of all owned shards for an unfinished job, for when the table cannot say
    /// which is its home shard.
    async fn find_live_status(&self, job: JobId) -> Option<JobStatus> {
        for actor in self.supervisor.actors() {
            if let Some(status) = live_status(&actor, job).await {
                return Some(status);
            }
        }
        None
    }
}

#[async_trait]
impl ResourceUser for PlannerHandle {
    async fn wait_idle(&self, resource: ResourceId) {
        if let ResourceId::Shard(shard) = resource {
            self.supervisor.wait_idle(shard).await;
        }
    }
}

fn has_ended(status: &JobStatus) -> bool {
    matches!(status.phase, JobPhase::Finished | JobPhase::Cancelled)
}

/// Asks a shard's actor for the status of an unfinished job. Returns `None` for an ended job,
/// because its journal may not have committed the end yet.
async fn live_status(actor: &ActorRef<ShardMessage>, job: JobId) -> Option<JobStatus> {
    let asked = actor.call(
        |reply| ShardMessage::Status { job, reply },
        Some(ACTOR_REPLY_TIMEOUT),
    );
    match asked.await {
        Ok(CallResult::Success(status)) => status.filter(|status| !has_ended(status)),
        _ => None,
    }
}
