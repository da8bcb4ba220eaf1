//! Builds the commits of a shard's journal.

use std::collections::VecDeque;

use indexmap::IndexMap;
use jasminebend_placement::JobTransition;
use jasminebend_ports::{
    ObjectKey,
    RowChange,
    RowExpectation,
    RowVersion,
    WriteId, //
};

use crate::{
    RecordError,
    commit_effect::CommitEffect,
    journal_head::JournalHead,
    record_codec,
    row_keys, //
};

/// Limits the journal entries in one commit.
const MAX_ENTRIES_PER_COMMIT: usize = 512;
/// Limits the rows that belong to the entries of one commit, and separately those that belong to
/// none.
const MAX_EXTRA_ROWS_PER_COMMIT: usize = 64;
/// Limits the obsolete log rows that one commit deletes.
const MAX_LOG_DELETIONS_PER_COMMIT: u64 = 64;
/// The number of obsolete log rows before the snapshot that a former owner is assumed to have left;
/// any older ones are not deleted.
const MAX_OBSOLETE_LOG_ROWS: u64 = 512;

/// A journal entry that is not committed yet.
#[derive(Debug)]
pub(crate) struct PendingEntry {
    pub(crate) transition: JobTransition,
    /// The action that the commit of this entry permits.
    pub(crate) effect: CommitEffect,
    /// Rows that must be written in the same commit.
    pub(crate) rows: Vec<RowChange>,
}

/// A commit that was sent and is not confirmed. It is sent again unchanged until its result is
/// known: it expects one version of the head row, so at most one copy takes effect.
#[derive(Debug)]
pub(crate) struct CommitBatch {
    pub(crate) write: WriteId,
    pub(crate) changes: Vec<RowChange>,
    head: JournalHead,
    entries: Vec<PendingEntry>,
    /// Rows that do not belong to an entry.
    extra_rows: Vec<RowChange>,
    deleted_until: u64,
}

/// Builds the commits of a shard's journal: one at a time, each with all pending entries up to a
/// limit.
#[derive(Debug)]
pub(crate) struct JournalWriter {
    shard: u16,
    head: JournalHead,
    /// Version of the head row, which the next commit expects.
    version: RowVersion,
    /// Sequence number of the first log row that is not deleted.
    deleted_until: u64,
    /// Entries that wait for a commit, oldest first.
    pending: VecDeque<PendingEntry>,
    /// A stored snapshot that the next commit names, with the number of pending entries that it
    /// contains.
    stored_snapshot: Option<(ObjectKey, usize)>,
    /// Key of the snapshot that the named one replaces.
    replaced_snapshot: Option<String>,
    /// Log rows that do not count towards the next snapshot because an attempt failed.
    rows_when_postponed: u64,
    /// Rows that wait for a commit and do not belong to an entry.
    rows: Vec<RowChange>,
    /// Current limits of a commit; halved when the table service rejects a commit as too large.
    max_entries: usize,
    max_extra_rows: usize,
    max_log_deletions: u64,
    /// The commit that was sent and is not confirmed.
    pub(crate) in_flight: Option<CommitBatch>,
}

impl JournalWriter {
    pub(crate) fn new(shard: u16, head: JournalHead, version: RowVersion) -> Self {
        Self {
            shard,
            deleted_until: head.first.saturating_sub(MAX_OBSOLETE_LOG_ROWS),
            head,
            version,
            pending: VecDeque::new(),
            stored_snapshot: None,
            replaced_snapshot: None,
            rows_when_postponed: 0,
            rows: Vec::new(),
            max_entries: MAX_ENTRIES_PER_COMMIT,
            max_extra_rows: MAX_EXTRA_ROWS_PER_COMMIT,
            max_log_deletions: MAX_LOG_DELETIONS_PER_COMMIT,
            in_flight: None,
        }
    }

    pub(crate) fn push(&mut self, entry: PendingEntry) {
        self.pending.push_back(entry);
    }

    /// Adds a row that is written with the next commit that has space for it.
    pub(crate) fn push_row(&mut self, row: RowChange) {
        self.rows.push(row);
    }

    /// Adds a row that is written in the same commit as the entry pushed last.
    pub(crate) fn attach_row(&mut self, row: RowChange) {
        // A pending change of the same row is older than this one.
        self.rows.retain(|other| other.key != row.key);
        if let Some(entry) = self.pending.back_mut() {
            entry.rows.push(row);
        }
    }

    /// Returns the number of entries that wait for a commit.
    pub(crate) fn pending_entries(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of log rows since the last snapshot; zero while a new snapshot waits to
    /// be named in the head row.
    pub(crate) fn rows_since_snapshot(&self) -> u64 {
        if self.stored_snapshot.is_some() {
            return 0;
        }
        (self.head.next - self.head.first).saturating_sub(self.rows_when_postponed)
    }

    /// Returns the sequence number of the next log row.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.head.next
    }

    /// Makes the next commit name a snapshot instead of logging the first `entries` pending
    /// entries, which the snapshot contains. The caller makes no commit between taking the snapshot
    /// and this call.
    pub(crate) fn set_snapshot(&mut self, key: ObjectKey, entries: usize, old: Option<String>) {
        self.stored_snapshot = Some((key, entries));
        self.replaced_snapshot = old;
        self.rows_when_postponed = 0;
    }

    /// Postpones the next snapshot: the present log rows no longer count towards it.
    pub(crate) fn postpone_snapshot(&mut self) {
        self.rows_when_postponed = self.head.next - self.head.first;
    }

