//! Helpers for calls to a worker under test.

use std::time::Duration;

use jasminebend_base::{
    ClassKind,
    OwnerEpoch,
    ResourceAmount, //
};
use jasminebend_ports::{
    CheckpointId,
    EpochAdoption,
    LeaseRenewal,
    RunCompletion,
    TaskAttempt,
    TaskOrder,
    WorkerError,
    WorkerInventory,
    WorkerReport, //
};
use jasminebend_standins::TaskPayload;

use crate::harness::WorkerHarness;

pub(crate) const EPOCH: OwnerEpoch = OwnerEpoch(5);
pub(crate) const LEASE: Duration = Duration::from_secs(10);
pub(crate) const SECOND: Duration = Duration::from_secs(1);

pub(crate) fn run(index: u32, attempt: u32) -> TaskAttempt {
    TaskAttempt {
        job: 7,
        index,
        attempt,
    }
}

pub(crate) fn batch(index: u32, attempt: u32) -> TaskOrder {
    TaskOrder {
        attempt: run(index, attempt),
        class: "sync".into(),
        kind: ClassKind::Batch,
        reserved: ResourceAmount::new(1_000, 1_000),
        payload: TaskPayload::new(4 * SECOND).to_text(),
        checkpoint: None,
        incarnation: None,
        valid_for: 5 * SECOND,
    }
}

pub(crate) fn service(index: u32) -> TaskOrder {
    TaskOrder {
        class: "cart".into(),
        kind: ClassKind::Service,
        ..batch(index, 1)
    }
}

impl WorkerHarness {
    pub(crate) async fn adopt(&self, epoch: OwnerEpoch) -> Result<WorkerInventory, WorkerError> {
        self.adopt_for(1, epoch).await
    }

    pub(crate) async fn adopt_for(
        &self,
        shard: u16,
        epoch: OwnerEpoch,
    ) -> Result<WorkerInventory, WorkerError> {
        let adoption = EpochAdoption {
            shard,
            epoch,
            lease: LEASE,
        };
        let inventory = self.port.adopt(self.address, adoption).await?;
        assert_eq!(inventory.epoch, epoch);
        Ok(inventory)
    }

    pub(crate) async fn renew(
        &self,
        acknowledged: &[TaskAttempt],
    ) -> Result<WorkerReport, WorkerError> {
        self.renew_with_usage_limit(acknowledged, u32::MAX).await
    }

    pub(crate) async fn renew_with_usage_limit(
        &self,
        acknowledged: &[TaskAttempt],
        usage_limit: u32,
    ) -> Result<WorkerReport, WorkerError> {
        let renewal = LeaseRenewal {
            shard: 1,
            epoch: EPOCH,
            lease: LEASE,
            acknowledged: acknowledged.to_vec(),
            usage_limit,
        };
        self.port.renew(self.address, renewal).await
    }

    pub(crate) async fn start(&self, order: TaskOrder) -> Result<(), WorkerError> {
        self.port.start(self.address, EPOCH, order).await
    }

    pub(crate) async fn stop(&self, attempt: TaskAttempt) -> Result<(), WorkerError> {
        self.port.stop(self.address, EPOCH, attempt).await
    }

    pub(crate) async fn checkpoint(
        &self,
        attempt: TaskAttempt,
    ) -> Result<CheckpointId, WorkerError> {
        self.port.checkpoint(self.address, EPOCH, attempt).await
    }

    pub(crate) async fn completions(&self) -> Vec<(TaskAttempt, Option<RunCompletion>)> {
        let report = self.renew(&[]).await.unwrap();
        let ended = report.ended.into_iter();
        ended.map(|task| (task.attempt, task.ended)).collect()
    }
}
