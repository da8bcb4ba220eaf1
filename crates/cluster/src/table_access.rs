//! Polls and writes the shared rows, and schedules the next attempts.

use std::time::Duration;

use jasminebend_ownership::{
    SharedWrite,
    TableSnapshot, //
};
use jasminebend_ports::{
    CommitOutcome,
    RowChange,
    TableError,
    WriteId, //
};
use ractor::ActorRef;
use rand::RngExt;
use spdlog::{
    info,
    warn, //
};
use tokio::time::timeout;

use crate::{
    cluster_message::ClusterMessage,
    cluster_state::{
        ClusterState,
        TABLE_TIMEOUT,
        spawn_and_report, //
    },
    row_error::RowError,
    shared_rows::{
        read_snapshot,
        row_changes, //
    },
    trace_span,
    write_outcome::WriteOutcome, //
};

/// The minimum interval between the last poll and one that is requested ahead of schedule.
const MIN_REQUESTED_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum of the random delay before the next write after a conflict, in milliseconds.
const MAX_CONFLICT_DELAY_MS: u64 = 60;

/// The range of the random delay before the next write after a failed one, in milliseconds.
const FAILED_WRITE_DELAY_MS: std::ops::Range<u64> = 500..1_500;

impl ClusterState {
    /// Starts a transaction of a write and additional row changes: the write that announces a
    /// configuration carries its document.
    pub(crate) fn commit(
        &mut self,
        myself: &ActorRef<ClusterMessage>,
        write: &SharedWrite,
        additional_changes: Vec<RowChange>,
    ) {
        let changes = row_changes(write);
        let id = WriteId::new(&mut self.rng);
        let table = self.ports.table.clone();
        metrics::counter!("jasminebend_shared_writes_total").increment(1);
        spawn_and_report(myself, async move {
            let outcome = match changes {
                Ok(mut changes) => {
                    let _span = trace_span::start("cluster commit");
                    changes.extend(additional_changes);
                    write_outcome(timeout(TABLE_TIMEOUT, table.commit(id, changes)).await)
                }
                Err(_) => WriteOutcome::NotRun,
            };
            ClusterMessage::CommitFinished(outcome)
        });
    }

    /// Handles the outcome of a write, and delays the next one after a conflict or a failure.
    pub(crate) fn finish_commit(
        &mut self,
        myself: &ActorRef<ClusterMessage>,
        outcome: WriteOutcome,
    ) {
        let delay = match outcome {
            WriteOutcome::Committed => 0,
            WriteOutcome::Conflict => self.rng.random_range(0..MAX_CONFLICT_DELAY_MS),
            WriteOutcome::NotRun | WriteOutcome::Unknown => {
                self.rng.random_range(FAILED_WRITE_DELAY_MS)
            }
        };
        let now = self.now();
        self.lock().finish_write(now, Duration::from_millis(delay));
        self.proposals.record_write(outcome);
        self.tick(myself);
    }

    /// Starts a poll of the shared rows if the next one is due, or was requested and the table is
    /// readable.
    pub(crate) fn poll_if_due(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        let interval_over = self
            .last_poll_at
            .is_none_or(|at| now >= at + MIN_REQUESTED_POLL_INTERVAL);
        let requested = self.poll_requested && interval_over && !self.table_unreadable;
        if self.poll_in_progress || !(requested || now >= self.next_poll_at) {
            return;
        }
        self.poll_in_progress = true;
        self.poll_requested = false;
        self.last_poll_at = Some(now);
        let jitter = self.rng.random_range(0.8..1.2);
        self.next_poll_at = now + self.settings.poll_interval.mul_f64(jitter);
        metrics::counter!("jasminebend_shared_polls_total").increment(1);
        let table = self.ports.table.clone();
        spawn_and_report(myself, async move {
            let read = timeout(TABLE_TIMEOUT, read_snapshot(&*table, now)).await;
            let timed_out = Err(RowError::Table(TableError::Unknown));
            ClusterMessage::PollFinished(read.unwrap_or(timed_out), now)
        });
    }

    /// Applies the result of a poll.
    pub(crate) fn finish_poll(
        &mut self,
        myself: &ActorRef<ClusterMessage>,
        result: Result<TableSnapshot, RowError>,
        _start: Duration,
    ) {
        self.poll_in_progress = false;
        let result = result.and_then(|snapshot| match self.lock().matches_settings(&snapshot) {
            true => Ok(snapshot),
            false => Err(RowError::SettingsMismatch),
        });
        self.record_table_error(result.as_ref().err());
        if let Ok(snapshot) = result {
            let now = self.now();
            self.lock().apply_snapshot(now, snapshot);
        }
        self.tick(myself);
    }

    /// Logs when the table becomes unreadable or readable.
    pub(crate) fn record_table_error(&mut self, error: Option<&RowError>) {
        match (error, self.table_unreadable) {
            (Some(error), false) => warn!("[cluster] The table cannot be read: {}.", error),
            (None, true) => info!("[cluster] The table can be read again."),
            _ => (),
        }
        self.table_unreadable = error.is_some();
    }
}

/// Returns the outcome of a write; one that timed out may still take effect.
fn write_outcome<Elapsed>(
    result: Result<Result<CommitOutcome, TableError>, Elapsed>,
) -> WriteOutcome {
    match result {
        Ok(Ok(CommitOutcome::Committed(_))) => WriteOutcome::Committed,
        Ok(Ok(CommitOutcome::Conflict { .. })) => WriteOutcome::Conflict,
        Ok(Err(error)) if error.certainly_had_no_effect() => WriteOutcome::NotRun,
        Ok(Err(_)) | Err(_) => WriteOutcome::Unknown,
    }
}
