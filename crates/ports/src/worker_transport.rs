//! A transport that sends each call to a worker as one message.

use std::net::SocketAddr;

use async_trait::async_trait;
use jasminebend_base::OwnerEpoch;

use crate::{
    CheckpointId,
    EpochAdoption,
    LeaseRenewal,
    TaskAttempt,
    TaskOrder,
    WorkerAnswer,
    WorkerError,
    WorkerInventory,
    WorkerPort,
    WorkerReport,
    WorkerRequest, //
};

/// A transport that sends each call to a worker as one [`WorkerRequest`]. Every implementation is
/// also a [`WorkerPort`].
#[async_trait]
pub trait WorkerTransport: Send + Sync {
    /// Sends a request to the worker at this address and returns its answer.
    ///
    /// # Errors
    ///
    /// Any [`WorkerError`].
    async fn call(
        &self,
        worker: SocketAddr,
        request: WorkerRequest,
    ) -> Result<WorkerAnswer, WorkerError>;
}

#[async_trait]
impl<Calls> WorkerPort for Calls
where
    Calls: WorkerTransport,
{
    async fn adopt(
        &self,
        worker: SocketAddr,
        adoption: EpochAdoption,
    ) -> Result<WorkerInventory, WorkerError> {
        match self.call(worker, WorkerRequest::Adopt(adoption)).await? {
            WorkerAnswer::Inventory(inventory) => Ok(inventory),
            _ => Err(WorkerError::Unknown),
        }
    }

    async fn renew(
        &self,
        worker: SocketAddr,
        renewal: LeaseRenewal,
    ) -> Result<WorkerReport, WorkerError> {
        match self.call(worker, WorkerRequest::Renew(renewal)).await? {
            WorkerAnswer::Report(report) => Ok(report),
            _ => Err(WorkerError::Unknown),
        }
    }

    async fn start(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        order: TaskOrder,
    ) -> Result<(), WorkerError> {
        let request = WorkerRequest::Start { epoch, order };
        expect_done(self.call(worker, request).await?)
    }

    async fn throttle(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
        speed_millis: u32,
    ) -> Result<(), WorkerError> {
        let request = WorkerRequest::Throttle {
            epoch,
            attempt,
            speed_millis,
        };
        expect_done(self.call(worker, request).await?)
    }

    async fn checkpoint(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<CheckpointId, WorkerError> {
        let request = WorkerRequest::Checkpoint { epoch, attempt };
        match self.call(worker, request).await? {
            WorkerAnswer::Checkpoint(checkpoint) => Ok(checkpoint),
            _ => Err(WorkerError::Unknown),
        }
    }

    async fn stop(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<(), WorkerError> {
        let request = WorkerRequest::Stop { epoch, attempt };
        expect_done(self.call(worker, request).await?)
    }
}

/// Returns an error of unknown outcome unless the answer is [`WorkerAnswer::Done`].
fn expect_done(answer: WorkerAnswer) -> Result<(), WorkerError> {
    match answer {
        WorkerAnswer::Done => Ok(()),
        _ => Err(WorkerError::Unknown),
    }
}