    /// Halves the batch limits after the table service rejected a commit as too large; returns
    /// whether a smaller commit is possible.
    pub(crate) fn halve_limits(&mut self) -> bool {
        let Some(batch) = self.in_flight.take() else {
            return false;
        };
        let deleted = batch.deleted_until - self.deleted_until;
        let named = batch.head.first > self.head.first;
        let can_shrink =
            batch.entries.len() > 1 || batch.extra_rows.len() > 1 || deleted > 1 || named;
        self.max_log_deletions = (deleted / 2).max(1);
        if named {
            // The entries that the snapshot contains are logged instead. The head row keeps naming
            // the former snapshot, which must not be deleted.
            self.replaced_snapshot = None;
            self.postpone_snapshot();
        }
        self.max_entries = (batch.entries.len() / 2).max(1);
        self.max_extra_rows = (batch.extra_rows.len() / 2).max(1);
        // Deletions are retried in a later commit; other rows are dropped since they may be
        // outdated by then.
        let deletions = batch
            .extra_rows
            .into_iter()
            .filter(|row| row.value.is_none());
        self.rows.splice(..0, deletions);
        for entry in batch.entries.into_iter().rev() {
            self.pending.push_front(entry);
        }
        can_shrink
    }

    /// Builds the next commit. Returns `None` while another one is unconfirmed or nothing is
    /// pending.
    pub(crate) fn next_batch(&mut self, write: WriteId) -> Result<Option<()>, RecordError> {
        let nothing =
            self.pending.is_empty() && self.stored_snapshot.is_none() && self.rows.is_empty();
        if self.in_flight.is_some() || nothing {
            return Ok(None);
        }
        let entries = self.take_entries();
        let mut head = self.head.clone();
        let mut changes = Vec::new();
        self.add_log_row(&entries, &mut head, &mut changes)?;
        if let Some((key, _)) = self.stored_snapshot.take() {
            head.snapshot = Some(key.as_str().to_owned());
            head.first = head.next;
        }
        let deleted_until = self.add_deletions(&head, &mut changes);
        let value = record_codec::encode(&head)?;
        let expected = RowExpectation::Version(self.version);
        // The head row comes first, so that a conflict always reports it.
        changes.insert(
            0,
            RowChange::put(row_keys::journal_head(self.shard), expected, value),
        );
        let count = self.rows.len().min(self.max_extra_rows);
        let extra_rows: Vec<RowChange> = self.rows.drain(..count).collect();
        changes.extend(extra_rows.iter().cloned());
        for entry in &entries {
            changes.extend(entry.rows.iter().cloned());
        }
        let changes = keep_last_change_per_row(changes);
        self.in_flight = Some(CommitBatch {
            write,
            changes,
            head,
            entries,
            extra_rows,
            deleted_until,
        });
        Ok(Some(()))
    }

    /// Completes the commit in flight; returns its entries, and the key of the snapshot that it
    /// replaced.
    pub(crate) fn complete_commit(
        &mut self,
        version: RowVersion,
    ) -> (Vec<PendingEntry>, Option<String>) {
        let Some(batch) = self.in_flight.take() else {
            return (Vec::new(), None);
        };
        self.head = batch.head;
        self.version = version;
        self.deleted_until = batch.deleted_until;
        (batch.entries, self.replaced_snapshot.take())
    }

    /// Takes the entries of the next commit. Those that a snapshot contains must go with the commit
    /// that names it.
    fn take_entries(&mut self) -> Vec<PendingEntry> {
        if let Some((_, held)) = &self.stored_snapshot {
            return self.pending.drain(..*held).collect();
        }
        let mut rows = 0;
        let mut count = 0;
        for entry in self.pending.iter().take(self.max_entries) {
            rows += entry.rows.len();
            if rows > MAX_EXTRA_ROWS_PER_COMMIT && count > 0 {
                break;
            }
            count += 1;
        }
        self.pending.drain(..count).collect()
    }

    fn add_log_row(
        &self,
        entries: &[PendingEntry],
        head: &mut JournalHead,
        changes: &mut Vec<RowChange>,
    ) -> Result<(), RecordError> {
        if entries.is_empty() || self.stored_snapshot.is_some() {
            return Ok(());
        }
        let transitions: Vec<&JobTransition> =
            entries.iter().map(|entry| &entry.transition).collect();
        let value = record_codec::encode(&transitions)?;
        let key = row_keys::log_row(self.shard, head.next);
        changes.push(RowChange::put(key, RowExpectation::Absent, value));
        head.next += 1;
        Ok(())
    }

    /// Adds deletions of obsolete log rows; returns the first sequence number that is not deleted.
    fn add_deletions(&self, head: &JournalHead, changes: &mut Vec<RowChange>) -> u64 {
        let to = head.first.min(self.deleted_until + self.max_log_deletions);
        for sequence in self.deleted_until..to {
            let key = row_keys::log_row(self.shard, sequence);
            changes.push(RowChange::delete(key, RowExpectation::Any));
        }
        to
    }
}

/// Keeps only the last change of each row, because a transaction may name a row once.
fn keep_last_change_per_row(changes: Vec<RowChange>) -> Vec<RowChange> {
    let mut last = IndexMap::with_capacity(changes.len());
    for change in changes {
        last.insert(change.key.clone(), change);
    }
    last.into_values().collect()
}
