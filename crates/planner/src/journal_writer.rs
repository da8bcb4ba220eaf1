//! The commits of a shard's journal.

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
    row_names, //
};

/// The most entries of one commit, and the most other rows that go with them.
const MOST_ENTRIES: usize = 512;
const MOST_ROWS: usize = 64;
/// The most old log rows that one commit deletes.
const MOST_DELETED: u64 = 64;
/// The most old log rows that a former owner is taken to have left.
const MOST_LEFT: u64 = 512;

/// An entry that is not committed yet.
#[derive(Debug)]
pub(crate) struct PendingEntry {
    pub(crate) transition: JobTransition,
    pub(crate) effect: CommitEffect,
    pub(crate) rows: Vec<RowChange>,
}

/// A commit on its way. It is sent again unchanged until its fate is known: its head row names one
/// version, so that only one of the copies can ever take effect.
#[derive(Debug)]
pub(crate) struct CommitBatch {
    pub(crate) write: WriteId,
    pub(crate) changes: Vec<RowChange>,
    head: JournalHead,
    entries: Vec<PendingEntry>,
    others: Vec<RowChange>,
    deleted_to: u64,
}

/// The commits of a shard's journal: one at a time, each with all that waits, up to a limit.
#[derive(Debug)]
pub(crate) struct JournalWriter {
    shard: u16,
    head: JournalHead,
    version: RowVersion,
    deleted_to: u64,
    pending: VecDeque<PendingEntry>,
    snapshot: Option<(ObjectKey, usize)>,
    replaced: Option<String>,
    put_off: u64,
    rows: Vec<RowChange>,
    most_entries: usize,
    most_rows: usize,
    most_deleted: u64,
    pub(crate) in_flight: Option<CommitBatch>,
}

impl JournalWriter {
    pub(crate) fn new(shard: u16, head: JournalHead, version: RowVersion) -> Self {
        Self {
            shard,
            deleted_to: head.first.saturating_sub(MOST_LEFT),
            head,
            version,
            pending: VecDeque::new(),
            snapshot: None,
            replaced: None,
            put_off: 0,
            rows: Vec::new(),
            most_entries: MOST_ENTRIES,
            most_rows: MOST_ROWS,
            most_deleted: MOST_DELETED,
            in_flight: None,
        }
    }

    pub(crate) fn push(&mut self, entry: PendingEntry) {
        self.pending.push_back(entry);
    }

    /// Adds a row that goes with the next commit.
    pub(crate) fn push_row(&mut self, row: RowChange) {
        self.rows.push(row);
    }

    /// Adds a row that goes with the entry pushed last.
    pub(crate) fn add_row(&mut self, row: RowChange) {
        // What waits to be told of the same row is older.
        self.rows.retain(|other| other.key != row.key);
        if let Some(entry) = self.pending.back_mut() {
            entry.rows.push(row);
        }
    }

    pub(crate) fn waiting(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of log rows since the last snapshot, zero while a new one waits to be named.
    pub(crate) fn rows_since_snapshot(&self) -> u64 {
        if self.snapshot.is_some() {
            return 0;
        }
        (self.head.next - self.head.first).saturating_sub(self.put_off)
    }

    /// Returns the sequence number of the next log row.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.head.next
    }

    /// Has the next commit name a snapshot in place of logging the first `entries`, which it holds;
    /// the caller makes no commit between taking the snapshot and this.
    pub(crate) fn set_snapshot(&mut self, key: ObjectKey, entries: usize, old: Option<String>) {
        self.snapshot = Some((key, entries));
        self.replaced = old;
        self.put_off = 0;
    }

    /// Waits for as many rows again before the next snapshot.
    pub(crate) fn put_snapshot_off(&mut self) {
        self.put_off = self.head.next - self.head.first;
    }

