//! The epoch that a stand-in worker follows, and the lease that its owner grants.

use std::time::Duration;

use jasminebend_base::OwnerEpoch;
use jasminebend_ports::WorkerError;

/// The epoch that a stand-in worker follows, and the lease that its owner grants.
#[derive(Debug, Default)]
pub(crate) struct WorkerLease {
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

    pub(crate) fn adopt(
        &mut self,
        now: Duration,
        epoch: OwnerEpoch,
        lease: Duration,
    ) -> Result<(), WorkerError> {
        self.check_epoch(epoch)?;
        self.epoch = epoch;
        self.grant(now, lease);
        Ok(())
    }

    pub(crate) fn renew(
        &mut self,
        now: Duration,
        epoch: OwnerEpoch,
        lease: Duration,
    ) -> Result<(), WorkerError> {
        self.check_live(epoch)?;
        self.grant(now, lease);
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
