//! Accepts submissions and cancellations from the shard's inbox.

use std::time::Duration;

use jasminebend_placement::{
    JobId,
    JobTransition,
    WorkerCondition, //
};
use jasminebend_ports::{
    RowChange,
    RowExpectation,
    TableError,
    TableRow, //
};
use spdlog::warn;

use crate::{
    RecordError,
    commit_effect::CommitEffect,
    inbox_entry::InboxEntry,
    journal_writer::JournalWriter,
    record_codec,
    shard_calls::MAX_ROWS_PER_SCAN,
    shard_state::ShardState, //
};

impl ShardState {
    /// Starts a scan of the inbox if one is due.
    pub(crate) fn scan_inbox(&mut self, now: Duration) {
        if self.scanning || now < self.next_scan {
            return;
        }
        self.record_gauges();
        self.scanning = true;
        self.next_scan = now + self.settings.scan_interval;
        self.calls.scan_inbox(now);
    }

    /// Sets the shard's gauges.
    fn record_gauges(&self) {
        let shard = self.calls.permit.shard.to_string();
        let waiting = self
            .writer
            .as_ref()
            .map_or(0, JournalWriter::pending_entries);
        let open = self.pool.workers();
        let open = open.filter(|(_, worker)| worker.condition == WorkerCondition::Open);
        let gauges = [
            ("jasminebend_planner_queued_tasks", self.queue.len()),
            ("jasminebend_planner_placed_tasks", self.runs.len()),
            ("jasminebend_planner_open_workers", open.count()),
            ("jasminebend_planner_uncommitted_entries", waiting),
        ];
        for (name, value) in gauges {
            // CAST: Far below 2^52.
            metrics::gauge!(name, "shard" => shard.clone()).set(value as f64);
        }
    }

    /// Accepts the submissions and cancellations of a finished scan.
    pub(crate) fn on_inbox_scanned(
        &mut self,
        started: Duration,
        submissions: Result<Vec<TableRow>, TableError>,
        cancellations: Result<Vec<TableRow>, TableError>,
    ) {
        self.scanning = false;
        let (Ok(submissions), Ok(cancellations)) = (submissions, cancellations) else {
            self.inbox_scan_failed = true;
            return;
        };
        self.inbox_scan_failed = false;
        for row in &submissions {
            self.accept_submission(row);
        }
        let all_submissions_read = submissions.len() < MAX_ROWS_PER_SCAN;
        for row in &cancellations {
            self.accept_cancellations(row, all_submissions_read);
        }
        if !all_submissions_read {
            self.next_scan = self.now();
        }
        // An inbox row that a scan returns may have been deleted meanwhile, and its job ended. A
        // scan that began after that commit cannot return the row again, so the job can be
        // forgotten.
        self.accepted
            .retain(|_, committed| committed.is_none_or(|time| time >= started));
        let now = self.now();
        self.plan(now);
        self.commit(now);
    }

    /// Accepts a submission, unless it is already accepted.
    fn accept_submission(&mut self, row: &TableRow) {
        let entry: InboxEntry = match record_codec::decode(&row.value) {
            Ok(entry) => entry,
            Err(error) => {
                return self.skip_unreadable_row(row, error);
            }
        };
        let job = entry.job;
        if self.accepted.contains_key(&job) || self.ledger.job(job).is_some() {
            return;
        }
        let tasks = entry.spec.tasks;
        let transition = JobTransition::Accepted {
            job,
            spec: Box::new(entry.spec),
            kind: entry.kind,
            submitted_ms: entry.submitted_ms,
        };
        if self.record(transition, CommitEffect::Accepted(job)) {
            self.accepted.insert(job, None);
            for index in (0..tasks).rev() {
                self.enqueue(jasminebend_placement::TaskId { job, index });
            }
        }
    }

    /// Accepts cancellations. While some submissions are still unread, an unknown job may be among
    /// them; its cancellation is then kept for the next scan, or the job would never be cancelled.
    fn accept_cancellations(&mut self, row: &TableRow, all_submissions_read: bool) {
        let jobs: Vec<JobId> = match record_codec::decode(&row.value) {
            Ok(jobs) => jobs,
            Err(error) => {
                return self.skip_unreadable_row(row, error);
            }
        };
        for job in jobs {
            self.cancel(job);
        }
        if !all_submissions_read {
            return;
        }
        if let Some(writer) = &mut self.writer {
            let expected = RowExpectation::Any;
            writer.push_row(RowChange::delete(row.key.clone(), expected));
        }
    }

    /// Keeps an unreadable row for a release that can read it, and logs it once.
    fn skip_unreadable_row(&mut self, row: &TableRow, error: RecordError) {
        if self.unreadable_rows.insert(row.key.clone()) {
            warn!(
                "[planner] Row {} cannot be read and is skipped: {}.",
                row.key, error
            );
            metrics::counter!("jasminebend_planner_unreadable_rows_total").increment(1);
        }
    }

    /// Cancels a job; has no effect on an unknown or already cancelled one.
    fn cancel(&mut self, job: JobId) {
        if self.ledger.job(job).is_none_or(|record| record.cancelled) {
            return;
        }
        self.queue.remove(job);
        self.wait_reasons.swap_remove(&job);
        let transition = JobTransition::Cancelled { job };
        self.record(transition, CommitEffect::StopJob(job));
    }
}
