//! How a shard's owner takes in submissions and cancellations.

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
    shard_calls::ROWS_PER_SCAN,
    shard_state::ShardState, //
};

impl ShardState {
    pub(crate) fn scan(&mut self, now: Duration) {
        if self.scanning || now < self.next_scan {
            return;
        }
        self.tell_gauges();
        self.scanning = true;
        self.next_scan = now + self.settings.scan_every;
        self.calls.scan(now);
    }

    fn tell_gauges(&self) {
        let shard = self.calls.permit.shard.to_string();
        let waiting = self.writer.as_ref().map_or(0, JournalWriter::waiting);
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

    pub(crate) fn on_scanned(
        &mut self,
        started: Duration,
        submissions: Result<Vec<TableRow>, TableError>,
        cancels: Result<Vec<TableRow>, TableError>,
    ) {
        self.scanning = false;
        let (Ok(submissions), Ok(cancels)) = (submissions, cancels) else {
            self.unread = true;
            return;
        };
        self.unread = false;
        for row in &submissions {
            self.take_in(row);
        }
        let all_seen = submissions.len() < ROWS_PER_SCAN;
        for row in &cancels {
            self.take_cancels(row, all_seen);
        }
        if !all_seen {
            self.next_scan = self.now();
        }
        // A row that an earlier scan saw may be gone by now, and its job ended: a scan that began
        // after the commit cannot show it again.
        self.accepted
            .retain(|_, committed| committed.is_none_or(|time| time >= started));
        let now = self.now();
        self.plan(now);
        self.commit(now);
    }

    fn take_in(&mut self, row: &TableRow) {
        let entry: InboxEntry = match record_codec::decode(&row.value) {
            Ok(entry) => entry,
            Err(error) => {
                return self.leave_alone(row, error);
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

    /// Takes cancellations in. While some submissions were not read yet, a job that is not known may be
    /// among them; its cancellation is kept for the next look, or the job would run for good.
    fn take_cancels(&mut self, row: &TableRow, all_seen: bool) {
        let jobs: Vec<JobId> = match record_codec::decode(&row.value) {
            Ok(jobs) => jobs,
            Err(error) => {
                return self.leave_alone(row, error);
            }
        };
        for job in jobs {
            self.cancel(job);
        }
        if !all_seen {
            return;
        }
        if let Some(writer) = &mut self.writer {
            let expected = RowExpectation::Any;
            writer.push_row(RowChange::delete(row.key.clone(), expected));
        }
    }

    /// Leaves a row that cannot be read for a release that can, and tells so once.
    fn leave_alone(&mut self, row: &TableRow, error: RecordError) {
        if self.left_alone.insert(row.key.clone()) {
            warn!("[planner] Row {} is left alone: {}.", row.key, error);
            metrics::counter!("jasminebend_planner_unreadable_rows_total").increment(1);
        }
    }

    /// Gives a job up; a second time, or after its end, changes nothing.
    fn cancel(&mut self, job: JobId) {
        if self.ledger.job(job).is_none_or(|record| record.cancelled) {
            return;
        }
        self.queue.remove(job);
        self.reasons.swap_remove(&job);
        let transition = JobTransition::Cancelled { job };
        self.record(transition, CommitEffect::StopAll(job));
    }
}
