//! The epoch that a stand-in worker has adopted, and the lease that its owner grants.

use std::time::Duration;

use jasminebend_base::OwnerEpoch;
use jasminebend_ports::{
    EpochAdoption,
    LeaseRenewal,
    WorkerError, //
};

/// The epoch that a stand-in worker has adopted, and the lease that its owner grants.
#[derive(Debug, Default)]
pub(crate) struct WorkerLease {
    /// The shard that the epoch belongs to; `None` until the first adoption.
    shard: Option<u16>,
    epoch: OwnerEpoch,
    /// When the lease was last granted or renewed.
    renewed_at: Option<Duration>,
    /// When the lease lapses; `None` without a lease.
    end: Option<Duration>,
}

impl WorkerLease {
    pub(crate) fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Returns when the lease lapses; `None` without a lease.
    pub(crate) fn end(&self) -> Option<Duration> {
        self.end
    }

    /// Rejects calls with an older epoch than the adopted one.
    pub(crate) fn check_epoch(&self, epoch: OwnerEpoch) -> Result<(), WorkerError> {
        if epoch < self.epoch {
            return Err(WorkerError::StaleEpoch { newer: self.epoch });
        }
        Ok(())
    }

    /// Returns whether adopting an epoch of this shard would move the worker from another shard.
    pub(crate) fn changes_shard(&self, shard: u16) -> bool {
        self.shard.is_some_and(|followed| followed != shard)
    }

    pub(crate) fn adopt(
        &mut self,
        now: Duration,
        adoption: EpochAdoption,
    ) -> Result<(), WorkerError> {
        match self.changes_shard(adoption.shard) {
            true => self.check_lapsed()?,
            false => self.check_epoch(adoption.epoch)?,
        }
        self.shard = Some(adoption.shard);
        self.epoch = adoption.epoch;
        self.grant(now, adoption.lease);
        Ok(())
    }

    pub(crate) fn renew(
        &mut self,
        now: Duration,
        renewal: &LeaseRenewal,
    ) -> Result<(), WorkerError> {
        if self.changes_shard(renewal.shard) {
            return Err(WorkerError::OutOfDate);
        }
        self.check_live(renewal.epoch)?;
        self.grant(now, renewal.lease);
        Ok(())
    }

    /// Rejects an order if the lease lapsed, its epoch is not the adopted one, or the last renewal is longer ago than
    /// `valid_for`.
    pub(crate) fn check_order(
        &self,
        now: Duration,
        epoch: OwnerEpoch,
        valid_for: Duration,
    ) -> Result<(), WorkerError> {
        self.check_live(epoch)?;
        let waited = self
            .renewed_at
            .map(|renewed_at| now.saturating_sub(renewed_at));
        if waited.is_some_and(|waited| waited <= valid_for) {
            return Ok(());
        }
        Err(WorkerError::OutOfDate)
    }

    pub(crate) fn lapse(&mut self) {
        self.end = None;
    }

    /// Rejects the adoption by another shard while the lease lasts. The epochs of different shards can't be
    /// compared; without this check a task could run in two places, or the worker could never be taken over. Once the
    /// lease has lapsed, no run of the former shard is in progress here, even if its owner still assumes so.
    fn check_lapsed(&self) -> Result<(), WorkerError> {
        match self.end {
            Some(_) => Err(WorkerError::OutOfDate),
            None => Ok(()),
        }
    }

    /// Rejects delayed calls after the lease has lapsed or was lost in a restart. A delayed renewal would restore the
    /// lease, and a delayed start order after it would be accepted although its sender has given up the run. Only an
    /// adoption grants a new lease.
    fn check_live(&self, epoch: OwnerEpoch) -> Result<(), WorkerError> {
        self.check_epoch(epoch)?;
        if epoch == self.epoch && self.end.is_some() {
            return Ok(());
        }
        Err(WorkerError::OutOfDate)
    }

    fn grant(&mut self, now: Duration, lease: Duration) {
        self.renewed_at = Some(now);
        self.end = Some(now.saturating_add(lease));
    }
}
