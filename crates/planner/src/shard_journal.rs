//! Reads and commits the journal of a shard.

use std::time::Duration;

use jasminebend_placement::{
    JobId,
    JobTransition,
    TaskId,
    TaskState, //
};
use jasminebend_ports::{
    CommitOutcome,
    ObjectKey,
    RowVersion,
    TableError,
    TableRow, //
};
use spdlog::{
    error,
    info,
    warn, //
};

use crate::{
    JournalError,
    commit_effect::CommitEffect,
    journal_store::OpenJournal,
    journal_writer::{
        JournalWriter,
        PendingEntry, //
    },
    row_keys,
    run_phase::RunPhase,
    shard_phase::ShardPhase,
    shard_snapshot,
    shard_state::ShardState,
    stop_request::StopRequest, //
};

/// Delay before the journal is opened again or a commit is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

impl ShardState {
    /// Starts reading the journal, unless a retry is not due yet.
    pub(crate) fn open_journal(&mut self, now: Duration) {
        if now < self.journal_retry_at {
            return;
        }
        self.phase = ShardPhase::Opening;
        let write = self.random_write_id();
        self.calls.read_journal(write);
    }

    /// Starts planning, or schedules a retry, or stops because of another owner or a fault.
    pub(crate) fn on_opened(&mut self, opened: Result<OpenJournal, JournalError>) {
        let shard = self.calls.permit.shard;
        match opened {
            Ok(journal) => self.start_planning(journal),
            Err(error) if error.is_transient() => {
                self.phase = ShardPhase::Closed;
                self.journal_retry_at = self.now() + RETRY_DELAY;
            }
            Err(JournalError::Deposed { newer }) => {
                info!(
                    "[planner] Shard {} was taken over by epoch {}.",
                    shard, newer
                );
                self.phase = ShardPhase::Deposed;
            }
            Err(fault) => {
                error!("[planner] Shard {} stays idle: {}.", shard, fault);
                self.phase = ShardPhase::Faulted(fault);
            }
        }
    }

    /// Starts planning with the state that was read.
    fn start_planning(&mut self, journal: OpenJournal) {
        let shard = self.calls.permit.shard;
        let now = self.now();
        info!(
            "[planner] Took over shard {} at epoch {}.",
            shard, self.calls.permit.epoch
        );
        self.snapshot_key.clone_from(&journal.head.snapshot);
        self.writer = Some(JournalWriter::new(shard, journal.head, journal.version));
        self.ledger = journal.ledger;
        self.learned = journal.learned;
        self.learned.rebase(now);
        self.next_snapshot = now + shard_snapshot::SNAPSHOT_INTERVAL;
        self.vms.mark_changed();
        self.configuration.mark_changed();
        self.phase = ShardPhase::Open;
        self.refresh_workers(now);
        self.resume_jobs();
        self.readopt_workers(now);
    }

    /// Applies a transition in memory and queues it for the journal; returns whether the ledger
    /// accepted it.
    pub(crate) fn record(&mut self, transition: JobTransition, effect: CommitEffect) -> bool {
        if let Err(error) = self.ledger.apply(&transition) {
            warn!("[planner] The ledger rejected a transition: {}.", error);
            return false;
        }
        let rows = self.rows_of(&transition);
        let job = match &transition {
            JobTransition::Ended { task, .. } => Some(task.job),
            JobTransition::Cancelled { job } => Some(*job),
            _ => None,
        };
        let entry = PendingEntry {
            transition,
            effect,
            rows,
        };
        if let Some(writer) = &mut self.writer {
            writer.push(entry);
        }
        if let Some(job) = job {
            self.close_if_ended(job);
        }
        true
    }

    /// Takes a snapshot or sends the next commit, if one is due.
    pub(crate) fn commit(&mut self, now: Duration) {
        // A shard that is being released must become idle even if entries are pending; its next
        // owner finds their effects by asking the workers.
        if self.snapshotting || now < self.commit_retry_at || !self.calls.permit.is_granted() {
            return;
        }
        if self.snapshot_is_due(now) {
            self.take_snapshot(now);
            return;
        }
        let write = self.random_write_id();
        let in_flight = |writer: &JournalWriter| writer.in_flight.is_some();
        if self.writer.as_ref().is_none_or(in_flight) {
            return;
        }
        self.update_job_rows(now);
        let Some(writer) = &mut self.writer else {
            return;
        };
        match writer.next_batch(write) {
            Ok(Some(())) => {}
            Ok(None) => return,
            Err(error) => {
                self.fault(error.into());
                return;
            }
        }
        self.send_batch();
    }

    /// Sends the commit in flight.
    fn send_batch(&mut self) {
        let batch = self
            .writer
            .as_ref()
            .and_then(|writer| writer.in_flight.as_ref());
        let Some(batch) = batch else { return };
        metrics::counter!("jasminebend_planner_commits_total").increment(1);
        self.calls.commit(batch.write, batch.changes.clone());
    }

