//! How a daemon becomes the owner, and what it reads before it acts.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use jasminebend_dispatch::{
    AcceptedJob,
    Dispatcher,
    JobKey,
    ProgressRecord, //
};
use serde::Serialize;
use tokio::{
    task::JoinSet,
    time, //
};

use crate::{
    CommitAnswer,
    FleetRow,
    FleetTable,
    JobRecord,
    LogEvent,
    OwnerRecord,
    RegistryChange,
    RowCommit,
    StoreError,
    announcement::announce,
    commit_work::commit_ends,
    confirm_work::confirm_seat,
    fleet_shared::{
        CANCEL_SUFFIX,
        FleetShared,
        OWNER_KEY,
        SHARD_PART,
        WATCH_WAIT,
        job_parts, //
    },
    kept_knowledge::{
        keep_knowledge,
        kept_workers,
        restore_learned, //
    },
    member_expiry::expire_members,
    member_watch::note_owner,
    operator_watch::inform_seat,
    owner_seat::OwnerSeat,
    plan_work::plan_orders,
    store_link::WatchedRows,
    upkeep_work::carry_waves,
    worker_work::attend_worker, //
};

/// The pause between two looks at the registry: heartbeats come all the time, each call has its price, and
/// a worker that leaves must be known within two seconds.
const REGISTRY_EVERY: Duration = Duration::from_millis(400);
/// The oldest that a job's acceptance is believed to be; times of day differ.
const OLDEST: Duration = Duration::from_secs(120);

/// Up to when the jobs are known.
#[derive(Clone, Copy)]
struct KnownJobs {
    version: u64,
    /// When the call was sent that told them: what was accepted before that is known.
    asked_at: Duration,
}

impl KnownJobs {
    /// Tells whether a former owner, which does not know yet that it was replaced, may have started what is not known.
    fn may_run_already(self, seat: &OwnerSeat) -> bool {
        self.asked_at < seat.shared_until.get()
    }
}

#[derive(Serialize)]
struct TakeOverLine<'a> {
    change: &'static str,
    token: u64,
    former: &'a str,
    former_gone: bool,
    took_ms: f64,
    jobs: usize,
    workers: usize,
}

/// Takes the ownership over: writes the row, then reads what is on record, then acts until it is over.
pub(crate) async fn take_over(shared: &Rc<FleetShared>) {
    let begun = shared.now();
    let former_gone = shared.succession.borrow().former_is_gone();
    let Some((seat, former)) = claim(shared, former_gone).await else {
        return;
    };
    tokio::task::spawn_local(announce(Rc::clone(shared), Rc::clone(&seat), former_gone));
    let mut after = None;
    while after.is_none() && !seat.is_over() {
        after = read_records(shared, &seat, former_gone).await.ok();
        if after.is_none() {
            shared.store.pause().await;
        }
    }
    let Some((jobs, registry_after)) = after else {
        return;
    };
    seat.loaded.set(true);
    inform_seat(shared);
    {
        let dispatcher = seat.dispatcher.borrow();
        shared.log.line(
            LogEvent::Owner,
            TakeOverLine {
                change: "acting",
                token: seat.token(),
                former: &former,
                former_gone,
                took_ms: shared.now().saturating_sub(begun).as_secs_f64() * 1000.0,
                jobs: dispatcher.live_jobs(),
                workers: dispatcher.worker_count(),
            },
        );
    }
    tokio::task::spawn_local(act(Rc::clone(shared), seat, jobs, registry_after));
}

async fn claim(shared: &Rc<FleetShared>, former_gone: bool) -> Option<(Rc<OwnerSeat>, String)> {
    let (former, version) = {
        let succession = shared.succession.borrow();
        (
            succession.known_record().cloned(),
            shared.owner_version.get(),
        )
    };
    let record = OwnerRecord {
        node: shared.settings.node.clone(),
        incarnation: shared.incarnation,
        address: shared.settings.peers.to_string(),
        token: former.as_ref().map_or(0, |owner| owner.token) + 1,
        vacant: false,
    };
    let value = postcard::to_stdvec(&record).ok()?;
    let row = FleetRow::new(FleetTable::Fleet, SHARD_PART, OWNER_KEY, value);
    let commit = RowCommit {
        guards: vec![row.guard(version)],
        writes: vec![row.clone()],
    };
    let sent = shared.now();
    let version = match shared.store.commit(commit).await {
        Ok(CommitAnswer::Done(version)) => version,
        Ok(CommitAnswer::Conflict(rows)) => {
            note_owner(shared, rows.first().filter(|row| row.version > 0));
            return None;
        }
        // If it was done after all, the watch shows it, and this life of the daemon takes its own row over.
        Err(_) => return None,
    };
    let guard = row.guard(version);
    let written = FleetRow { version, ..row };
    note_owner(shared, Some(&written));
    let dispatcher = Dispatcher::new(record.token, shared.settings.dispatch);
    let shared_until = match former_gone {
        true => Duration::ZERO,
        false => Duration::MAX,
    };
    let seat = OwnerSeat::new(record, guard, dispatcher, sent).with_shared_until(shared_until);
    let seat = Rc::new(seat);
    *shared.seat.borrow_mut() = Some(Rc::clone(&seat));
    let former = former.map_or_else(String::new, |owner| owner.node);
    Some((seat, former))
}

