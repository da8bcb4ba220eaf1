//! Commits jobs' progress to the store.

use std::{
    iter,
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    Dispatcher,
    JobKey,
    ProgressRecord, //
};
use serde::Serialize;
use tokio::time;

use crate::{
    CommitOutcome,
    LogEvent,
    RowCommit,
    StoreRow,
    StoreTable,
    fleet_log::whole_millis,
    member_watch::apply_owner_row,
    order_planning::{
        ends_row,
        progress_row, //
    },
    owner_term::OwnerTerm,
    progress_codec::encode_progress,
    shared_state::SharedState, //
};

/// The most jobs in a commit: each needs a guard and a write, and the store accepts 100 entries.
const MAX_JOBS_PER_COMMIT: usize = 45;
/// The most bytes of the rows in a commit of several jobs: the store accepts calls of 1 MB, and values are sent in Base64.
const MAX_COMMIT_BYTES: usize = 600 << 10;
/// How long progress is collected before a commit: callers wait for it, but each commit is an expensive call.
const COMMIT_DELAY: Duration = Duration::from_millis(6);
/// The longest time between two checks for progress to commit.
const LONGEST_COMMIT_INTERVAL: Duration = Duration::from_millis(200);

/// The outcome of a job, once it is committed.
#[derive(Serialize)]
struct JobOutcomeLine {
    job: String,
    outcome: String,
    reason: Option<String>,
    owner_token: u64,
    store_version: u64,
    age_ms: Option<u64>,
}

/// A job's record can't be encoded, so that ends of its runs are not acknowledged.
#[derive(Serialize)]
struct UnwritableLine {
    change: &'static str,
    token: u64,
    job: String,
}

/// Commits the progress of jobs until the term is over.
pub(crate) async fn commit_progress(shared: Rc<SharedState>, term: Rc<OwnerTerm>) {
    loop {
        // After the timeout the progress of a failed commit may still have to be committed.
        drop(time::timeout(LONGEST_COMMIT_INTERVAL, term.commit_wakeup.notified()).await);
        time::sleep(COMMIT_DELAY).await;
        let Some((records, commit)) = next_commit(&shared, &term) else {
            continue;
        };
        let keys: Vec<String> = commit.writes.iter().map(|row| row.key.clone()).collect();
        let sent = shared.now();
        match shared.store.commit(commit).await {
            Ok(CommitOutcome::Applied(version)) => {
                term.confirm(sent);
                let mut versions = term.progress_versions.borrow_mut();
                versions.extend(keys.into_iter().map(|key| (key, version)));
                drop(versions);
                handle_applied(&shared, &term, &records, version);
            }
            Ok(CommitOutcome::Conflict(rows)) => handle_conflict(&shared, &term, &rows),
            Err(_) => {
                // If the commit was applied after all, the next attempt conflicts with the versions that it wrote.
                term.dispatcher.borrow_mut().abort_commit();
                shared.store.wait_to_retry().await;
                term.commit_wakeup.notify_one();
            }
        }
    }
}

/// Returns the records of the next commit and the commit, of as many jobs as the store accepts in one call.
fn next_commit(
    shared: &SharedState,
    term: &OwnerTerm,
) -> Option<(Vec<(JobKey, ProgressRecord)>, RowCommit)> {
    let mut limit = MAX_JOBS_PER_COMMIT;
    loop {
        let mut dispatcher = term.dispatcher.borrow_mut();
        let mut records = dispatcher.take_records_to_commit(limit);
        let rows = encode_rows(shared, term, &mut dispatcher, &mut records);
        if rows.is_empty() {
            return None;
        }
        let bytes: usize = rows.iter().map(|row| row.value.len()).sum();
        if bytes <= MAX_COMMIT_BYTES || rows.len() == 1 {
            return Some((records, build_commit(term, rows)));
        }
        dispatcher.abort_commit();
        limit = rows.len() / 2;
    }
}

/// Returns the rows of the records, without those that can't be encoded.
fn encode_rows(
    shared: &SharedState,
    term: &OwnerTerm,
    dispatcher: &mut Dispatcher,
    records: &mut Vec<(JobKey, ProgressRecord)>,
) -> Vec<StoreRow> {
    let mut rows = Vec::with_capacity(records.len());
    records.retain(|(key, record)| {
        let Ok(value) = encode_progress(record) else {
            log_unwritable(shared, term, *key);
            dispatcher.withdraw_record(*key);
            return false;
        };
        rows.push(match dispatcher.is_unreadable(*key) {
            true => ends_row(*key, value),
            false => progress_row(*key, value),
        });
        true
    });
    rows
}

fn build_commit(term: &OwnerTerm, writes: Vec<StoreRow>) -> RowCommit {
    let versions = term.progress_versions.borrow();
    let guards = writes.iter().map(|row| {
        let version = versions.get(&row.key).copied();
        row.guard(version.unwrap_or(0))
    });
    RowCommit {
        guards: iter::once(term.guard.clone()).chain(guards).collect(),
        writes,
    }
}

fn log_unwritable(shared: &SharedState, term: &OwnerTerm, job: JobKey) {
    shared.log.line(
        LogEvent::Owner,
        UnwritableLine {
            change: "unwritable",
            token: term.token(),
            job: job.to_string(),
        },
    );
}

fn handle_applied(
    shared: &SharedState,
    term: &OwnerTerm,
    records: &[(JobKey, ProgressRecord)],
    version: u64,
) {
    let now = shared.now();
    let mut dispatcher = term.dispatcher.borrow_mut();
    dispatcher.confirm_commit();
    for (key, record) in records {
        let Some(outcome) = record.outcome else {
            continue;
        };
        let age = dispatcher.job_age(*key, now);
        if let Some(age) = age {
            metrics::histogram!("jasminebend_fleet_job_seconds").record(age.as_secs_f64());
        }
        shared.log.line(
            LogEvent::Job,
            JobOutcomeLine {
                job: key.to_string(),
                outcome: outcome.to_string(),
                reason: record.failure.as_ref().map(ToString::to_string),
                owner_token: term.token(),
                store_version: version,
                age_ms: age.map(whole_millis),
            },
        );
    }
    drop(dispatcher);
    term.committed.send_modify(|count| *count += 1);
    if term.dispatcher.borrow().has_changes_to_commit() {
        term.commit_wakeup.notify_one();
    }
}

/// Handles a guard that did not hold: another daemon has become the owner, or an earlier attempt of this daemon, whose
/// outcome was unknown, was applied.
fn handle_conflict(shared: &SharedState, term: &OwnerTerm, rows: &[StoreRow]) {
    term.dispatcher.borrow_mut().abort_commit();
    let owner = rows.iter().find(|row| row.key == term.guard.key);
    let replaced = owner.is_none_or(|row| row.version != term.guard.version);
    if replaced {
        apply_owner_row(shared, owner);
        term.end();
        return;
    }
    let mut versions = term.progress_versions.borrow_mut();
    for row in rows.iter().filter(|row| row.table == StoreTable::Progress) {
        versions.insert(row.key.clone(), row.version);
    }
    term.commit_wakeup.notify_one();
}
