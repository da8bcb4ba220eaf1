//! Takes over the ownership: claims it, reads the records of the former owner, and runs the owner's tasks.

use std::{
    cell::Cell,
    rc::Rc,
    sync::Arc, //
};

use jasminebend_dispatch::{Dispatcher, JobKey};
use serde::Serialize;
use tokio::task::JoinSet;

use crate::{
    ClaimCause,
    CommitOutcome,
    LogEvent,
    OwnerRecord,
    RegistryChange,
    RowCommit,
    StoreRow,
    StoreTable,
    TOKENS_PER_TERM,
    job_watch::{
        JobWatchPosition,
        apply_job_row,
        watch_jobs, //
    },
    maintenance_waves::carry_out_waves,
    member_set_changes::maintain_member_set,
    member_watch::apply_owner_row,
    operator_watch::configure_dispatcher,
    order_planning::plan_orders,
    owner_announcement::{
        FormerOwner,
        announce_owner, //
    },
    owner_term::OwnerTerm,
    pool_usage_log::report_pool_usage,
    progress_codec::decode_progress,
    progress_commits::commit_progress,
    registry_watch::watch_registry,
    shared_state::{
        ENDS_SUFFIX,
        OWNER_KEY,
        SHARD_PART,
        SharedState, //
    },
    takeover_reader::{
        TakeoverReader,
        TakeoverRecords, //
    },
    takeover_records::{
        RecordedWorkers,
        restore_learned,
        worker_row_versions,
        write_takeover_records, //
    },
    term_confirmation::{
        confirm_before_adding,
        confirm_term, //
    }, //
};

/// This daemon has claimed the ownership for `cause`. `former_gone` tells whether the owner before it was known to have ended.
#[derive(Serialize)]
struct ClaimLine<'a> {
    change: &'static str,
    token: u64,
    former: &'a str,
    former_token: u64,
    former_gone: bool,
    cause: Option<ClaimCause>,
}

/// This daemon began to act as the owner, or its term is over.
#[derive(Serialize)]
struct TakeoverLine<'a> {
    change: &'static str,
    token: u64,
    former: &'a str,
    former_gone: bool,
    took_ms: f64,
    jobs: usize,
    workers: usize,
}

/// What a new owner has read. A worker may be both recorded by a former owner and listed by the registry.
#[derive(Serialize)]
struct RecordsLine {
    change: &'static str,
    token: u64,
    recorded_workers: usize,
    recorded_restarts: usize,
    listed_workers: usize,
    progress_rows: usize,
    /// The progress rows of jobs that are not known yet.
    early_rows: usize,
}

/// A job or a record of a former owner can't be decoded.
#[derive(Serialize)]
struct UnreadableLine<'a> {
    change: &'static str,
    token: u64,
    row: &'a str,
}

/// The records could not be read; they are read on from the page after the last one.
#[derive(Serialize)]
struct ReadingLine {
    change: &'static str,
    token: u64,
    pages: u64,
    error: String,
}

/// Takes over the ownership: writes the owner's row, reads what the reader has not read yet, then starts the owner's tasks.
pub(crate) async fn take_over(shared: &Rc<SharedState>, mut reader: TakeoverReader) {
    let started_at = shared.now();
    let (former_gone, cause) = {
        let succession = shared.succession.borrow();
        (
            succession.is_former_owner_gone(),
            succession.claim_cause(started_at),
        )
    };
    let page_count = reader.page_count();
    let Some((term, former)) = claim_ownership(shared, page_count).await else {
        return;
    };
    reader.keep_jobs_only();
    let former_node = former.as_ref().map_or("", |owner| &owner.node).to_owned();
    shared.log.line(
        LogEvent::Owner,
        ClaimLine {
            change: "claimed",
            token: term.token(),
            former: &former_node,
            former_token: former.as_ref().map_or(0, |owner| owner.token),
            former_gone,
            cause,
        },
    );
    let former = FormerOwner {
        record: former,
        is_gone: former_gone,
    };
    tokio::task::spawn_local(announce_owner(Rc::clone(shared), Rc::clone(&term), former));
    let Some(records) = read_records(shared, &term, reader).await else {
        return;
    };
    let job_position = records.job_position;
    let registry_version = records.registry.version;
    apply_records(shared, &term, records);
    term.loaded.set(true);
    configure_dispatcher(shared);
    {
        let dispatcher = term.dispatcher.borrow();
        shared.log.line(
            LogEvent::Owner,
            TakeoverLine {
                change: "acting",
                token: term.token(),
                former: &former_node,
                former_gone,
                took_ms: shared.now().saturating_sub(started_at).as_secs_f64() * 1000.0,
                jobs: dispatcher.unfinished_job_count(),
                workers: dispatcher.worker_count(),
            },
        );
    }
    tokio::task::spawn_local(run_owner_tasks(
        Rc::clone(shared),
        term,
        job_position,
        registry_version,
    ));
}

