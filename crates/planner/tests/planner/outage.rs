//! Tests outages and limits of the table service.

use std::sync::Arc;

use async_trait::async_trait;
use jasminebend_planner::{
    JobPhase,
    PlannerSettings,
    SubmitError,
    WaitReason, //
};
use jasminebend_ports::{
    CommitOutcome,
    RowChange,
    RowKey,
    TableError,
    TableRow,
    TableService,
    WriteId, //
};
use jasminebend_standins::{
    CallKind,
    FaultKind,
    OutageState,
    TableStandIn, //
};
use tokio::time::sleep;

use crate::test_bed::{
    TestBed,
    batch_job,
    seconds,
    service_job, //
};

// The table is unavailable for ten minutes and slow afterwards. Running tasks must continue, their
// results must be kept until they are committed, and no submission may be wrongly reported as
// accepted or rejected.
#[tokio::test(start_paused = true)]
async fn a_ten_minute_table_outage_loses_and_repeats_nothing() {
    for kind in [
        FaultKind::Unreachable,
        FaultKind::Refuse,
        FaultKind::LoseRequest,
        FaultKind::LoseAnswer,
    ] {
        let bed = TestBed::new(4);
        let planner = bed.start_planner(1).await;
        let services = planner.handle.submit(service_job(3)).await.unwrap();
        let job = planner
            .handle
            .submit(batch_job(160, seconds(60)))
            .await
            .unwrap();
        sleep(seconds(100)).await;
        let before = bed.ledger.summary().finishes;
        bed.table.faults().set_outage(OutageState::Down(kind));
        sleep(seconds(30)).await;
        let error = planner
            .handle
            .submit(batch_job(1, seconds(1)))
            .await
            .unwrap_err();
        let truthful = match kind {
            FaultKind::Unreachable | FaultKind::Refuse => error == SubmitError::TableUnavailable,
            _ => matches!(error, SubmitError::Unknown { .. }),
        };
        assert!(truthful, "{kind:?}: {error}");
        let reason = WaitReason::TableUnavailable;
        let waiting = planner.handle.job_status(job).await.unwrap().phase;
        assert_eq!(waiting, JobPhase::Waiting { reason });
        sleep(seconds(570)).await;
        let running = bed.ledger.runs_of(services.0, 0);
        assert!(running.len() == 1 && running[0].ended.is_none());
        // The 26 tasks that ran, and as many pre-committed ones.
        let finishes = bed.ledger.summary().finishes - before;
        assert!((52..=58).contains(&finishes), "{kind:?}: {finishes}");
        bed.table.faults().set_outage(OutageState::Up);
        let slow = FaultKind::Slow(seconds(2));
        bed.table.faults().set_fault(CallKind::Commit, slow);
        assert_eq!(
            planner.wait_until_ended(job, seconds(900)).await.finished,
            160
        );
        let summary = bed.check();
        assert_eq!(summary.starts_after_finish, 0, "{kind:?}");
        assert_eq!(
            summary.finishes,
            160 + u64::from(kind == FaultKind::LoseAnswer),
            "{kind:?}"
        );
    }
}

// The planner dies during the outage with completions that it could not commit. The workers keep
// them until its successor has committed them.
#[tokio::test(start_paused = true)]
async fn a_planner_that_dies_in_an_outage_loses_no_result() {
    let bed = TestBed::new(4);
    let first = bed.start_planner(1).await;
    let job = first
        .handle
        .submit(batch_job(20, seconds(10)))
        .await
        .unwrap();
    sleep(seconds(5)).await;
    let down = OutageState::Down(FaultKind::LoseAnswer);
    bed.table.faults().set_outage(down);
    sleep(seconds(300)).await;
    drop(first);
    bed.table.faults().set_outage(OutageState::Up);
    let second = bed.start_planner(2).await;
    assert_eq!(second.wait_until_ended(job, seconds(60)).await.finished, 20);
    let summary = bed.check();
    assert_eq!((summary.starts, summary.finishes), (20, 20));
}

// The table accepts only small transactions. A commit that it rejects as too large is split in
// halves, and the shard must keep working.
#[tokio::test(start_paused = true)]
async fn commits_that_are_too_large_are_halved() {
    let settings = PlannerSettings::new(1).with_rows_per_snapshot(20);
    let bed = TestBed::new(8).with_settings(settings);
    let table = Arc::new(NarrowTable {
        table: bed.table.clone(),
        most_changes: 12,
        most_bytes: 3_000,
    });
    let workers = Arc::new(bed.fleet.clone());
    let planner = bed.start_planner_with(1, table, workers).await;
    let mut jobs = Vec::new();
    for index in 0..120 {
        jobs.push(
            planner
                .handle
                .submit(batch_job(5, seconds(20)))
                .await
                .unwrap(),
        );
        if index % 30 == 29 {
            sleep(seconds(60)).await;
        }
    }
    for job in jobs {
        assert_eq!(
            planner.wait_until_ended(job, seconds(900)).await.finished,
            5
        );
    }
    assert_eq!(bed.check().starts, 600);
    // A snapshot that was dropped because its commit was too large must not have deleted the one
    // that the head row names.
    drop(planner);
    let successor = bed.start_planner(2).await;
    let job = successor
        .handle
        .submit(batch_job(1, seconds(1)))
        .await
        .unwrap();
    successor.wait_until_ended(job, seconds(30)).await;
}

/// A table that rejects transactions above a number of changes or bytes.
struct NarrowTable {
    table: TableStandIn,
    most_changes: usize,
    most_bytes: usize,
}

#[async_trait]
impl TableService for NarrowTable {
    async fn read(&self, key: &RowKey) -> Result<Option<TableRow>, TableError> {
        self.table.read(key).await
    }

    async fn scan(
        &self,
        prefix: &RowKey,
        after: Option<&RowKey>,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        self.table.scan(prefix, after, limit).await
    }

    async fn commit(
        &self,
        write: WriteId,
        changes: Vec<RowChange>,
    ) -> Result<CommitOutcome, TableError> {
        let values = changes.iter().filter_map(|change| change.value.as_ref());
        let bytes: usize = values.map(Vec::len).sum();
        if changes.len() > self.most_changes || bytes > self.most_bytes {
            return Err(TableError::TooLarge);
        }
        self.table.commit(write, changes).await
    }
}
