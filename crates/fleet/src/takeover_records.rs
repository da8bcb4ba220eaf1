//! Records for the owner's successor beside the jobs' progress: the workers that were sent orders, and the learned
//! interference between services and fillers. Their size grows with the number of workers, so they are in a table that
//! no daemon watches.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_dispatch::{
    Dispatcher,
    FleetWorker,
    RestartMark, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time;

use crate::{
    CommitOutcome,
    LogEvent,
    RowCommit,
    StoreError,
    StoreRow,
    StoreTable,
    fleet_log::whole_millis,
    member_watch::apply_owner_row,
    owner_term::OwnerTerm,
    progress_codec::take_section,
    shared_state::{
        LEARNED_KEY,
        SHARD_PART,
        SharedState,
        WORKERS_KEY_PREFIX, //
    }, //
};

/// The interval at which a failed write is repeated.
const WRITE_INTERVAL: Duration = Duration::from_millis(300);
/// The least pause between two writes: many workers register at the same time.
const LEAST_WRITE_PAUSE: Duration = Duration::from_millis(100);
/// The interval between two writes of the learned interference: some kilobytes.
const LEARNED_WRITE_INTERVAL: Duration = Duration::from_secs(3);
/// The most workers in a row, usually about 100 bytes each, and the most bytes of their encoding: the store accepts 64 KiB.
const MAX_WORKERS_PER_ROW: usize = 200;
const MAX_WORKER_BYTES_PER_ROW: usize = 60 << 10;
/// The most rows: each needs a guard and a write, and the store accepts 100 entries with the owner's guard.
const MAX_WORKER_ROWS: usize = 49;
/// The largest record of learned interference, in bytes; a larger one is not written.
const MAX_LEARNED_BYTES: usize = 48 << 10;

/// The part of a row that follows its workers: those of them that have restarted lately, by their places in the row. A daemon of an
/// earlier version ignores it.
#[derive(Default, Deserialize, Serialize)]
struct RestartSection {
    restarts: Vec<(u32, RestartMark)>,
}

/// The workers could not be written, or were `late_ms` after the first attempt. No run starts on the `unrecorded` ones.
#[derive(Serialize)]
struct WorkerRecordLine {
    change: &'static str,
    token: u64,
    workers: usize,
    unrecorded: usize,
    rows: usize,
    late_ms: u64,
    error: Option<String>,
}

/// Writes the list of workers when it changes, so that a successor also knows workers that still run tasks but are no
/// longer registered; writes the learned interference at longer intervals.
///
/// Runs start only on workers that are in these rows.
pub(crate) async fn write_takeover_records(shared: Rc<SharedState>, term: Rc<OwnerTerm>) {
    let mut learned_at = shared.now();
    let mut failing_since = None;
    loop {
        // A successor must find the rows that this owner could not read.
        let may_write = !term.dispatcher.borrow().expects_unknown_workers();
        if may_write && take_worker_changes(&term) {
            record_workers(&shared, &term, &mut failing_since).await;
        }
        if shared.now() >= learned_at + LEARNED_WRITE_INTERVAL {
            learned_at = shared.now();
            record_learned(&shared, &term).await;
        }
        time::sleep(LEAST_WRITE_PAUSE).await;
        // After the timeout the learned interference may be due, or a failed write has to be repeated.
        drop(time::timeout(WRITE_INTERVAL, term.workers_wakeup.notified()).await);
    }
}

/// Returns whether the workers, or what a successor must know of their restarts, have changed since the last call.
fn take_worker_changes(term: &OwnerTerm) -> bool {
    let has_changed_restarts = term.dispatcher.borrow_mut().take_changed_restarts();
    term.workers_changed.replace(false) || has_changed_restarts
}