    /// Handles the result of a commit.
    pub(crate) fn on_committed(&mut self, result: Result<CommitOutcome, TableError>) {
        match result {
            Ok(CommitOutcome::Committed(version)) => self.finish_commit(version),
            Ok(CommitOutcome::Conflict { key, found }) => {
                let shard = self.calls.permit.shard;
                match key == row_keys::journal_head(shard) {
                    true => self.on_conflict(found),
                    false => self.fault(JournalError::Missing { sequence: 0 }),
                }
            }
            Err(TableError::TooLarge) => self.on_too_large(),
            Err(_) => self.on_commit_unanswered(),
        }
    }

    /// Decides whether a conflict is the result of an earlier copy of the same commit, whose answer
    /// was lost: then the head row carries this commit's write identifier. Otherwise another owner
    /// took over.
    fn on_conflict(&mut self, found: Option<TableRow>) {
        let writer = self.writer.as_ref();
        let write = writer.and_then(|writer| writer.in_flight.as_ref().map(|batch| batch.write));
        match found {
            Some(row) if Some(row.write) == write => self.finish_commit(row.version),
            _ => {
                info!(
                    "[planner] Shard {} was taken over while a commit was in flight.",
                    self.calls.permit.shard
                );
                self.phase = ShardPhase::Deposed;
            }
        }
    }

    /// Retries a commit in smaller parts, or stops if it cannot be smaller.
    fn on_too_large(&mut self) {
        let can_shrink = self
            .writer
            .as_mut()
            .is_some_and(JournalWriter::halve_limits);
        if !can_shrink {
            self.fault(JournalError::Table(TableError::TooLarge));
        }
    }

    /// Schedules the same commit again after its answer was lost.
    fn on_commit_unanswered(&mut self) {
        let now = self.now();
        self.table_failing_since.get_or_insert(now);
        self.commit_retry_at = now + RETRY_DELAY;
        metrics::counter!("jasminebend_planner_commit_retries_total").increment(1);
        self.resend_due = true;
    }

    /// Sends the unconfirmed commit again when it is due.
    pub(crate) fn resend_batch(&mut self, now: Duration) {
        if self.resend_due && now >= self.commit_retry_at {
            self.resend_due = false;
            self.send_batch();
        }
    }

    /// Applies the effects of a confirmed commit and sends the next one.
    fn finish_commit(&mut self, version: RowVersion) {
        if self.table_failing_since.take().is_some() {
            self.plan_due = true;
        }
        let Some(writer) = &mut self.writer else {
            return;
        };
        let (entries, dropped) = writer.complete_commit(version);
        if let Some(key) = dropped {
            self.calls.delete_object(ObjectKey::from(key));
        }
        let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
        metrics::histogram!("jasminebend_planner_commit_entries").record(f64::from(count));
        for entry in entries {
            self.apply_effect(entry.effect);
        }
        let now = self.now();
        self.advance_runs(now);
        self.commit(now);
    }

    /// Performs the action that a committed entry permits.
    fn apply_effect(&mut self, effect: CommitEffect) {
        let now = self.now();
        match effect {
            CommitEffect::NoEffect => {}
            CommitEffect::Start(task) => {
                if let Some(run) = self.runs.get_mut(&task)
                    && run.phase == RunPhase::Committing
                {
                    run.phase = match run.precommitted {
                        true => RunPhase::Precommitted,
                        false => RunPhase::ReadyToStart,
                    };
                    if run.precommitted {
                        self.links[&run.worker].precommitted.insert(task);
                    }
                    self.runs_to_advance.insert(task);
                }
            }
            CommitEffect::Acknowledge(worker, run) => {
                self.uncommitted_ends.swap_remove(&run);
                if let Some(link) = self.links.get_mut(&worker) {
                    link.unacknowledged_ends.push(run);
                }
            }
            CommitEffect::Accepted(job) => {
                self.accepted.insert(job, Some(now));
            }
            CommitEffect::StopJob(job) => self.request_job_stop(job),
        }
    }

    /// Requests the stop of all placed tasks of a job.
    fn request_job_stop(&mut self, job: JobId) {
        let Some(record) = self.ledger.job(job) else {
            return;
        };
        let placed = record.tasks.iter().zip(0..);
        let placed = placed.filter(|(task, _)| matches!(task.state, TaskState::Placed { .. }));
        let tasks: Vec<u32> = placed.map(|(_, index)| index).collect();
        for index in tasks {
            self.request_stop(TaskId { job, index }, StopRequest::Stop);
        }
    }

    /// Stops planning because the journal cannot be used.
    pub(crate) fn fault(&mut self, fault: JournalError) {
        error!(
            "[planner] Shard {} stays idle: {}.",
            self.calls.permit.shard, fault
        );
        self.phase = ShardPhase::Faulted(fault);
    }
}
