//! Deletes the rows of jobs that ended long ago.

use std::time::Duration;

use jasminebend_placement::JobId;
use jasminebend_ports::{
    ObjectKey,
    RowChange,
    RowExpectation,
    TableError,
    TableRow, //
};

use crate::{
    job_row::JobRow,
    record_codec,
    shard_state::ShardState, //
};

/// Interval between pages of job rows. At 17,000 jobs a day, the rows of a week are swept once a
/// day.
const SWEEP_INTERVAL: Duration = Duration::from_secs(120);

impl ShardState {
    /// Starts reading the next page of job rows if it is due, and closes completed jobs that are
    /// still open.
    pub(crate) fn sweep(&mut self, now: Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.calls.scan_job_rows(self.sweep_position.clone());
        let ended = self
            .ledger
            .jobs()
            .filter(|(_, record)| record.is_complete());
        let ended: Vec<JobId> = ended.map(|(job, _)| job).collect();
        for job in ended {
            self.close_if_ended(job);
        }
    }

    /// Deletes the rows of this shard's jobs whose retention time has passed. Their idempotency
    /// keys may then be used for new jobs.
    pub(crate) fn on_job_rows_scanned(&mut self, rows: Result<Vec<TableRow>, TableError>) {
        let Ok(rows) = rows else { return };
        // An empty page sets the position to `None`, so that the sweep begins again.
        self.sweep_position = rows.last().map(|row| row.key.clone());
        for row in rows {
            // Unreadable rows are left for a release that can read them.
            if let Ok(job) = record_codec::decode::<JobRow>(&row.value) {
                self.sweep_row(row, &job);
            }
        }
    }

    /// Deletes one job row and its results if the job is old enough and belongs to this shard.
    fn sweep_row(&mut self, row: TableRow, job: &JobRow) {
        let kept = self.settings.ended_job_retention.as_millis();
        let age = |ended| u128::from(self.wall_ms().saturating_sub(ended));
        let old = job.ended_ms.is_some_and(|ended| age(ended) > kept);
        if !old || job.shard != self.calls.permit.shard {
            return;
        }
        if let Some(key) = &job.results {
            self.calls.delete_object(ObjectKey::from(key.as_str()));
        }
        if let Some(writer) = &mut self.writer {
            writer.push_row(RowChange::delete(row.key, RowExpectation::Any));
        }
    }
}
