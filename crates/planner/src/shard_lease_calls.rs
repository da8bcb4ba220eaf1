//! The calls by which a shard's actor holds its workers.

use std::{
    net::SocketAddr,
    sync::Arc, //
};

use jasminebend_placement::WorkerKey;
use jasminebend_ports::{
    EpochAdoption,
    LeaseRenewal,
    TaskAttempt,
    WorkerError, //
};

use crate::{
    call_error::CallError,
    shard_calls::{
        ShardCalls,
        withhold_unless, //
    },
    shard_message::ShardMessage, //
};

impl ShardCalls {
    /// Adopts a worker, after having it refuse the starts that may still be on their way.
    pub(crate) fn adopt(
        &mut self,
        worker: WorkerKey,
        address: SocketAddr,
        late_starts: Vec<TaskAttempt>,
        adoption: EpochAdoption,
    ) {
        let edges = Arc::clone(&self.edges);
        let permit = self.permit.clone();
        self.run(async move {
            let sent = edges.clock.monotonic();
            let result = async {
                for run in late_starts {
                    withhold_unless(permit.granted())?;
                    let stopped = edges.workers.stop(address, adoption.epoch, run).await;
                    if let Err(error @ (WorkerError::Unreachable | WorkerError::Unknown)) = stopped
                    {
                        return Err(CallError::from(error));
                    }
                }
                withhold_unless(permit.granted())?;
                Ok(edges.workers.adopt(address, adoption).await?)
            };
            let result = result.await;
            ShardMessage::Adopted {
                worker,
                sent,
                result,
            }
        });
    }

    pub(crate) fn renew(&mut self, worker: WorkerKey, address: SocketAddr, renewal: LeaseRenewal) {
        let edges = Arc::clone(&self.edges);
        let permit = self.permit.clone();
        self.run(async move {
            let sent = edges.clock.monotonic();
            let acknowledged = renewal.acknowledged.clone();
            let result = match permit.granted() {
                true => edges.workers.renew(address, renewal).await,
                false => {
                    return ShardMessage::Renewed {
                        worker,
                        sent,
                        acknowledged,
                        result: Err(CallError::Withheld),
                    };
                }
            };
            ShardMessage::Renewed {
                worker,
                sent,
                acknowledged,
                result: result.map_err(CallError::from),
            }
        });
    }
}
