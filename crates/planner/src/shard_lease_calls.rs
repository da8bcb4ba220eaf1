//! Calls that adopt workers and renew their leases.

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
    shard_calls::{
        ShardCalls,
        require_permit, //
    },
    shard_message::ShardMessage,
    worker_call_error::WorkerCallError, //
};

impl ShardCalls {
    /// Adopts a worker, after stopping the runs whose starts may still be in transit, so that the
    /// worker rejects those starts.
    pub(crate) fn adopt(
        &mut self,
        worker: WorkerKey,
        address: SocketAddr,
        late_starts: Vec<TaskAttempt>,
        adoption: EpochAdoption,
    ) {
        let ports = Arc::clone(&self.ports);
        let permit = self.permit.clone();
        self.spawn(async move {
            let sent = ports.clock.monotonic();
            let result = async {
                for run in late_starts {
                    require_permit(permit.is_granted())?;
                    let stopped = ports.workers.stop(address, adoption.epoch, run).await;
                    if let Err(error @ (WorkerError::Unreachable | WorkerError::Unknown)) = stopped
                    {
                        return Err(WorkerCallError::from(error));
                    }
                }
                require_permit(permit.is_granted())?;
                Ok(ports.workers.adopt(address, adoption).await?)
            };
            let result = result.await;
            ShardMessage::Adopted {
                worker,
                sent,
                result,
            }
        });
    }

    /// Renews a worker's lease and requests its report.
    pub(crate) fn renew(&mut self, worker: WorkerKey, address: SocketAddr, renewal: LeaseRenewal) {
        let ports = Arc::clone(&self.ports);
        let permit = self.permit.clone();
        self.spawn(async move {
            let sent = ports.clock.monotonic();
            let acknowledged = renewal.acknowledged.clone();
            let result = match permit.is_granted() {
                true => ports.workers.renew(address, renewal).await,
                false => {
                    return ShardMessage::Renewed {
                        worker,
                        sent,
                        acknowledged,
                        result: Err(WorkerCallError::NotSent),
                    };
                }
            };
            ShardMessage::Renewed {
                worker,
                sent,
                acknowledged,
                result: result.map_err(WorkerCallError::from),
            }
        });
    }
}
