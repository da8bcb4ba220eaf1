//! Reads and watches the jobs and cancellations in the store.

use std::{
    cell::RefCell,
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
    LogEvent,
    StoreError,
    StoreRow,
    StoreTable,
    fleet_log::whole_millis,
    job_codec::decode_job,
    job_reader::{
        JobReader,
        is_cancellation, //
    },
    monitored_store::WatchedRows,
    owner_term::OwnerTerm,
    ownership_takeover::log_unreadable,
    shared_state::{
        CANCELLATION_SUFFIX,
        SharedState,
        WATCH_WAIT, //
    },
    term_confirmation::confirm_before_adding, //
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

/// The owner learned of a job after it had begun to act; `inherited` tells whether a former owner may have started its tasks.
#[derive(Serialize)]
struct LearnedLine {
    job: String,
    age_ms: u64,
    inherited: bool,
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
    /// Creates the position after a read that was sent at `sent_at` and returned this version.
    pub(crate) fn new(version: u64, sent_at: Duration) -> Self {
        Self { version, sent_at }
    }

    /// Returns whether a job that is not known yet may already run: a former owner that had not learned yet that it was
    /// replaced may have started it.
    fn may_already_run(self, term: &OwnerTerm) -> bool {
        self.sent_at < term.former_adds_until.get()
    }
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
    // A record that no daemon wrote may have steps without an order.
    let decoded = decode_job(&row.value).ok();
    let Some((record, rule)) = decoded.filter(|(record, _)| record.graph.has_order()) else {
        if dispatcher.mark_unreadable(key) {
            log_unreadable(shared, term, &row.key);
        }
        return;
    };
    let accepted = Duration::from_millis(record.accepted_ms);
    let age = shared.wall().saturating_sub(accepted).min(MAX_JOB_AGE);
    if term.loaded.get() && dispatcher.progress(key).is_none() {
        log_learned_job(shared, term, key, age, inherited);
    }
    dispatcher.add_job(
        key,
        AcceptedJob {
            queue: record.queue.into(),
            rule,
            graph: Arc::new(record.graph),
            accepted: shared.now().saturating_sub(age),
            inherited,
        },
    );
}

fn log_learned_job(
    shared: &SharedState,
    term: &OwnerTerm,
    key: JobKey,
    age: Duration,
    inherited: bool,
) {
    shared.log.line(
        LogEvent::Learned,
        LearnedLine {
            job: key.to_string(),
            age_ms: whole_millis(age),
            inherited,
            owner_token: term.token(),
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
    let mut unread = UnreadJobs::default();
    loop {
        let sent_at = shared.now();
        let store = &shared.store;
        let call = store
            .port()
            .watch(StoreTable::Jobs, position.version, WATCH_WAIT);
        match store.watch(WatchedRows::Jobs, call).await {
            Ok(page) => {
                let inherited = position.may_already_run(&term);
                let may_add = confirm_before_adding(&shared, &term).await.is_ok();
                // The reading may end while the term is confirmed, after which nobody takes held jobs.
                let is_reading = unread.is_reading();
                let mut is_complete = true;
                for row in page.items.into_iter().filter_map(|change| change.row) {
                    match (is_cancellation(&row), is_reading, may_add) {
                        (false, true, _) => unread.held_jobs.borrow_mut().push(row),
                        (false, false, false) => is_complete = false,
                        _ => apply_job_row(&shared, &term, &row, inherited),
                    }
                }
                if !is_complete {
                    // The same changes are read again.
                    shared.store.wait_to_retry().await;
                    continue;
                }
                position = JobWatchPosition {
                    version: page.version,
                    sent_at,
                };
                if !is_reading && !position.may_already_run(&term) {
                    let now = shared.now();
                    term.dispatcher.borrow_mut().confirm_former_jobs(now);
                }
                term.plan_wakeup.notify_one();
            }
            Err(StoreError::HistoryDropped) => {
                match read_jobs_again(&shared, &term, position, &mut unread).await {
                    Some(read) => position = read,
                    None => shared.store.wait_to_retry().await,
                }
            }
            Err(_) => shared.store.wait_to_retry().await,
        }
    }
}

/// Reads the jobs after the store has dropped its history; returns the point from which to watch them, or `None` if
/// nothing could be read. While a part can't be read, the owner must still learn of cancellations in the others.
async fn read_jobs_again(
    shared: &Rc<SharedState>,
    term: &Rc<OwnerTerm>,
    position: JobWatchPosition,
    unread: &mut UnreadJobs,
) -> Option<JobWatchPosition> {
    let mut reader = unread.take_reader(shared, term);
    let is_complete = reader.read(shared).await.is_ok();
    let may_add = confirm_before_adding(shared, term).await.is_ok();
    let read_position = reader.position().filter(|_| may_add);
    let Some(read_position) = read_position else {
        let rows = reader.rows().into_iter();
        for row in rows.filter(|row| is_cancellation(row)) {
            apply_job_row(shared, term, row, true);
        }
        term.holds_jobs.set(true);
        unread.reader = Some(reader);
        return None;
    };
    let inherited = unread.is_reading() || position.may_already_run(term);
    let rows = reader.rows().into_iter();
    for row in rows.filter(|row| is_complete || is_cancellation(row)) {
        apply_job_row(shared, term, row, inherited);
    }
    match is_complete {
        true => unread.stop(term),
        false => unread.start(shared, term, reader),
    }
    term.plan_wakeup.notify_one();
    Some(read_position)
}

/// The reading of all jobs while a part of them can't be read. Until it ends no job is added: a job's cancellation may be
/// in the part that was not read, also that of a copy of the job's row in another part.
#[derive(Default)]
struct UnreadJobs {
    task: JoinSet<()>,
    /// What was read before the first part was complete.
    reader: Option<JobReader>,
    /// The jobs that the watch has returned meanwhile.
    held_jobs: Rc<RefCell<Vec<StoreRow>>>,
}

impl UnreadJobs {
    fn is_reading(&mut self) -> bool {
        while self.task.try_join_next().is_some() {}
        !self.task.is_empty()
    }

    fn take_reader(&mut self, shared: &SharedState, term: &OwnerTerm) -> JobReader {
        let reader = self.reader.take();
        reader.unwrap_or_else(|| JobReader::new(shared.now()).with_page_count(&term.page_count))
    }

    fn stop(&mut self, term: &OwnerTerm) {
        self.task = JoinSet::new();
        self.held_jobs.borrow_mut().clear();
        term.holds_jobs.set(false);
    }

    fn start(&mut self, shared: &Rc<SharedState>, term: &Rc<OwnerTerm>, reader: JobReader) {
        term.holds_jobs.set(true);
        self.task = JoinSet::new();
        self.task.spawn_local(read_unread_jobs(
            Rc::clone(shared),
            Rc::clone(term),
            reader,
            Rc::clone(&self.held_jobs),
        ));
    }
}

/// Reads on until all jobs are read, and adds them and the held ones. A former owner may have started those that are not
/// known yet.
async fn read_unread_jobs(
    shared: Rc<SharedState>,
    term: Rc<OwnerTerm>,
    mut reader: JobReader,
    held_jobs: Rc<RefCell<Vec<StoreRow>>>,
) {
    while reader.read(&shared).await.is_err()
        || confirm_before_adding(&shared, &term).await.is_err()
    {
        shared.store.wait_to_retry().await;
    }
    for row in reader.rows().into_iter().chain(&held_jobs.take()) {
        apply_job_row(&shared, &term, row, true);
    }
    term.holds_jobs.set(false);
    term.plan_wakeup.notify_one();
}
