//! How a shard's actor reads and commits its journal.

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
    row_names,
    run_phase::RunPhase,
    shard_phase::ShardPhase,
    shard_snapshot,
    shard_state::ShardState,
    stop_wish::StopWish, //
};

const RETRY_AFTER: Duration = Duration::from_millis(500);

impl ShardState {
    pub(crate) fn open(&mut self, now: Duration) {
        if now < self.retry {
            return;
        }
        self.phase = ShardPhase::Opening;
        let write = self.draw_write();
        self.calls.open(write);
    }

    pub(crate) fn on_opened(&mut self, opened: Result<OpenJournal, JournalError>) {
        let shard = self.calls.permit.shard;
        match opened {
            Ok(journal) => self.begin(journal),
            Err(error) if error.passes() => {
                self.phase = ShardPhase::Closed;
                self.retry = self.now() + RETRY_AFTER;
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

    fn begin(&mut self, journal: OpenJournal) {
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
        self.next_snapshot = now + shard_snapshot::SNAPSHOT_EVERY;
        self.vms.mark_changed();
        self.configuration.mark_changed();
        self.phase = ShardPhase::Open;
        self.refresh_workers(now);
        self.resume_jobs();
        self.adopt_anew(now);
    }

    /// Makes a transition in memory and queues it for the journal; tells whether it followed.
    pub(crate) fn record(&mut self, transition: JobTransition, effect: CommitEffect) -> bool {
        if let Err(error) = self.ledger.apply(&transition) {
            warn!("[planner] A transition was refused: {}.", error);
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

    pub(crate) fn commit(&mut self, now: Duration) {
        // A shard that is given back must fall idle, whatever still waits: its next owner finds it at
        // the workers.
        if self.snapshotting || now < self.commit_retry || !self.calls.permit.granted() {
            return;
        }
        if self.snapshot_is_due(now) {
            self.take_snapshot(now);
            return;
        }
        let write = self.draw_write();
        let in_flight = |writer: &JournalWriter| writer.in_flight.is_some();
        if self.writer.as_ref().is_none_or(in_flight) {
            return;
        }
        self.tell_jobs(now);
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

    fn send_batch(&mut self) {
        let batch = self
            .writer
            .as_ref()
            .and_then(|writer| writer.in_flight.as_ref());
        let Some(batch) = batch else { return };
        metrics::counter!("jasminebend_planner_commits_total").increment(1);
        self.calls.commit(batch.write, batch.changes.clone());
    }

    pub(crate) fn on_committed(&mut self, result: Result<CommitOutcome, TableError>) {
        match result {
            Ok(CommitOutcome::Committed(version)) => self.finish_commit(version),
            Ok(CommitOutcome::Conflict { key, found }) => {
                let shard = self.calls.permit.shard;
                match key == row_names::head(shard) {
                    true => self.on_conflict(found),
                    false => self.fault(JournalError::Missing { sequence: 0 }),
                }
            }
            Err(TableError::TooLarge) => self.on_too_large(),
            Err(_) => self.on_silence(),
        }
    }

    /// A lost answer is settled by sending the commit again: if the first copy took effect, the head
    /// row has moved and bears this write's identity.
    fn on_conflict(&mut self, found: Option<TableRow>) {
        let writer = self.writer.as_ref();
        let write = writer.and_then(|writer| writer.in_flight.as_ref().map(|batch| batch.write));
        match found {
            Some(row) if Some(row.write) == write => self.finish_commit(row.version),
            _ => {
                info!(
                    "[planner] Shard {} was taken over while a commit was on its way.",
                    self.calls.permit.shard
                );
                self.phase = ShardPhase::Deposed;
            }
        }
    }

    fn on_too_large(&mut self) {
        let helps = self.writer.as_mut().is_some_and(JournalWriter::shrink);
        if !helps {
            self.fault(JournalError::Table(TableError::TooLarge));
        }
    }

    fn on_silence(&mut self) {
        let now = self.now();
        self.table_silent.get_or_insert(now);
        self.commit_retry = now + RETRY_AFTER;
        metrics::counter!("jasminebend_planner_commit_retries_total").increment(1);
        self.resend = true;
    }

    pub(crate) fn resend_batch(&mut self, now: Duration) {
        if self.resend && now >= self.commit_retry {
            self.resend = false;
            self.send_batch();
        }
    }

    fn finish_commit(&mut self, version: RowVersion) {
        if self.table_silent.take().is_some() {
            self.plan_due = true;
        }
        let Some(writer) = &mut self.writer else {
            return;
        };
        let (entries, dropped) = writer.committed(version);
        if let Some(key) = dropped {
            self.calls.drop_object(ObjectKey::from(key));
        }
        let count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
        metrics::histogram!("jasminebend_planner_commit_entries").record(f64::from(count));
        for entry in entries {
            self.take_effect(entry.effect);
        }
        let now = self.now();
        self.tend_runs(now);
        self.commit(now);
    }

    fn take_effect(&mut self, effect: CommitEffect) {
        let now = self.now();
        match effect {
            CommitEffect::Nothing => {}
            CommitEffect::Start(task) => {
                if let Some(run) = self.runs.get_mut(&task)
                    && run.phase == RunPhase::Committing
                {
                    run.phase = match run.ahead {
                        true => RunPhase::Ahead,
                        false => RunPhase::ToStart,
                    };
                    if run.ahead {
                        self.links[&run.worker].ahead.insert(task);
                    }
                    self.attention.insert(task);
                }
            }
            CommitEffect::Acknowledge(worker, run) => {
                self.ending.swap_remove(&run);
                if let Some(link) = self.links.get_mut(&worker) {
                    link.acknowledged.push(run);
                }
            }
            CommitEffect::Accepted(job) => {
                self.accepted.insert(job, Some(now));
            }
            CommitEffect::StopAll(job) => self.stop_job(job),
        }
    }

    fn stop_job(&mut self, job: JobId) {
        let Some(record) = self.ledger.job(job) else {
            return;
        };
        let placed = record.tasks.iter().zip(0..);
        let placed = placed.filter(|(task, _)| matches!(task.state, TaskState::Placed { .. }));
        let tasks: Vec<u32> = placed.map(|(_, index)| index).collect();
        for index in tasks {
            self.wish(TaskId { job, index }, StopWish::Stop);
        }
    }

    pub(crate) fn fault(&mut self, fault: JournalError) {
        error!(
            "[planner] Shard {} stays idle: {}.",
            self.calls.permit.shard, fault
        );
        self.phase = ShardPhase::Faulted(fault);
    }
}
