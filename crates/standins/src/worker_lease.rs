//! The epoch that a stand-in worker follows, and the lease that its owner grants.

use std::time::Duration;

use jasminebend_base::OwnerEpoch;
use jasminebend_ports::{
    EpochAdoption,
    LeaseRenewal,
    WorkerError, //
};

/// The epoch that a stand-in worker follows, and the lease that its owner grants.
#[derive(Debug, Default)]
pub(crate) struct WorkerLease {
    /// The shard whose epoch it is; `None` until the first adoption.
    shard: Option<u16>,
    epoch: OwnerEpoch,
    renewed: Option<Duration>,
    end: Option<Duration>,
}

impl WorkerLease {
    pub(crate) fn epoch(&self) -> OwnerEpoch {
        self.epoch
    }

    /// Returns when the lease lapses; `None` if there is none.
    pub(crate) fn end(&self) -> Option<Duration> {
        self.end
    }

    /// Refuses the calls of an older epoch.
    pub(crate) fn check_epoch(&self, epoch: OwnerEpoch) -> Result<(), WorkerError> {
        if epoch < self.epoch {
            return Err(WorkerError::StaleEpoch { newer: self.epoch });
        }
        Ok(())
    }

    /// Tells whether the worker would follow another shard than before.
    pub(crate) fn moves_to(&self, shard: u16) -> bool {
        self.shard.is_some_and(|followed| followed != shard)
    }

    pub(crate) fn adopt(
        &mut self,
        now: Duration,
        adoption: EpochAdoption,
    ) -> Result<(), WorkerError> {
        match self.moves_to(adoption.shard) {
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
        if self.moves_to(renewal.shard) {
            return Err(WorkerError::OutOfDate);
        }
        self.check_live(renewal.epoch)?;
        self.grant(now, renewal.lease);
        Ok(())
    }

    /// Refuses an order that waited longer than `valid_for` since the last renewal.
    pub(crate) fn check_order(
        &self,
        now: Duration,
        epoch: OwnerEpoch,
        valid_for: Duration,
    ) -> Result<(), WorkerError> {
        self.check_live(epoch)?;
        let waited = self.renewed.map(|renewed| now.saturating_sub(renewed));
        if waited.is_some_and(|waited| waited <= valid_for) {
            return Ok(());
        }
        Err(WorkerError::OutOfDate)
    }

    pub(crate) fn lapse(&mut self) {
        self.end = None;
    }

    /// Guards against two shards that own the worker by turns: the epochs of different shards cannot be
    /// compared, so that a task could run in two places, or the worker never be taken over. Once the
    /// former shard's lease has lapsed, nothing of it runs here, whatever its owner believes.
    fn check_lapsed(&self) -> Result<(), WorkerError> {
        match self.end {
            Some(_) => Err(WorkerError::OutOfDate),
            None => Ok(()),
        }
    }

    /// Guards against renewals that come late: with a start that came late beside it, such a renewal
    /// would revive the lease, and the start would be accepted although its sender has given it up.
    /// So a lease that lapsed, or that a restart forgot, comes back by an adoption alone.
    fn check_live(&self, epoch: OwnerEpoch) -> Result<(), WorkerError> {
        self.check_epoch(epoch)?;
        if epoch == self.epoch && self.end.is_some() {
            return Ok(());
        }
        Err(WorkerError::OutOfDate)
    }

    fn grant(&mut self, now: Duration, lease: Duration) {
        self.renewed = Some(now);
        self.end = Some(now.saturating_add(lease));
    }
}
