//! What a shard's owner tells of its jobs, in rows that go with its commits.

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
    row_names,
    shard_state::ShardState, //
};

/// The results of a job that are kept in its row, in bytes; larger ones are an object.
const MOST_IN_ROW: usize = 32 * 1024;
/// How often the states of running jobs are told, and the most rows at a time.
const TELL_EVERY: Duration = Duration::from_secs(5);
const MOST_TOLD: usize = 64;
const RETRY_AFTER: Duration = Duration::from_secs(2);

impl ShardState {
    /// Returns the rows that go with a transition.
    pub(crate) fn rows_of(&mut self, transition: &JobTransition) -> Vec<RowChange> {
        match transition {
            JobTransition::Accepted { job, .. } => {
                let key = row_names::inbox_entry(self.calls.permit.shard, *job);
                vec![RowChange::delete(key, RowExpectation::Any)]
            }
            JobTransition::Held { job, .. } => self.job_row(*job, None).into_iter().collect(),
            JobTransition::Ended { task, .. } | JobTransition::Placed { task, .. } => {
                self.untold.insert(task.job);
                Vec::new()
            }
            JobTransition::Cancelled { job } => {
                self.untold.insert(*job);
                Vec::new()
            }
            JobTransition::Closed { .. } => Vec::new(),
        }
    }

    /// Closes a job of which nothing is left to do. Results too large for its row are written to the
    /// object store first: were the job closed before, a death in between would lose them.
    pub(crate) fn close_if_ended(&mut self, job: JobId) {
        let Some(record) = self.ledger.job(job) else {
            return;
        };
        if !record.is_complete() || self.closing.contains(&job) {
            return;
        }
        let status = JobStatus::new(job, record, self.reason(job));
        if status
            .results
            .iter()
            .flatten()
            .map(String::len)
            .sum::<usize>()
            <= MOST_IN_ROW
        {
            return self.close(job, None);
        }
        match record_codec::encode(&status.results) {
            Ok(body) => {
                self.closing.insert(job);
                let key = row_names::results(job);
                self.calls
                    .keep_results(job, key, Bytes::from(body), Duration::ZERO);
            }
            Err(error) => self.fault(error.into()),
        }
    }

    pub(crate) fn on_results_kept(
        &mut self,
        job: JobId,
        body: Bytes,
        result: Result<(), ObjectError>,
    ) {
        let key = row_names::results(job);
        // Whoever owns the shard next closes the job; if that is this owner again, at its next sweep.
        if !self.calls.permit.granted() {
            self.closing.swap_remove(&job);
            return;
        }
        if let Err(error) = result {
            warn!("[planner] The results of job {} wait: {}.", job, error);
            return self.calls.keep_results(job, key, body, RETRY_AFTER);
        }
        self.closing.swap_remove(&job);
        self.close(job, Some(key.as_str().to_owned()));
    }

    fn close(&mut self, job: JobId, results: Option<String>) {
        let row = self.job_row(job, results);
        let transition = JobTransition::Closed { job };
        if self.record(transition, CommitEffect::Nothing)
            && let Some(row) = row
            && let Some(writer) = &mut self.writer
        {
            writer.add_row(row);
        }
    }

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
            row_names::job(job),
            RowExpectation::Any,
            value,
        ))
    }

    /// Tells how jobs stand, for daemons that do not hold the shard. It is called where a batch is
    /// made, so that no row is older than the entries beside it.
    pub(crate) fn tell_jobs(&mut self, now: Duration) {
        if now < self.next_told {
            return;
        }
        self.next_told = now + TELL_EVERY;
        let count = self.untold.len().min(MOST_TOLD);
        let jobs: Vec<JobId> = self.untold.drain(..count).collect();
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
