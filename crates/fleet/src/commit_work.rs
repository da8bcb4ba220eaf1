//! Commits jobs' progress to the store.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_dispatch::{
    JobKey,
    ProgressRecord, //
};
use serde::Serialize;
use tokio::time;

use crate::{
    CommitAnswer,
    FleetRow,
    FleetTable,
    LogEvent,
    RowCommit,
    fleet_log::whole_millis,
    fleet_shared::FleetShared,
    member_watch::note_owner,
    owner_seat::OwnerSeat,
    plan_work::progress_row, //
};

/// The most jobs in a commit: each needs a guard and a write, and the store accepts 100 entries.
const JOBS_AT_ONCE: usize = 45;
/// How long progress is collected before a commit: callers wait for it, but each commit is an expensive call.
const GATHER: Duration = Duration::from_millis(6);
/// The longest time between two checks for progress to commit.
const EVERY: Duration = Duration::from_millis(200);

#[derive(Serialize)]
struct JobLine {
    job: String,
    outcome: String,
    owner_token: u64,
    store_version: u64,
    age_ms: Option<u64>,
}

/// Commits the progress of jobs until the term is over.
pub(crate) async fn commit_ends(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>) {
    loop {
        // After the timeout the progress of a failed commit may still have to be committed.
        drop(time::timeout(EVERY, seat.commit.notified()).await);
        time::sleep(GATHER).await;
        let records = seat.dispatcher.borrow_mut().take_commit(JOBS_AT_ONCE);
        if records.is_empty() {
            continue;
        }
        let commit = build(&seat, &records);
        let sent = shared.now();
        match shared.store.commit(commit).await {
            Ok(CommitAnswer::Done(version)) => {
                seat.confirm(sent);
                note_done(&shared, &seat, &records, version);
            }
            Ok(CommitAnswer::Conflict(rows)) => note_conflict(&shared, &seat, &rows),
            Err(_) => {
                // If the commit was applied after all, the next attempt conflicts with the versions that it wrote.
                seat.dispatcher.borrow_mut().note_uncommitted();
                shared.store.pause().await;
                seat.commit.notify_one();
            }
        }
    }
}

fn build(seat: &OwnerSeat, records: &[(JobKey, ProgressRecord)]) -> RowCommit {
    let versions = seat.progress_versions.borrow();
    let mut commit = RowCommit {
        guards: vec![seat.guard.clone()],
        writes: Vec::with_capacity(records.len()),
    };
    for (key, record) in records {
        let Ok(value) = postcard::to_stdvec(record) else {
            continue;
        };
        let row = progress_row(*key, value);
        let version = versions.get(key).copied().unwrap_or(0);
        commit.guards.push(row.guard(version));
        commit.writes.push(row);
    }
    commit
}

fn note_done(
    shared: &FleetShared,
    seat: &OwnerSeat,
    records: &[(JobKey, ProgressRecord)],
    version: u64,
) {
    let mut versions = seat.progress_versions.borrow_mut();
    let now = shared.now();
    let mut dispatcher = seat.dispatcher.borrow_mut();
    dispatcher.note_committed();
    for (key, record) in records {
        versions.insert(*key, version);
        let Some(outcome) = record.outcome else {
            continue;
        };
        let age = dispatcher.age(*key, now);
        if let Some(age) = age {
            metrics::histogram!("jasminebend_fleet_job_seconds").record(age.as_secs_f64());
        }
        shared.log.line(
            LogEvent::Job,
            JobLine {
                job: key.to_string(),
                outcome: outcome.to_string(),
                owner_token: seat.token(),
                store_version: version,
                age_ms: age.map(whole_millis),
            },
        );
    }
    drop(dispatcher);
    seat.committed.send_modify(|count| *count += 1);
    if seat.dispatcher.borrow().wants_commit() {
        seat.commit.notify_one();
    }
}

/// Handles a guard that did not hold: another daemon has become the owner, or an earlier attempt of this daemon, whose
/// outcome was unknown, was applied.
fn note_conflict(shared: &FleetShared, seat: &OwnerSeat, rows: &[FleetRow]) {
    seat.dispatcher.borrow_mut().note_uncommitted();
    let owner = rows.iter().find(|row| row.key == seat.guard.key);
    let replaced = owner.is_none_or(|row| row.version != seat.guard.version);
    if replaced {
        note_owner(shared, owner);
        seat.depose();
        return;
    }
    let mut versions = seat.progress_versions.borrow_mut();
    for row in rows.iter().filter(|row| row.table == FleetTable::Progress) {
        if let Ok(key) = row.key.parse() {
            versions.insert(key, row.version);
        }
    }
    seat.commit.notify_one();
}