/// Writes the owner's row; returns the term and the row's former record, or `None` if the row was not written.
async fn claim_ownership(
    shared: &Rc<SharedState>,
    page_count: Rc<Cell<u64>>,
) -> Option<(Rc<OwnerTerm>, Option<OwnerRecord>)> {
    let (former, version) = {
        let succession = shared.succession.borrow();
        (succession.owner_row().cloned(), shared.owner_version.get())
    };
    let former_token = former.as_ref().map(|owner| owner.token);
    let record = OwnerRecord {
        node: shared.settings.node.clone(),
        incarnation: shared.incarnation,
        address: shared.settings.peer_address.to_string(),
        token: former_token.unwrap_or(0) + TOKENS_PER_TERM,
        vacant: false,
    };
    let value = postcard::to_stdvec(&record).ok()?;
    let row = StoreRow::new(StoreTable::Fleet, SHARD_PART, OWNER_KEY, value);
    let commit = RowCommit {
        guards: vec![row.guard(version)],
        writes: vec![row.clone()],
    };
    let sent = shared.now();
    let version = match shared.store.commit(commit).await {
        Ok(CommitOutcome::Applied(version)) => version,
        Ok(CommitOutcome::Conflict(rows)) => {
            apply_owner_row(shared, rows.first().filter(|row| row.version > 0));
            return None;
        }
        // If the write was applied after all, the watch shows it, and this daemon then replaces its own row.
        Err(_) => return None,
    };
    let guard = row.guard(version);
    let written = StoreRow { version, ..row };
    apply_owner_row(shared, Some(&written));
    let mut dispatcher =
        Dispatcher::new(record.token, shared.settings.dispatch).with_former_token(former_token);
    dispatcher.note_wall(shared.wall(), shared.now());
    let term =
        OwnerTerm::new(record, guard, dispatcher, sent, shared.now()).with_page_count(page_count);
    let term = Rc::new(term);
    *shared.term.borrow_mut() = Some(Rc::clone(&term));
    Some((term, former))
}

/// Reads the records until that succeeds; returns `None` if the term is over before.
async fn read_records(
    shared: &Rc<SharedState>,
    term: &OwnerTerm,
    mut reader: TakeoverReader,
) -> Option<TakeoverRecords> {
    while !term.is_over() {
        let error = match reader.read(shared).await {
            Ok(()) => match confirm_before_adding(shared, term).await {
                Ok(()) if term.is_over() => return None,
                Ok(()) => return reader.into_records(),
                Err(error) => error,
            },
            Err(error) => error,
        };
        shared.log.line(
            LogEvent::Owner,
            ReadingLine {
                change: "reading",
                token: term.token(),
                pages: term.page_count.get(),
                error: error.to_string(),
            },
        );
        shared.store.wait_to_retry().await;
    }
    None
}

/// Passes the records of the former owner to the dispatcher.
fn apply_records(shared: &SharedState, term: &OwnerTerm, records: TakeoverRecords) {
    let is_first_owner = term.is_first_owner();
    let progress = records.progress;
    let mut dispatcher = term.dispatcher.borrow_mut();
    let until = term
        .former_owners_until
        .get()
        .saturating_add(dispatcher.inherited_orders_lifetime(true));
    // The dispatcher learns the demand of short work, per pool, from the jobs read below; it needs the queues first.
    if let Some(configuration) = shared.configuration() {
        dispatcher.set_configuration(configuration);
    }
    restore_learned(&mut dispatcher, &progress);
    term.worker_row_versions
        .replace(worker_row_versions(&progress));
    let recorded = RecordedWorkers::decode(&progress);
    for key in &recorded.unreadable_rows {
        log_unreadable(shared, term, key);
        dispatcher.expect_unknown_workers(until);
    }
    dispatcher.require_recorded_workers();
    for worker in &recorded.workers {
        let id = Arc::clone(&worker.id);
        dispatcher.upsert_worker(worker.clone(), Some(until));
        dispatcher.mark_unlisted(&id);
    }
    for (id, mark) in &recorded.restarts {
        dispatcher.inherit_restart(id, *mark);
    }
    dispatcher.finish_recording(&recorded.workers);
    let is_listed = |change: &&RegistryChange| matches!(change, RegistryChange::Listed(_));
    let listed_workers = records.registry.items.iter().filter(is_listed).count();
    for change in records.registry.items {
        if let RegistryChange::Listed(worker) = change {
            dispatcher.upsert_worker(worker, (!is_first_owner).then_some(until));
        }
    }
    drop(dispatcher);
    for row in records.jobs.rows() {
        apply_job_row(shared, term, row, true);
    }
    for row in &progress {
        restore_progress(shared, term, row);
    }
    for row in &progress {
        restore_ends(shared, term, row);
    }
    shared.log.line(
        LogEvent::Owner,
        RecordsLine {
            change: "records",
            token: term.token(),
            recorded_workers: recorded.workers.len(),
            recorded_restarts: recorded.restarts.len(),
            listed_workers,
            progress_rows: progress.len(),
            early_rows: term.dispatcher.borrow().early_record_count(),
        },
    );
}

