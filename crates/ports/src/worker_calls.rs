//! A way to reach workers that takes each call as one message.

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

/// A way to reach workers that takes each call as one message; it is a [`WorkerPort`] thereby.
#[async_trait]
pub trait WorkerCalls: Send + Sync {
    /// Carries a call out.
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
    Calls: WorkerCalls,
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

fn expect_done(answer: WorkerAnswer) -> Result<(), WorkerError> {
    match answer {
        WorkerAnswer::Done => Ok(()),
        _ => Err(WorkerError::Unknown),
    }
}
