//! What an owner records of a maintenance wave for its successor.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CommitOutcome,
    RowCommit,
    StoreError,
    StoreRow,
    StoreTable,
    member_watch::apply_owner_row,
    owner_term::OwnerTerm,
    shared_state::{
        SHARD_PART,
        SharedState, //
    }, //
};

/// The prefix of the keys of the rows, which the wave's number follows. Daemons of earlier versions ignore them.
const KEY_PREFIX: &str = "wave-";
/// Follows all keys with that prefix.
const KEY_END: &str = "wave.";

/// What was done for a maintenance wave.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct WaveRecord {
    /// The VMs whose maintenance has begun or can never take place.
    pub(crate) handled: Vec<Arc<str>>,
    /// The VMs that may be down or go down, each with the time since 1970 when the call was sent.
    pub(crate) maybe_down: Vec<(Arc<str>, Duration)>,
}

/// The row of a wave: its number, its record, or `None` if that can't be decoded, and the row's version.
pub(crate) type WaveRow = (u64, Option<WaveRecord>, u64);

/// Reads the rows of all waves.
///
/// # Errors
///
/// Any [`StoreError`] of the read.
pub(crate) async fn read_wave_rows(shared: &Rc<SharedState>) -> Result<Vec<WaveRow>, StoreError> {
    let (rows, _) = shared
        .store
        .read_few(StoreTable::Progress, SHARD_PART, KEY_PREFIX, Some(KEY_END))
        .await?;
    let decoded = rows.iter().filter_map(|row| {
        let wave = row.key.strip_prefix(KEY_PREFIX)?.parse().ok()?;
        let record = postcard::from_bytes(&row.value).ok();
        Some((wave, record, row.version))
    });
    Ok(decoded.collect())
}

/// Writes the row of a wave over the version that is known, 0 if there is none; returns whether it was written. `version` becomes
/// that of the present row as far as it is known.
pub(crate) async fn write_wave_row(
    shared: &SharedState,
    term: &OwnerTerm,
    wave: u64,
    record: &WaveRecord,
    version: &mut u64,
) -> bool {
    let Ok(value) = postcard::to_stdvec(record) else {
        return false;
    };
    let key = format!("{KEY_PREFIX}{wave}");
    let row = StoreRow::new(StoreTable::Progress, SHARD_PART, key.clone(), value);
    let commit = RowCommit {
        guards: vec![term.guard.clone(), row.guard(*version)],
        writes: vec![row],
    };
    match shared.store.commit(commit).await {
        Ok(CommitOutcome::Applied(written)) => {
            *version = written;
            return true;
        }
        Ok(CommitOutcome::Conflict(rows)) => {
            let owner = rows.iter().find(|row| row.key == term.guard.key);
            if owner.is_none_or(|row| row.version != term.guard.version) {
                apply_owner_row(shared, owner);
                term.end();
            }
            // An earlier write without an answer was applied.
            let present = rows.iter().find(|row| row.key == key);
            *version = present.map_or(0, |row| row.version);
        }
        Err(_) => {}
    }
    false
}
