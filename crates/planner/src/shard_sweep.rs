//! How the rows of jobs that ended long ago are deleted.

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

/// How often some rows are looked at: all rows of a week at the target's 17,000 jobs a day are passed
/// in a day.
const SWEEP_EVERY: Duration = Duration::from_secs(120);

impl ShardState {
    pub(crate) fn sweep(&mut self, now: Duration) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_EVERY;
        self.calls.sweep(self.swept_to.clone());
        let ended = self
            .ledger
            .jobs()
            .filter(|(_, record)| record.is_complete());
        let ended: Vec<JobId> = ended.map(|(job, _)| job).collect();
        for job in ended {
            self.close_if_ended(job);
        }
    }

    /// Deletes the rows of this shard's jobs that ended longer ago than they are kept. Their keys may
    /// then be used for new jobs.
    pub(crate) fn on_swept(&mut self, rows: Result<Vec<TableRow>, TableError>) {
        let Ok(rows) = rows else { return };
        // Past the last row, it begins again.
        self.swept_to = rows.last().map(|row| row.key.clone());
        for row in rows {
            // What cannot be read is left for whoever can.
            if let Ok(job) = record_codec::decode::<JobRow>(&row.value) {
                self.sweep_row(row, &job);
            }
        }
    }

    fn sweep_row(&mut self, row: TableRow, job: &JobRow) {
        let kept = self.settings.keep_ended.as_millis();
        let age = |ended| u128::from(self.wall_ms().saturating_sub(ended));
        let old = job.ended_ms.is_some_and(|ended| age(ended) > kept);
        if !old || job.shard != self.calls.permit.shard {
            return;
        }
        if let Some(key) = &job.results {
            self.calls.drop_object(ObjectKey::from(key.as_str()));
        }
        if let Some(writer) = &mut self.writer {
            writer.push_row(RowChange::delete(row.key, RowExpectation::Any));
        }
    }
}
