//! Reads a shard's journal and fences off its former owner.

use std::sync::Arc;

use jasminebend_base::OwnerEpoch;
use jasminebend_placement::{
    JobLedger,
    JobTransition,
    LearnedState, //
};
use jasminebend_ports::{
    CommitOutcome,
    ObjectKey,
    ObjectStore,
    RowChange,
    RowExpectation,
    RowVersion,
    TableError,
    TableRow,
    TableService,
    WriteId, //
};

use crate::{
    JournalError,
    journal_head::JournalHead,
    record_codec,
    row_keys, //
};

/// Limits the log rows that one scan of the table returns.
const MAX_ROWS_PER_SCAN: usize = 200;

/// A shard's journal as read by a new owner.
#[derive(Debug)]
pub(crate) struct OpenJournal {
    pub(crate) head: JournalHead,
    /// Version of the head row, which the next commit expects.
    pub(crate) version: RowVersion,
    pub(crate) ledger: JobLedger,
    pub(crate) learned: LearnedState,
}

/// The stored form of a snapshot: the ledger, and the learned model as separately encoded bytes,
/// because an unreadable model may be dropped while an unreadable ledger may not.
pub(crate) type StoredSnapshot = (JobLedger, Vec<u8>);

/// Sequence number under which a missing head row is reported. The first log row of a shard has it
/// too.
const HEAD_SEQUENCE: u64 = 0;

/// Reads a shard's journal for a new owner.
///
/// Writes the owner's epoch into the head row first. A commit of the former owner that is still in
/// transit then fails, so that nothing is appended while the journal is read.
pub(crate) async fn open_journal(
    table: &Arc<dyn TableService>,
    objects: &Arc<dyn ObjectStore>,
    shard: u16,
    epoch: OwnerEpoch,
    write: WriteId,
) -> Result<OpenJournal, JournalError> {
    let found = table.read(&row_keys::journal_head(shard)).await?;
    if found.is_none() {
        reject_log_without_head(table, shard).await?;
    }
    let mut head = decode_head(found.as_ref())?;
    if head.epoch > epoch {
        return Err(JournalError::Deposed { newer: head.epoch });
    }
    head.epoch = epoch;
    let expected = found.map_or(RowExpectation::Absent, |row| {
        RowExpectation::Version(row.version)
    });
    let value = record_codec::encode(&head)?;
    let change = RowChange::put(row_keys::journal_head(shard), expected, value);
    let version = match table.commit(write, vec![change]).await? {
        CommitOutcome::Committed(version) => version,
        CommitOutcome::Conflict { .. } => return Err(JournalError::Table(TableError::Unknown)),
    };
    let (mut ledger, learned) = read_snapshot(objects, &head).await?;
    replay(table, shard, &head, &mut ledger).await?;
    Ok(OpenJournal {
        head,
        version,
        ledger,
        learned: record_codec::decode(&learned).unwrap_or_default(),
    })
}

/// Rejects a journal that has log rows but no head row. Without a head row a shard looks unused,
/// and its owner would stop all running tasks and forget them. The owner's first commit expects the
/// head row to be absent, so no other owner can create one unnoticed after this check.
async fn reject_log_without_head(
    table: &Arc<dyn TableService>,
    shard: u16,
) -> Result<(), JournalError> {
    match table
        .scan(&row_keys::log_prefix(shard), None, 1)
        .await?
        .is_empty()
    {
        true => Ok(()),
        false => Err(JournalError::Missing {
            sequence: HEAD_SEQUENCE,
        }),
    }
}

fn decode_head(row: Option<&TableRow>) -> Result<JournalHead, JournalError> {
    match row {
        Some(row) => Ok(record_codec::decode(&row.value)?),
        None => Ok(JournalHead::default()),
    }
}

/// Reads the snapshot that the head row names; returns an empty one if it names none.
async fn read_snapshot(
    objects: &Arc<dyn ObjectStore>,
    head: &JournalHead,
) -> Result<StoredSnapshot, JournalError> {
    let Some(key) = &head.snapshot else {
        return Ok((JobLedger::new(), Vec::new()));
    };
    let body = objects.get(&ObjectKey::from(key.as_str())).await?;
    let sequence = head.first;
    let body = body.ok_or(JournalError::Missing { sequence })?;
    Ok(record_codec::decode(&body)?)
}

/// Applies the log rows after the snapshot to the ledger.
async fn replay(
    table: &Arc<dyn TableService>,
    shard: u16,
    head: &JournalHead,
    ledger: &mut JobLedger,
) -> Result<(), JournalError> {
    let prefix = row_keys::log_prefix(shard);
    let mut after = head
        .first
        .checked_sub(1)
        .map(|sequence| row_keys::log_row(shard, sequence));
    let mut sequence = head.first;
    while sequence < head.next {
        let rows = table
            .scan(&prefix, after.as_ref(), MAX_ROWS_PER_SCAN)
            .await?;
        if rows.is_empty() {
            return Err(JournalError::Missing { sequence });
        }
        for row in rows {
            if row.key != row_keys::log_row(shard, sequence) {
                return Err(JournalError::Missing { sequence });
            }
            apply_row(ledger, &row.value)?;
            after = Some(row.key);
            sequence += 1;
        }
    }
    Ok(())
}

fn apply_row(ledger: &mut JobLedger, value: &[u8]) -> Result<(), JournalError> {
    let transitions: Vec<JobTransition> = record_codec::decode(value)?;
    for transition in &transitions {
        ledger.apply(transition)?;
    }
    Ok(())
}