    /// Halves the batches after the table service found one too large; tells whether that can help.
    pub(crate) fn shrink(&mut self) -> bool {
        let Some(batch) = self.in_flight.take() else {
            return false;
        };
        let deleted = batch.deleted_to - self.deleted_to;
        let named = batch.head.first > self.head.first;
        let helps = batch.entries.len() > 1 || batch.others.len() > 1 || deleted > 1 || named;
        self.most_deleted = (deleted / 2).max(1);
        if named {
            // The entries that went with the snapshot are logged instead, and the head goes on naming
            // the former one, which must stay.
            self.replaced = None;
            self.put_snapshot_off();
        }
        self.most_entries = (batch.entries.len() / 2).max(1);
        self.most_rows = (batch.others.len() / 2).max(1);
        // Deletions are made later; what was to be told may be old by then.
        let deletions = batch.others.into_iter().filter(|row| row.value.is_none());
        self.rows.splice(..0, deletions);
        for entry in batch.entries.into_iter().rev() {
            self.pending.push_front(entry);
        }
        helps
    }

    /// Makes the next commit; `None` while one is on its way or nothing waits.
    pub(crate) fn next_batch(&mut self, write: WriteId) -> Result<Option<()>, RecordError> {
        let nothing = self.pending.is_empty() && self.snapshot.is_none() && self.rows.is_empty();
        if self.in_flight.is_some() || nothing {
            return Ok(None);
        }
        let entries = self.take_entries();
        let mut head = self.head.clone();
        let mut changes = Vec::new();
        self.add_log_row(&entries, &mut head, &mut changes)?;
        if let Some((key, _)) = self.snapshot.take() {
            head.snapshot = Some(key.as_str().to_owned());
            head.first = head.next;
        }
        let deleted_to = self.add_deletions(&head, &mut changes);
        let value = record_codec::encode(&head)?;
        let expected = RowExpectation::Version(self.version);
        // The head comes first, so that a conflict is always told of it.
        changes.insert(
            0,
            RowChange::put(row_names::head(self.shard), expected, value),
        );
        let count = self.rows.len().min(self.most_rows);
        let others: Vec<RowChange> = self.rows.drain(..count).collect();
        changes.extend(others.iter().cloned());
        for entry in &entries {
            changes.extend(entry.rows.iter().cloned());
        }
        let changes = last_of_each_row(changes);
        self.in_flight = Some(CommitBatch {
            write,
            changes,
            head,
            entries,
            others,
            deleted_to,
        });
        Ok(Some(()))
    }

    /// Takes in that the commit took effect; returns its entries, and the key of the snapshot that
    /// it replaced.
    pub(crate) fn committed(&mut self, version: RowVersion) -> (Vec<PendingEntry>, Option<String>) {
        let Some(batch) = self.in_flight.take() else {
            return (Vec::new(), None);
        };
        self.head = batch.head;
        self.version = version;
        self.deleted_to = batch.deleted_to;
        (batch.entries, self.replaced.take())
    }

    /// The entries that a snapshot holds must go with the commit that names it.
    fn take_entries(&mut self) -> Vec<PendingEntry> {
        if let Some((_, held)) = &self.snapshot {
            return self.pending.drain(..*held).collect();
        }
        let mut rows = 0;
        let mut count = 0;
        for entry in self.pending.iter().take(self.most_entries) {
            rows += entry.rows.len();
            if rows > MOST_ROWS && count > 0 {
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
        if entries.is_empty() || self.snapshot.is_some() {
            return Ok(());
        }
        let transitions: Vec<&JobTransition> =
            entries.iter().map(|entry| &entry.transition).collect();
        let value = record_codec::encode(&transitions)?;
        let key = row_names::log_row(self.shard, head.next);
        changes.push(RowChange::put(key, RowExpectation::Absent, value));
        head.next += 1;
        Ok(())
    }

    fn add_deletions(&self, head: &JournalHead, changes: &mut Vec<RowChange>) -> u64 {
        let to = head.first.min(self.deleted_to + self.most_deleted);
        for sequence in self.deleted_to..to {
            let key = row_names::log_row(self.shard, sequence);
            changes.push(RowChange::delete(key, RowExpectation::Any));
        }
        to
    }
}

/// Keeps the last change of each row: a transaction names a row once.
fn last_of_each_row(changes: Vec<RowChange>) -> Vec<RowChange> {
    let mut last = IndexMap::with_capacity(changes.len());
    for change in changes {
        last.insert(change.key.clone(), change);
    }
    last.into_values().collect()
}
