//! The planner of a daemon.

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
    PlannerEdges,
    PlannerSettings,
    SubmitError,
    cancel_courier::{
        self,
        CancelOrder, //
    },
    job_desk::JobDesk,
    job_phase::JobPhase,
    shard_message::ShardMessage,
    shard_supervisor::ShardSupervisor, //
};

const ANSWER_TIME: Duration = Duration::from_secs(2);

/// The planner of a daemon. It plans the shards that the daemon holds, and takes submissions for
/// all; once the last clone is dropped, it ends.
#[derive(Clone)]
pub struct PlannerHandle {
    supervisor: Arc<ShardSupervisor>,
    desk: Arc<JobDesk>,
    cancels: mpsc::Sender<CancelOrder>,
    _open: Arc<watch::Sender<()>>,
}

impl PlannerHandle {
    /// Starts a planner.
    pub async fn start(settings: PlannerSettings, edges: PlannerEdges) -> Self {
        let edges = Arc::new(edges);
        let supervisor = Arc::new(ShardSupervisor::new(settings, Arc::clone(&edges)));
        let desk = Arc::new(JobDesk::new(settings, edges));
        let cancels = cancel_courier::start(Arc::clone(&desk));
        let (open, closed) = watch::channel(());
        tokio::spawn(Arc::clone(&supervisor).run(closed));
        Self {
            supervisor,
            desk,
            cancels,
            _open: Arc::new(open),
        }
    }

    /// Accepts a job, or refuses it truthfully.
    ///
    /// # Errors
    ///
    /// Any [`SubmitError`]; only [`SubmitError::Unknown`] leaves open whether it was accepted.
    pub async fn submit(&self, spec: JobSpec) -> Result<JobId, SubmitError> {
        let result = self.desk.submit(spec).await;
        let label = match &result {
            Ok(_) => "accepted",
            Err(SubmitError::Unknown { .. }) => "unknown",
            Err(_) => "refused",
        };
        metrics::counter!("jasminebend_planner_submissions_total", "answer" => label).increment(1);
        result
    }

    /// Returns what is known of a job. Its results are told only once they are committed.
    ///
    /// # Errors
    ///
    /// Any [`JobError`].
    pub async fn job(&self, job: JobId) -> Result<JobStatus, JobError> {
        let row = match self.desk.row(job).await {
            Ok(row) => row,
            Err(JobError::Table(error)) => {
                let known = self.status_of_any(job).await;
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

    /// Gives a job up. Once this returns, none of its tasks is started any more when its owner has
    /// read the cancellation, and those that run are stopped.
    ///
    /// # Errors
    ///
    /// Any [`JobError`].
    pub async fn cancel(&self, job: JobId) -> Result<(), JobError> {
        let row = self.desk.row(job).await?;
        if has_ended(&row.status) {
            return Ok(());
        }
        let (done, answer) = oneshot::channel();
        let order = CancelOrder {
            shard: row.shard,
            job,
            done,
        };
        self.cancels
            .send(order)
            .await
            .map_err(|_| JobError::Stopping)?;
        answer.await.map_err(|_| JobError::Stopping)?
    }

    /// Returns what is known of the jobs, those of the held shards with their newest state.
    ///
    /// # Errors
    ///
    /// Any [`JobError`].
    pub async fn jobs(&self) -> Result<Vec<JobStatus>, JobError> {
        let rows = self.desk.rows().await?;
        let mut live = IndexMap::new();
        for actor in self.supervisor.actors() {
            let asked = actor.call(|reply| ShardMessage::Statuses { reply }, Some(ANSWER_TIME));
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

    async fn status_of_any(&self, job: JobId) -> Option<JobStatus> {
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

/// Asks a shard's actor. What its journal has not committed yet is not told as done.
async fn live_status(actor: &ActorRef<ShardMessage>, job: JobId) -> Option<JobStatus> {
    let asked = actor.call(
        |reply| ShardMessage::Status { job, reply },
        Some(ANSWER_TIME),
    );
    match asked.await {
        Ok(CallResult::Success(status)) => status.filter(|status| !has_ended(status)),
        _ => None,
    }
}
