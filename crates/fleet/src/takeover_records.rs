//! Records for the owner's successor beside the jobs' progress: the workers that were sent orders, and the learned
//! interference between services and fillers. Their size grows with the number of workers, so they are in a table that
//! no daemon watches.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    Dispatcher,
    FleetWorker, //
};
use tokio::time;

use crate::{
    CommitOutcome,
    RowCommit,
    StoreRow,
    StoreTable,
    member_watch::apply_owner_row,
    owner_term::OwnerTerm,
    shared_state::{
        LEARNED_KEY,
        SHARD_PART,
        SharedState,
        WORKERS_KEY_PREFIX, //
    }, //
};

/// The least interval between two writes of the list of workers: many workers register at the same time.
const WRITE_INTERVAL: Duration = Duration::from_millis(300);
/// The number of these intervals between two writes of the learned interference: some kilobytes every 3 s.
const LEARNED_WRITE_INTERVALS: u32 = 10;
/// The number of workers in a row: about 100 bytes each, and a row may have 64 KiB.
const WORKERS_PER_ROW: usize = 200;
/// The largest record of learned interference, in bytes; a larger one is not written.
const MAX_LEARNED_BYTES: usize = 48 << 10;

/// Writes the list of workers when it changes, so that a successor also knows workers that still run tasks but are no
/// longer registered; writes the learned interference at longer intervals.
pub(crate) async fn write_takeover_records(shared: Rc<SharedState>, term: Rc<OwnerTerm>) {
    let mut rows_used = term.worker_row_count.get();
    let mut interval_count: u32 = 0;
    loop {
        time::sleep(WRITE_INTERVAL).await;
        interval_count = interval_count.wrapping_add(1);
        let mut writes = Vec::new();
        let workers_changed = term.workers_changed.replace(false);
        if workers_changed {
            writes = worker_rows(&term.dispatcher.borrow().worker_records(), rows_used);
            rows_used = writes.len();
        }
        if interval_count.is_multiple_of(LEARNED_WRITE_INTERVALS) {
            writes.extend(learned_row(&term.dispatcher.borrow()));
        }
        if writes.is_empty() {
            continue;
        }
        let commit = RowCommit {
            guards: vec![term.guard.clone()],
            writes,
        };
        match shared.store.commit(commit).await {
            Ok(CommitOutcome::Applied(_)) => {}
            Ok(CommitOutcome::Conflict(rows)) => {
                apply_owner_row(&shared, rows.first());
                term.end();
            }
            Err(_) if workers_changed => term.workers_changed.set(true),
            Err(_) => {}
        }
    }
}

/// Returns the workers that a former owner recorded, and the number of their rows.
pub(crate) fn decode_workers(rows: &[StoreRow]) -> (Vec<FleetWorker>, usize) {
    let recorded = rows
        .iter()
        .filter(|row| row.key.starts_with(WORKERS_KEY_PREFIX));
    let lists: Vec<Vec<FleetWorker>> = recorded
        .filter_map(|row| postcard::from_bytes(&row.value).ok())
        .collect();
    let count = lists.len();
    (lists.into_iter().flatten().collect(), count)
}

/// Passes the interference that a former owner learned to the dispatcher.
pub(crate) fn restore_learned(dispatcher: &mut Dispatcher, rows: &[StoreRow]) {
    let recorded = rows.iter().find(|row| row.key == LEARNED_KEY);
    if let Some(record) = recorded.and_then(|row| postcard::from_bytes(&row.value).ok()) {
        dispatcher.restore_learned(&record);
    }
}

/// Returns rows of a bounded size that list the workers; formerly used rows that are no longer needed become empty.
fn worker_rows(workers: &[FleetWorker], rows_used: usize) -> Vec<StoreRow> {
    let chunks: Vec<&[FleetWorker]> = workers.chunks(WORKERS_PER_ROW).collect();
    let count = chunks.len().max(rows_used).max(1);
    let rows = (0..count).filter_map(|number| {
        let chunk = chunks.get(number).copied().unwrap_or_default();
        let value = postcard::to_stdvec(chunk).ok()?;
        let key = format!("{WORKERS_KEY_PREFIX}{number:04}");
        Some(StoreRow::new(StoreTable::Progress, SHARD_PART, key, value))
    });
    rows.collect()
}

fn learned_row(dispatcher: &Dispatcher) -> Option<StoreRow> {
    let record = dispatcher.learned_record();
    if record.services.is_empty() {
        return None;
    }
    let value = postcard::to_stdvec(&record).ok()?;
    let row = StoreRow::new(StoreTable::Progress, SHARD_PART, LEARNED_KEY, value);
    (row.value.len() <= MAX_LEARNED_BYTES).then_some(row)
}
