//! Cancellations on their way to their jobs' home shards.

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
    job_desk::JobDesk, //
};

/// How long cancellations are gathered, and the most of them in one row.
const GATHER_TIME: Duration = Duration::from_millis(50);
const MOST_TOGETHER: usize = 1000;
/// The cancellations that may wait here.
const MOST_WAITING: usize = 20_000;

/// A cancellation that waits to be written.
pub(crate) struct CancelOrder {
    pub(crate) shard: u16,
    pub(crate) job: JobId,
    pub(crate) done: oneshot::Sender<Result<(), JobError>>,
}

/// Gathers cancellations, so that a wave of them costs the table a few rows.
pub(crate) fn start(desk: Arc<JobDesk>) -> mpsc::Sender<CancelOrder> {
    let (sender, receiver) = mpsc::channel(MOST_WAITING);
    tokio::spawn(run(desk, receiver));
    sender
}

async fn run(desk: Arc<JobDesk>, mut orders: mpsc::Receiver<CancelOrder>) {
    while let Some(first) = orders.recv().await {
        sleep(GATHER_TIME).await;
        let mut shards: IndexMap<u16, Vec<CancelOrder>> = IndexMap::new();
        shards.entry(first.shard).or_default().push(first);
        let mut count = 1;
        while count < MOST_TOGETHER
            && let Ok(order) = orders.try_recv()
        {
            shards.entry(order.shard).or_default().push(order);
            count += 1;
        }
        for (shard, orders) in shards {
            write(&desk, shard, orders).await;
        }
    }
}

async fn write(desk: &JobDesk, shard: u16, orders: Vec<CancelOrder>) {
    let jobs: Vec<JobId> = orders.iter().map(|order| order.job).collect();
    let result = desk.put_cancels(shard, &jobs).await;
    for order in orders {
        // Whoever asked may have stopped waiting.
        let _ = order.done.send(result);
    }
}