/// Passes a job's progress to the dispatcher.
fn restore_progress(shared: &SharedState, term: &OwnerTerm, row: &StoreRow) {
    let Ok(key) = row.key.parse::<JobKey>() else {
        return;
    };
    let mut versions = term.progress_versions.borrow_mut();
    versions.insert(row.key.clone(), row.version);
    let mut dispatcher = term.dispatcher.borrow_mut();
    match decode_progress(&row.value) {
        Ok(record) => dispatcher.restore_job(key, &record),
        Err(_) => {
            log_unreadable(shared, term, &row.key);
            dispatcher.freeze_job(key);
        }
    }
}

/// Passes ends to the dispatcher that an owner recorded which could not read their job.
fn restore_ends(shared: &SharedState, term: &OwnerTerm, row: &StoreRow) {
    let Some(Ok(key)) = row.key.strip_suffix(ENDS_SUFFIX).map(str::parse::<JobKey>) else {
        return;
    };
    let mut versions = term.progress_versions.borrow_mut();
    versions.insert(row.key.clone(), row.version);
    let mut dispatcher = term.dispatcher.borrow_mut();
    match decode_progress(&row.value) {
        Ok(ends) => dispatcher.restore_ends(key, ends),
        Err(_) => {
            log_unreadable(shared, term, &row.key);
            dispatcher.close_ends(key);
        }
    }
}

pub(crate) fn log_unreadable(shared: &SharedState, term: &OwnerTerm, row: &str) {
    shared.log.line(
        LogEvent::Owner,
        UnreadableLine {
            change: "unreadable",
            token: term.token(),
            row,
        },
    );
}

/// Runs the owner's tasks until the term is over.
async fn run_owner_tasks(
    shared: Rc<SharedState>,
    term: Rc<OwnerTerm>,
    job_position: JobWatchPosition,
    registry_version: u64,
) {
    let mut tasks = JoinSet::new();
    tasks.spawn_local(watch_jobs(
        Rc::clone(&shared),
        Rc::clone(&term),
        job_position,
    ));
    tasks.spawn_local(watch_registry(
        Rc::clone(&shared),
        Rc::clone(&term),
        registry_version,
    ));
    tasks.spawn_local(plan_orders(Rc::clone(&shared), Rc::clone(&term)));
    tasks.spawn_local(commit_progress(Rc::clone(&shared), Rc::clone(&term)));
    tasks.spawn_local(write_takeover_records(Rc::clone(&shared), Rc::clone(&term)));
    tasks.spawn_local(confirm_term(Rc::clone(&shared), Rc::clone(&term)));
    tasks.spawn_local(report_pool_usage(Rc::clone(&shared), Rc::clone(&term)));
    tasks.spawn_local(carry_out_waves(Rc::clone(&shared), Rc::clone(&term)));
    tasks.spawn_local(maintain_member_set(Rc::clone(&shared), Rc::clone(&term)));
    term.until_over().await;
    shared.log.line(
        LogEvent::Owner,
        TakeoverLine {
            change: "over",
            token: term.token(),
            former: "",
            former_gone: false,
            took_ms: 0.0,
            jobs: term.dispatcher.borrow().unfinished_job_count(),
            workers: term.dispatcher.borrow().worker_count(),
        },
    );
    tasks.shutdown().await;
}
