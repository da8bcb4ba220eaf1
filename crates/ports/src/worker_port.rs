//! The port of the workers.

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

/// The port of the workers. Every order carries its owner's epoch and is idempotent.
#[async_trait]
pub trait WorkerPort: Send + Sync {
    /// Makes the worker follow an epoch, and returns what runs there.
    ///
    /// # Errors
    ///
    /// [`WorkerError::StaleEpoch`] if it follows a newer one of the same shard;
    /// [`WorkerError::OutOfDate`] while the lease from another shard lasts; else unreachable or
    /// unknown.
    async fn adopt(
        &self,
        worker: SocketAddr,
        adoption: EpochAdoption,
    ) -> Result<WorkerInventory, WorkerError>;

    /// Renews the worker's lease and acknowledges ended runs.
    ///
    /// # Errors
    ///
    /// [`WorkerError::StaleEpoch`] if it follows a newer one; [`WorkerError::OutOfDate`] if the lease
    /// lapsed, the worker restarted or follows another shard, or the epoch was not adopted, so that it must be adopted; else
    /// unreachable or unknown.
    async fn renew(
        &self,
        worker: SocketAddr,
        renewal: LeaseRenewal,
    ) -> Result<WorkerReport, WorkerError>;

    /// Starts a run; a second order for the same run changes nothing.
    ///
    /// # Errors
    ///
    /// Any [`WorkerError`] but `UnknownRun` and `CheckpointFailed`.
    async fn start(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        order: TaskOrder,
    ) -> Result<(), WorkerError>;

    /// Leaves a run this share of its speed, in thousandths; 1000 lifts the throttle.
    ///
    /// # Errors
    ///
    /// `StaleEpoch`, `UnknownRun`, unreachable or unknown.
    async fn throttle(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
        speed_millis: u32,
    ) -> Result<(), WorkerError>;

    /// Keeps a run's state and stops the run; the order repeated returns the same checkpoint.
    ///
    /// # Errors
    ///
    /// `StaleEpoch`, `UnknownRun`, `CheckpointFailed`, unreachable or unknown.
    async fn checkpoint(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<CheckpointId, WorkerError>;

    /// Stops a run without keeping its state. A run that the worker does not know is marked as
    /// ended, so that a start of it that comes late is refused.
    ///
    /// # Errors
    ///
    /// `StaleEpoch`, unreachable or unknown.
    async fn stop(
        &self,
        worker: SocketAddr,
        epoch: OwnerEpoch,
        attempt: TaskAttempt,
    ) -> Result<(), WorkerError>;
}