/// Reads workers, jobs and what has ended of them; returns from where to follow jobs and workers.
async fn read_records(
    shared: &Rc<FleetShared>,
    seat: &Rc<OwnerSeat>,
    former_gone: bool,
) -> Result<(KnownJobs, u64), StoreError> {
    let first = seat.token() == 1;
    let store = &shared.store;
    let registry = store.call(store.raw().read_registry()).await?;
    let (progress, _) = shared
        .store
        .read_all(FleetTable::Progress, SHARD_PART, "", None)
        .await?;
    let (jobs, known) = read_jobs(shared).await?;
    let now = shared.now();
    let mut dispatcher = seat.dispatcher.borrow_mut();
    let until = now + dispatcher.inheritance(former_gone);
    restore_learned(&mut dispatcher, &progress);
    let (kept, rows) = kept_workers(&progress);
    seat.kept_rows.set(rows);
    for worker in kept {
        let id = Arc::clone(&worker.id);
        dispatcher.list_worker(worker, Some(until));
        dispatcher.unlist_worker(&id);
    }
    for change in registry.items {
        if let RegistryChange::Listed(worker) = change {
            dispatcher.list_worker(worker, (!first).then_some(until));
        }
    }
    drop(dispatcher);
    for row in &jobs {
        note_job_row(shared, seat, row, true);
    }
    let mut dispatcher = seat.dispatcher.borrow_mut();
    let mut versions = seat.progress_versions.borrow_mut();
    for row in &progress {
        let record = postcard::from_bytes::<ProgressRecord>(&row.value);
        if let (Ok(key), Ok(record)) = (row.key.parse::<JobKey>(), record) {
            versions.insert(key, row.version);
            dispatcher.restore(key, &record);
        }
    }
    Ok((known, registry.version))
}

/// Reads all jobs, and the version from which to follow them: the earliest of the parts'.
async fn read_jobs(shared: &Rc<FleetShared>) -> Result<(Vec<FleetRow>, KnownJobs), StoreError> {
    let asked_at = shared.now();
    let mut reads = JoinSet::new();
    for part in job_parts() {
        let shared = Rc::clone(shared);
        reads.spawn_local(async move {
            let store = &shared.store;
            store.read_all(FleetTable::Jobs, &part, "", None).await
        });
    }
    let mut rows = Vec::new();
    let mut version = u64::MAX;
    while let Some(read) = reads.join_next().await {
        let (part, read_version) = read.map_err(|_| StoreError::Unknown)??;
        rows.extend(part);
        version = version.min(read_version);
    }
    Ok((rows, KnownJobs { version, asked_at }))
}

