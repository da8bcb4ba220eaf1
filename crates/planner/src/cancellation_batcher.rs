//! Batches cancellations and writes them to the table, one row for each home shard.

use std::{
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_placement::JobId;
use tokio::{
    sync::{
        mpsc,
        oneshot, //
    },
    time::sleep,
};

use crate::{
    JobError,
    job_api::JobApi, //
};

/// How long the first cancellation of a batch waits for others.
const BATCH_WINDOW: Duration = Duration::from_millis(50);
/// Limits the cancellations in one batch, and so in one row.
const MAX_CANCELLATIONS_PER_BATCH: usize = 1000;
/// Capacity of the channel of cancellations that are not yet written; callers wait when it is full.
const MAX_QUEUED_CANCELLATIONS: usize = 20_000;

/// A cancellation that is not yet written to the table.
pub(crate) struct CancellationRequest {
    pub(crate) shard: u16,
    pub(crate) job: JobId,
    /// Receives the result of the write.
    pub(crate) reply: oneshot::Sender<Result<(), JobError>>,
}

/// Starts the task that batches cancellations, so that many of them together cost the table few
/// writes.
pub(crate) fn start(job_api: Arc<JobApi>) -> mpsc::Sender<CancellationRequest> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CANCELLATIONS);
    tokio::spawn(run(job_api, receiver));
    sender
}

async fn run(job_api: Arc<JobApi>, mut requests: mpsc::Receiver<CancellationRequest>) {
    while let Some(first) = requests.recv().await {
        sleep(BATCH_WINDOW).await;
        let mut shards: IndexMap<u16, Vec<CancellationRequest>> = IndexMap::new();
        shards.entry(first.shard).or_default().push(first);
        let mut count = 1;
        while count < MAX_CANCELLATIONS_PER_BATCH
            && let Ok(request) = requests.try_recv()
        {
            shards.entry(request.shard).or_default().push(request);
            count += 1;
        }
        for (shard, requests) in shards {
            write(&job_api, shard, requests).await;
        }
    }
}

async fn write(job_api: &JobApi, shard: u16, requests: Vec<CancellationRequest>) {
    let jobs: Vec<JobId> = requests.iter().map(|request| request.job).collect();
    let result = job_api.write_cancellations(shard, &jobs).await;
    for request in requests {
        // The caller may have stopped waiting.
        let _ = request.reply.send(result);
    }
}
