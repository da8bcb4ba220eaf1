//! Reads and watches the jobs and cancellations in the store.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use jasminebend_dispatch::{
    AcceptedJob,
    Dispatcher,
    JobKey,
    JobProgress, //
};
use serde::Serialize;
use tokio::task::JoinSet;

use crate::{
    JobRecord,
    LogEvent,
    StoreError,
    StoreRow,
    StoreTable,
    monitored_store::WatchedRows,
    owner_term::OwnerTerm,
    shared_state::{
        CANCELLATION_SUFFIX,
        SharedState,
        WATCH_WAIT,
        all_job_parts, //
    }, //
};

/// The upper limit for the age of a job's acceptance: daemons' wall clocks differ.
const MAX_JOB_AGE: Duration = Duration::from_secs(120);

/// The owner learned that a job was cancelled; `known` tells whether it knows the job, `runs` how many runs are to be stopped.
#[derive(Serialize)]
struct CancellationLine {
    job: String,
    known: bool,
    runs: u32,
    owner_token: u64,
}

/// The point up to which the owner knows the jobs.
#[derive(Clone, Copy)]
pub(crate) struct JobWatchPosition {
    /// The store's version from which to watch for changes.
    version: u64,
    /// When the call was sent that returned this version: all jobs accepted before that are known.
    sent_at: Duration,
}

impl JobWatchPosition {
    /// Returns whether a job that is not known yet may already run: a former owner that had not learned yet that it was
    /// replaced may have started it.
    fn may_already_run(self, term: &OwnerTerm) -> bool {
        self.sent_at < term.former_owner_until.get()
    }
}

/// Reads all jobs, and the version from which to watch them: the lowest of the parts' versions.
pub(crate) async fn read_jobs(
    shared: &Rc<SharedState>,
) -> Result<(Vec<StoreRow>, JobWatchPosition), StoreError> {
    let sent_at = shared.now();
    let mut reads = JoinSet::new();
    for part in all_job_parts() {
        let shared = Rc::clone(shared);
        reads.spawn_local(async move {
            let store = &shared.store;
            store.read_all(StoreTable::Jobs, &part, "", None).await
        });
    }
    let mut rows = Vec::new();
    let mut version = u64::MAX;
    while let Some(read) = reads.join_next().await {
        let (part, read_version) = read.map_err(|_| StoreError::Unknown)??;
        rows.extend(part);
        version = version.min(read_version);
    }
    // Jobs first: a job's cancellation may be in another part than the job.
    rows.sort_by_key(|row| row.key.ends_with(CANCELLATION_SUFFIX));
    Ok((rows, JobWatchPosition { version, sent_at }))
}

/// Passes a row of the table of jobs, a job or a cancellation, to the dispatcher.
pub(crate) fn apply_job_row(
    shared: &SharedState,
    term: &OwnerTerm,
    row: &StoreRow,
    inherited: bool,
) {
    let mut dispatcher = term.dispatcher.borrow_mut();
    if let Some(name) = row.key.strip_suffix(CANCELLATION_SUFFIX) {
        if let Ok(key) = name.parse() {
            log_cancellation(shared, term, &dispatcher, key);
            dispatcher.cancel_job(key);
        }
        return;
    }
    let Ok(key) = row.key.parse::<JobKey>() else {
        return;
    };
    let Ok(record) = postcard::from_bytes::<JobRecord>(&row.value) else {
        return;
    };
    let accepted = Duration::from_millis(record.accepted_ms);
    let age = shared.wall().saturating_sub(accepted).min(MAX_JOB_AGE);
    dispatcher.add_job(
        key,
        AcceptedJob {
            queue: record.queue.into(),
            graph: Arc::new(record.graph),
            accepted: shared.now().saturating_sub(age),
            inherited,
        },
    );
}

fn log_cancellation(shared: &SharedState, term: &OwnerTerm, dispatcher: &Dispatcher, key: JobKey) {
    let progress = dispatcher.progress(key);
    if matches!(progress, Some(JobProgress::Ended(_))) {
        return;
    }
    shared.log.line(
        LogEvent::Cancellation,
        CancellationLine {
            job: key.to_string(),
            known: progress.is_some(),
            runs: dispatcher.job_run_count(key),
            owner_token: term.token(),
        },
    );
}

/// Watches the jobs until the future is dropped.
pub(crate) async fn watch_jobs(
    shared: Rc<SharedState>,
    term: Rc<OwnerTerm>,
    position: JobWatchPosition,
) {
    let mut position = position;
    loop {
        let sent_at = shared.now();
        let store = &shared.store;
        let call = store
            .port()
            .watch(StoreTable::Jobs, position.version, WATCH_WAIT);
        match store.watch(WatchedRows::Jobs, call).await {
            Ok(page) => {
                let inherited = position.may_already_run(&term);
                for row in page.items.iter().filter_map(|change| change.row.as_ref()) {
                    apply_job_row(&shared, &term, row, inherited);
                }
                position = JobWatchPosition {
                    version: page.version,
                    sent_at,
                };
                term.plan_wakeup.notify_one();
            }
            Err(StoreError::HistoryDropped) => {
                match read_jobs_again(&shared, &term, position).await {
                    Ok(read) => position = read,
                    Err(_) => shared.store.wait_to_retry().await,
                }
            }
            Err(_) => shared.store.wait_to_retry().await,
        }
    }
}

async fn read_jobs_again(
    shared: &Rc<SharedState>,
    term: &OwnerTerm,
    position: JobWatchPosition,
) -> Result<JobWatchPosition, StoreError> {
    let (rows, read) = read_jobs(shared).await?;
    for row in &rows {
        apply_job_row(shared, term, row, position.may_already_run(term));
    }
    Ok(read)
}