/// Writes the rows that list the workers. Each row's version is required, so that a write that was not answered can't
/// replace a later one.
async fn record_workers(
    shared: &SharedState,
    term: &OwnerTerm,
    failing_since: &mut Option<Duration>,
) {
    let started_at = shared.now();
    let records = term.dispatcher.borrow_mut().begin_recording();
    let restarts = term.dispatcher.borrow().restart_marks(started_at);
    let mut versions = term.worker_row_versions.borrow().clone();
    let writes = worker_rows(&records, &restarts, versions.len());
    versions.resize(writes.len(), 0);
    let row_count = writes.len();
    let rows = writes.iter().zip(&versions);
    let mut guards = vec![term.guard.clone()];
    guards.extend(rows.map(|(row, version)| row.guard(*version)));
    match shared.store.commit(RowCommit { guards, writes }).await {
        Ok(CommitOutcome::Applied(version)) => {
            versions.fill(version);
            term.worker_row_versions.replace(versions);
            term.dispatcher.borrow_mut().finish_recording(&records);
            term.plan_wakeup.notify_one();
            if let Some(since) = failing_since.take() {
                log_recording(shared, term, (records.len(), row_count), since, None);
            }
        }
        Ok(CommitOutcome::Conflict(rows)) => handle_conflict(shared, term, &rows),
        Err(error) => {
            term.workers_changed.set(true);
            if failing_since.is_none() {
                *failing_since = Some(started_at);
                let counts = (records.len(), row_count);
                log_recording(shared, term, counts, started_at, Some(error));
            }
        }
    }
    let unrecorded = term.dispatcher.borrow().unrecorded_worker_count();
    metrics::gauge!("jasminebend_fleet_unrecorded_workers").set(unrecorded as f64);
}

/// Logs the first failed write of the workers, or the write that ends the failure.
fn log_recording(
    shared: &SharedState,
    term: &OwnerTerm,
    (workers, rows): (usize, usize),
    since: Duration,
    error: Option<StoreError>,
) {
    let change = match error {
        Some(_) => "workers_unrecorded",
        None => "workers_recorded",
    };
    shared.log.line(
        LogEvent::Owner,
        WorkerRecordLine {
            change,
            token: term.token(),
            workers,
            unrecorded: term.dispatcher.borrow().unrecorded_worker_count(),
            rows,
            late_ms: whole_millis(shared.now().saturating_sub(since)),
            error: error.map(|error| error.to_string()),
        },
    );
}

/// Handles a guard that did not hold: another daemon has become the owner, or an earlier write without an answer was
/// applied.
fn handle_conflict(shared: &SharedState, term: &OwnerTerm, rows: &[StoreRow]) {
    let owner = rows.iter().find(|row| row.key == term.guard.key);
    if owner.is_none_or(|row| row.version != term.guard.version) {
        apply_owner_row(shared, owner);
        term.end();
        return;
    }
    term.worker_row_versions.replace(worker_row_versions(rows));
    term.workers_changed.set(true);
}

async fn record_learned(shared: &SharedState, term: &OwnerTerm) {
    let Some(row) = learned_row(&term.dispatcher.borrow()) else {
        return;
    };
    let commit = RowCommit {
        guards: vec![term.guard.clone()],
        writes: vec![row],
    };
    if let Ok(CommitOutcome::Conflict(rows)) = shared.store.commit(commit).await {
        apply_owner_row(shared, rows.first());
        term.end();
    }
}

/// The workers that a former owner recorded.
#[derive(Default)]
pub(crate) struct RecordedWorkers {
    pub(crate) workers: Vec<FleetWorker>,
    /// The workers that have restarted lately, by identity.
    pub(crate) restarts: IndexMap<Arc<str>, RestartMark>,
    /// The keys of the rows that can't be read, each of which may list any workers.
    pub(crate) unreadable_rows: Vec<String>,
}

impl RecordedWorkers {
    pub(crate) fn decode(rows: &[StoreRow]) -> Self {
        let mut recorded = Self::default();
        for (_, row) in numbered_worker_rows(rows) {
            if recorded.add_row(&row.value).is_err() {
                recorded.unreadable_rows.push(row.key.clone());
            }
        }
        recorded
    }

