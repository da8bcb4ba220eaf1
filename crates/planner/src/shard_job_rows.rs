//! Writes job rows, which are committed together with journal entries.

use std::time::Duration;

use bytes::Bytes;
use jasminebend_placement::{
    JobId,
    JobRecord,
    JobTransition, //
};
use jasminebend_ports::{
    ObjectError,
    RowChange,
    RowExpectation, //
};
use spdlog::warn;

use crate::{
    JobStatus,
    commit_effect::CommitEffect,
    job_row::{
        JobRow,
        fingerprint_of, //
    },
    record_codec,
    row_keys,
    shard_state::ShardState, //
};

/// Results up to this size, in bytes, are stored in the job's row; larger ones are stored as an
/// object.
const MAX_RESULT_BYTES_IN_ROW: usize = 32 * 1024;
/// Interval at which the rows of unfinished jobs are updated.
const JOB_ROW_INTERVAL: Duration = Duration::from_secs(5);
/// Limits the job rows that are updated in one commit.
const MAX_JOB_ROWS_PER_UPDATE: usize = 64;
/// Delay before results are written to the object store again.
const RETRY_DELAY: Duration = Duration::from_secs(2);

impl ShardState {
    /// Returns the rows that must be committed with a transition. A placement, the end of a run and
    /// a cancellation need none; they mark the job's row as outdated instead.
    pub(crate) fn rows_of(&mut self, transition: &JobTransition) -> Vec<RowChange> {
        match transition {
            JobTransition::Accepted { job, .. } => {
                let key = row_keys::inbox_entry(self.calls.permit.shard, *job);
                vec![RowChange::delete(key, RowExpectation::Any)]
            }
            JobTransition::Held { job, .. } => self.job_row(*job, None).into_iter().collect(),
            JobTransition::Ended { task, .. } | JobTransition::Placed { task, .. } => {
                self.outdated_job_rows.insert(task.job);
                Vec::new()
            }
            JobTransition::Cancelled { job } => {
                self.outdated_job_rows.insert(*job);
                Vec::new()
            }
            JobTransition::Closed { .. } => Vec::new(),
        }
    }

    /// Closes a job that is complete. Results that are too large for its row are written to the
    /// object store first: if the job were closed before, a crash in between would lose them.
    pub(crate) fn close_if_ended(&mut self, job: JobId) {
        let Some(record) = self.ledger.job(job) else {
            return;
        };
        if !record.is_complete() || self.closing.contains(&job) {
            return;
        }
        let status = JobStatus::new(job, record, self.wait_reason(job));
        if status
            .results
            .iter()
            .flatten()
            .map(String::len)
            .sum::<usize>()
            <= MAX_RESULT_BYTES_IN_ROW
        {
            return self.close(job, None);
        }
        match record_codec::encode(&status.results) {
            Ok(body) => {
                self.closing.insert(job);
                let key = row_keys::results_object(job);
                self.calls
                    .store_results(job, key, Bytes::from(body), Duration::ZERO);
            }
            Err(error) => self.fault(error.into()),
        }
    }

    /// Closes a job whose results were stored, or retries after an error.
    pub(crate) fn on_results_stored(
        &mut self,
        job: JobId,
        body: Bytes,
        result: Result<(), ObjectError>,
    ) {
        let key = row_keys::results_object(job);
        // The next owner of the shard closes the job. If that is this owner again, it does so at
        // its next sweep.
        if !self.calls.permit.is_granted() {
            self.closing.swap_remove(&job);
            return;
        }
        if let Err(error) = result {
            warn!(
                "[planner] The results of job {} could not be stored yet: {}.",
                job, error
            );
            return self.calls.store_results(job, key, body, RETRY_DELAY);
        }
        self.closing.swap_remove(&job);
        self.close(job, Some(key.as_str().to_owned()));
    }

    /// Records that a job is closed, and writes its final row in the same commit.
    fn close(&mut self, job: JobId, results: Option<String>) {
        let row = self.job_row(job, results);
        let transition = JobTransition::Closed { job };
        if self.record(transition, CommitEffect::NoEffect)
            && let Some(row) = row
            && let Some(writer) = &mut self.writer
        {
            writer.attach_row(row);
        }
    }

    /// Returns the change that writes a job's row; the results are left out if an object stores
    /// them.
    fn job_row(&self, job: JobId, results: Option<String>) -> Option<RowChange> {
        let record: &JobRecord = self.ledger.job(job)?;
        let mut status = self.status_of(job, record);
        if results.is_some() {
            status.results = Vec::new();
        }
        let row = JobRow {
            shard: self.calls.permit.shard,
            fingerprint: fingerprint_of(&record.spec),
            status,
            ended_ms: record.is_complete().then(|| self.wall_ms()),
            results,
        };
        let value = record_codec::encode(&row).ok()?;
        Some(RowChange::put(
            row_keys::job_row(job),
            RowExpectation::Any,
            value,
        ))
    }

    /// Adds outdated job rows to the next commit, for daemons that do not own the shard. Called
    /// where a commit is built, so that no row is older than the entries next to it.
    pub(crate) fn update_job_rows(&mut self, now: Duration) {
        if now < self.next_job_row_update {
            return;
        }
        self.next_job_row_update = now + JOB_ROW_INTERVAL;
        let count = self.outdated_job_rows.len().min(MAX_JOB_ROWS_PER_UPDATE);
        let jobs: Vec<JobId> = self.outdated_job_rows.drain(..count).collect();
        for job in jobs {
            let closing = self.ledger.job(job).is_none_or(JobRecord::is_complete);
            if closing {
                continue;
            }
            if let Some(row) = self.job_row(job, None)
                && let Some(writer) = &mut self.writer
            {
                writer.push_row(row);
            }
        }
    }
}
