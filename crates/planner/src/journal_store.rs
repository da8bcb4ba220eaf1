//! Reading a shard's journal, and fencing off its former owner.

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
    row_names, //
};

const ROWS_PER_SCAN: usize = 200;

/// A journal that was read by its owner.
#[derive(Debug)]
pub(crate) struct OpenJournal {
    pub(crate) head: JournalHead,
    pub(crate) version: RowVersion,
    pub(crate) ledger: JobLedger,
    pub(crate) learned: LearnedState,
}

/// A snapshot as it is stored: the ledger, and what was learned, encoded by itself, since it may be
/// dropped where it cannot be read.
pub(crate) type StoredSnapshot = (JobLedger, Vec<u8>);

/// By which a missing head is reported: log rows count from one.
const HEAD_SEQUENCE: u64 = 0;

/// Reads a shard's journal for a new owner.
///
/// The owner's epoch goes into the head row first: a commit of the former owner that is still on its
/// way then fails, so that nothing is added behind the reader's back.
pub(crate) async fn open(
    table: &Arc<dyn TableService>,
    objects: &Arc<dyn ObjectStore>,
    shard: u16,
    epoch: OwnerEpoch,
    write: WriteId,
) -> Result<OpenJournal, JournalError> {
    let found = table.read(&row_names::head(shard)).await?;
    if found.is_none() {
        check_unused(table, shard).await?;
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
    let change = RowChange::put(row_names::head(shard), expected, value);
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

/// A shard whose head was lost looks like a new one, and its owner would stop and forget what runs.
/// A shard that was used shows by its log; between this look and the owner's first commit nobody can
/// begin one unnoticed, since that commit expects the head to be absent.
async fn check_unused(table: &Arc<dyn TableService>, shard: u16) -> Result<(), JournalError> {
    match table
        .scan(&row_names::log(shard), None, 1)
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

async fn replay(
    table: &Arc<dyn TableService>,
    shard: u16,
    head: &JournalHead,
    ledger: &mut JobLedger,
) -> Result<(), JournalError> {
    let prefix = row_names::log(shard);
    let mut after = head
        .first
        .checked_sub(1)
        .map(|sequence| row_names::log_row(shard, sequence));
    let mut sequence = head.first;
    while sequence < head.next {
        let rows = table.scan(&prefix, after.as_ref(), ROWS_PER_SCAN).await?;
        if rows.is_empty() {
            return Err(JournalError::Missing { sequence });
        }
        for row in rows {
            if row.key != row_names::log_row(shard, sequence) {
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