    /// Adds the workers of a row, also if what follows them can't be read.
    fn add_row(&mut self, value: &[u8]) -> Result<(), postcard::Error> {
        let (workers, rest) = postcard::take_from_bytes::<Vec<FleetWorker>>(value)?;
        let section = take_section::<RestartSection>(rest);
        for (place, mark) in section.iter().flat_map(|(section, _)| &section.restarts) {
            if let Some(worker) = workers.get(*place as usize) {
                self.restarts.insert(Arc::clone(&worker.id), *mark);
            }
        }
        self.workers.extend(workers);
        section.map(drop)
    }
}

/// Returns the versions of the rows that list the workers, by the rows' numbers; 0 for a row that does not exist.
pub(crate) fn worker_row_versions(rows: &[StoreRow]) -> Vec<u64> {
    let mut versions = Vec::new();
    for (number, row) in numbered_worker_rows(rows) {
        if versions.len() <= number {
            versions.resize(number + 1, 0);
        }
        versions[number] = row.version;
    }
    versions
}

/// Returns the rows that list the workers, with their numbers; a number that no owner writes is left out.
fn numbered_worker_rows(rows: &[StoreRow]) -> impl Iterator<Item = (usize, &StoreRow)> {
    rows.iter().filter_map(|row| {
        let number = row.key.strip_prefix(WORKERS_KEY_PREFIX)?.parse().ok()?;
        (number < MAX_WORKER_ROWS).then_some((number, row))
    })
}

/// Passes the interference that a former owner learned to the dispatcher.
pub(crate) fn restore_learned(dispatcher: &mut Dispatcher, rows: &[StoreRow]) {
    let recorded = rows.iter().find(|row| row.key == LEARNED_KEY);
    if let Some(record) = recorded.and_then(|row| postcard::from_bytes(&row.value).ok()) {
        dispatcher.restore_learned(&record);
    }
}

/// Returns rows of a bounded size that list the workers and their restarts; formerly used rows that are no longer needed become
/// empty.
fn worker_rows(
    workers: &[FleetWorker],
    restarts: &IndexMap<Arc<str>, RestartMark>,
    rows_used: usize,
) -> Vec<StoreRow> {
    let chunks = split_into_rows(workers);
    let count = chunks.len().max(rows_used).max(1);
    let rows = (0..count).filter_map(|number| {
        let chunk = chunks.get(number).map_or(&[][..], Vec::as_slice);
        let value = encode_workers(chunk, restarts).ok()?;
        let key = format!("{WORKERS_KEY_PREFIX}{number:04}");
        Some(StoreRow::new(StoreTable::Progress, SHARD_PART, key, value))
    });
    rows.collect()
}

fn encode_workers(
    workers: &[&FleetWorker],
    restarts: &IndexMap<Arc<str>, RestartMark>,
) -> Result<Vec<u8>, postcard::Error> {
    let value = postcard::to_stdvec(workers)?;
    let marked = (0..).zip(workers);
    let marked = marked.filter_map(|(place, worker)| Some((place, *restarts.get(&worker.id)?)));
    let section = RestartSection {
        restarts: marked.collect(),
    };
    match section.restarts.is_empty() {
        true => Ok(value),
        false => postcard::to_extend(&section, value),
    }
}

/// Splits the workers into rows that the store accepts.
fn split_into_rows(workers: &[FleetWorker]) -> Vec<Vec<&FleetWorker>> {
    let mut rows: Vec<Vec<&FleetWorker>> = Vec::new();
    let mut row_bytes = 0;
    for worker in workers {
        let bytes =
            postcard::experimental::serialized_size(worker).unwrap_or(MAX_WORKER_BYTES_PER_ROW);
        row_bytes += bytes;
        match rows.last_mut() {
            Some(row)
                if row.len() < MAX_WORKERS_PER_ROW && row_bytes <= MAX_WORKER_BYTES_PER_ROW =>
            {
                row.push(worker);
            }
            _ => {
                rows.push(vec![worker]);
                row_bytes = bytes;
            }
        }
    }
    rows
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
