//! How the actor reads and writes the shared rows.

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
        report, //
    },
    commit_end::CommitEnd,
    row_error::RowError,
    shared_rows::{
        read_snapshot,
        row_changes, //
    },
    trace_span, //
};

/// Polls out of turn are at least this far apart.
const URGENT_POLL: Duration = Duration::from_millis(100);

/// How long a daemon waits after a conflict at the most, and after a refusal at the least and most.
const CONFLICT_PAUSE_MS: u64 = 60;
const REFUSAL_PAUSE_MS: std::ops::Range<u64> = 500..1_500;

impl ClusterState {
    /// Makes a transaction; the one that announces a configuration carries its document too.
    pub(crate) fn commit(
        &mut self,
        myself: &ActorRef<ClusterMessage>,
        write: &SharedWrite,
        more: Vec<RowChange>,
    ) {
        let changes = row_changes(write);
        let id = WriteId::new(&mut self.random);
        let table = self.edges.table.clone();
        metrics::counter!("jasminebend_shared_writes_total").increment(1);
        report(myself, async move {
            let end = match changes {
                Ok(mut changes) => {
                    let _span = trace_span::begin("cluster commit");
                    changes.extend(more);
                    commit_end(timeout(TABLE_TIMEOUT, table.commit(id, changes)).await)
                }
                Err(_) => CommitEnd::NotRun,
            };
            ClusterMessage::CommitEnded(end)
        });
    }

    pub(crate) fn end_commit(&mut self, myself: &ActorRef<ClusterMessage>, end: CommitEnd) {
        let pause = match end {
            CommitEnd::Committed => 0,
            CommitEnd::Conflict => self.random.random_range(0..CONFLICT_PAUSE_MS),
            CommitEnd::NotRun | CommitEnd::Unknown => self.random.random_range(REFUSAL_PAUSE_MS),
        };
        let now = self.now();
        self.lock().finish_write(now, Duration::from_millis(pause));
        self.proposals.end_write(end);
        self.tick(myself);
    }

    pub(crate) fn poll_if_due(&mut self, myself: &ActorRef<ClusterMessage>) {
        let now = self.now();
        let rested = self.polled_at.is_none_or(|at| now >= at + URGENT_POLL);
        let urgent = self.poll_wanted && rested && !self.table_lost;
        if self.polling || !(urgent || now >= self.poll_due) {
            return;
        }
        self.polling = true;
        self.poll_wanted = false;
        self.polled_at = Some(now);
        let jitter = self.random.random_range(0.8..1.2);
        self.poll_due = now + self.settings.poll.mul_f64(jitter);
        metrics::counter!("jasminebend_shared_polls_total").increment(1);
        let table = self.edges.table.clone();
        report(myself, async move {
            let read = timeout(TABLE_TIMEOUT, read_snapshot(&*table, now)).await;
            let late = Err(RowError::Table(TableError::Unknown));
            ClusterMessage::Polled(read.unwrap_or(late), now)
        });
    }

    pub(crate) fn end_poll(
        &mut self,
        myself: &ActorRef<ClusterMessage>,
        result: Result<TableSnapshot, RowError>,
        _asked_at: Duration,
    ) {
        self.polling = false;
        let result = result.and_then(|snapshot| match self.lock().matches_settings(&snapshot) {
            true => Ok(snapshot),
            false => Err(RowError::OtherSizes),
        });
        self.note_table(result.as_ref().err());
        if let Ok(snapshot) = result {
            let now = self.now();
            self.lock().apply_snapshot(now, snapshot);
        }
        self.tick(myself);
    }

    pub(crate) fn note_table(&mut self, error: Option<&RowError>) {
        match (error, self.table_lost) {
            (Some(error), false) => warn!("[cluster] The table cannot be read: {}.", error),
            (None, true) => info!("[cluster] The table can be read again."),
            _ => (),
        }
        self.table_lost = error.is_some();
    }
}

fn commit_end<Late>(result: Result<Result<CommitOutcome, TableError>, Late>) -> CommitEnd {
    match result {
        Ok(Ok(CommitOutcome::Committed(_))) => CommitEnd::Committed,
        Ok(Ok(CommitOutcome::Conflict { .. })) => CommitEnd::Conflict,
        Ok(Err(error)) if error.surely_not_run() => CommitEnd::NotRun,
        Ok(Err(_)) | Err(_) => CommitEnd::Unknown,
    }
}