/// Takes a row of the table of jobs in: a job, or a cancellation.
fn note_job_row(shared: &FleetShared, seat: &OwnerSeat, row: &FleetRow, inherited: bool) {
    let mut dispatcher = seat.dispatcher.borrow_mut();
    if let Some(name) = row.key.strip_suffix(CANCEL_SUFFIX) {
        if let Ok(key) = name.parse() {
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
    let age = shared.wall().saturating_sub(accepted).min(OLDEST);
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

/// Acts as the owner until the seat is over.
async fn act(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>, jobs: KnownJobs, registry_after: u64) {
    let mut tasks = JoinSet::new();
    tasks.spawn_local(follow_jobs(Rc::clone(&shared), Rc::clone(&seat), jobs));
    tasks.spawn_local(follow_registry(
        Rc::clone(&shared),
        Rc::clone(&seat),
        registry_after,
    ));
    tasks.spawn_local(plan_orders(Rc::clone(&shared), Rc::clone(&seat)));
    tasks.spawn_local(commit_ends(Rc::clone(&shared), Rc::clone(&seat)));
    tasks.spawn_local(keep_knowledge(Rc::clone(&shared), Rc::clone(&seat)));
    tasks.spawn_local(confirm_seat(Rc::clone(&shared), Rc::clone(&seat)));
    tasks.spawn_local(carry_waves(Rc::clone(&shared), Rc::clone(&seat)));
    tasks.spawn_local(expire_members(Rc::clone(&shared), Rc::clone(&seat)));
    seat.ended().await;
    shared.log.line(
        LogEvent::Owner,
        TakeOverLine {
            change: "over",
            token: seat.token(),
            former: "",
            former_gone: false,
            took_ms: 0.0,
            jobs: seat.dispatcher.borrow().live_jobs(),
            workers: seat.dispatcher.borrow().worker_count(),
        },
    );
    tasks.shutdown().await;
}

async fn follow_jobs(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>, known: KnownJobs) {
    let mut known = known;
    loop {
        let asked_at = shared.now();
        let store = &shared.store;
        let call = store
            .raw()
            .watch(FleetTable::Jobs, known.version, WATCH_WAIT);
        match store.watch(WatchedRows::Jobs, call).await {
            Ok(page) => {
                let inherited = known.may_run_already(&seat);
                for row in page.items.iter().filter_map(|change| change.row.as_ref()) {
                    note_job_row(&shared, &seat, row, inherited);
                }
                known = KnownJobs {
                    version: page.version,
                    asked_at,
                };
                seat.plan.notify_one();
            }
            Err(StoreError::Forgotten) => match read_jobs_again(&shared, &seat, known).await {
                Ok(read) => known = read,
                Err(_) => shared.store.pause().await,
            },
            Err(_) => shared.store.pause().await,
        }
    }
}

async fn read_jobs_again(
    shared: &Rc<FleetShared>,
    seat: &OwnerSeat,
    known: KnownJobs,
) -> Result<KnownJobs, StoreError> {
    let (rows, read) = read_jobs(shared).await?;
    for row in &rows {
        note_job_row(shared, seat, row, known.may_run_already(seat));
    }
    Ok(read)
}

async fn follow_registry(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>, after: u64) {
    let mut after = Some(after);
    let mut tasks = JoinSet::new();
    loop {
        attend_new(&shared, &seat, &mut tasks);
        while tasks.try_join_next().is_some() {}
        let store = &shared.store;
        let result = match after {
            Some(after) => {
                let call = store.raw().watch_registry(after, WATCH_WAIT);
                store.watch(WatchedRows::Registry, call).await
            }
            None => store.call(store.raw().read_registry()).await,
        };
        match result {
            Ok(page) => {
                let whole = after.is_none();
                after = Some(page.version);
                if note_registry(&shared, &seat, page.items, whole) {
                    seat.workers_changed.set(true);
                    seat.plan.notify_one();
                }
                time::sleep(REGISTRY_EVERY).await;
            }
            Err(StoreError::Forgotten) => after = None,
            Err(_) => shared.store.pause().await,
        }
    }
}

/// Takes changes of the registry in; tells whether any was more than a heartbeat.
fn note_registry(
    shared: &FleetShared,
    seat: &OwnerSeat,
    changes: Vec<RegistryChange>,
    whole: bool,
) -> bool {
    let mut changed = whole;
    let mut dispatcher = seat.dispatcher.borrow_mut();
    if whole {
        dispatcher.unlist_all();
    }
    for change in changes {
        match change {
            // Most entries are heartbeats.
            RegistryChange::Listed(worker) if dispatcher.lists_so(&worker) => {}
            RegistryChange::Listed(worker) => {
                changed = true;
                shared.log.line(
                    LogEvent::Worker,
                    WorkerLine {
                        worker: &worker.id,
                        change: if worker.draining {
                            "draining"
                        } else {
                            "listed"
                        },
                        domain: worker.domain.as_str(),
                    },
                );
                dispatcher.list_worker(worker, None);
            }
            RegistryChange::Unlisted(id) => {
                changed = true;
                shared.log.line(
                    LogEvent::Worker,
                    WorkerLine {
                        worker: &id,
                        change: "unlisted",
                        domain: "",
                    },
                );
                dispatcher.unlist_worker(&id);
            }
        }
    }
    changed
}

#[derive(Serialize)]
struct WorkerLine<'a> {
    worker: &'a str,
    change: &'static str,
    domain: &'a str,
}

/// Begins to attend the workers that are not attended yet.
fn attend_new(shared: &Rc<FleetShared>, seat: &Rc<OwnerSeat>, tasks: &mut JoinSet<()>) {
    let wanted = seat.dispatcher.borrow().attended_workers();
    for key in wanted {
        if !seat.attended.borrow_mut().insert(key) {
            continue;
        }
        tasks.spawn_local(attend_worker(Rc::clone(shared), Rc::clone(seat), key));
    }
}
