//! The port to the workers.

use std::net::SocketAddr;

use async_trait::async_trait;
use jasminebend_base::OwnerEpoch;

use crate::{
    CheckpointId,
    EpochAdoption,
    LeaseRenewal,
    TaskAttempt,
    TaskOrder,
    WorkerError,
    WorkerInventory,
    WorkerReport, //
};

/// The port to the workers. Every order carries the epoch of the shard's owner and is idempotent.
#[async_trait]
pub trait WorkerPort: Send + Sync {
    /// Makes the worker adopt an epoch, and returns all runs that it knows.
    ///
    /// # Errors
    ///
    /// [`WorkerError::StaleEpoch`] if the worker has adopted a newer epoch of the same shard;
    /// [`WorkerError::OutOfDate`] while its lease from another shard lasts;
    /// [`WorkerError::Unreachable`] or [`WorkerError::Unknown`] if the call failed.
    async fn adopt(
        &self,
        worker: SocketAddr,
        adoption: EpochAdoption,
    ) -> Result<WorkerInventory, WorkerError>;

    /// Renews the worker's lease and acknowledges ended runs.
    ///
    /// # Errors
    ///
    /// [`WorkerError::StaleEpoch`] if the worker has adopted a newer epoch;
    /// [`WorkerError::OutOfDate`] if the lease expired, the worker restarted or belongs to another
    /// shard, or the epoch was never adopted, so that the owner must call [`WorkerPort::adopt`]
    /// first; [`WorkerError::Unreachable`] or [`WorkerError::Unknown`] if the call failed.
    async fn renew(
        &self,
        worker: SocketAddr,
        renewal: LeaseRenewal,
    ) -> Result<WorkerReport, WorkerError>;

    /// Starts a run. A repeated order for the same run has no effect.
    ///
    /// # Errors
    ///
    /// Any [`WorkerError`] except [`WorkerError::UnknownRun`] and
    /// [`WorkerError::CheckpointFailed`].
    async fn start(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        order: TaskOrder,
    ) -> Result<(), WorkerError>;

    /// Throttles a run to `speed_millis` thousandths of its full speed; 1000 ends the throttling.
    ///
    /// # Errors
    ///
    /// [`WorkerError::StaleEpoch`], [`WorkerError::UnknownRun`], [`WorkerError::Unreachable`] or
    /// [`WorkerError::Unknown`].
    async fn throttle(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
        speed_millis: u32,
    ) -> Result<(), WorkerError>;

    /// Stores a checkpoint of a run and stops the run. A repeated order returns the same
    /// checkpoint.
    ///
    /// # Errors
    ///
    /// [`WorkerError::StaleEpoch`], [`WorkerError::UnknownRun`], [`WorkerError::CheckpointFailed`],
    /// [`WorkerError::Unreachable`] or [`WorkerError::Unknown`].
    async fn checkpoint(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<CheckpointId, WorkerError>;

    /// Stops a run without a checkpoint. The worker records a run that it does not know as ended,
    /// so that it rejects an order to start the run that arrives late.
    ///
    /// # Errors
    ///
    /// [`WorkerError::StaleEpoch`], [`WorkerError::Unreachable`] or [`WorkerError::Unknown`].
    async fn stop(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<(), WorkerError>;
}
