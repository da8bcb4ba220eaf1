//! Takes over the ownership: claims it, reads the records of the former owner, and runs the owner's tasks.

use std::{
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use jasminebend_dispatch::{
    Dispatcher,
    JobKey,
    ProgressRecord, //
};
use serde::Serialize;
use tokio::task::JoinSet;

use crate::{
    CommitAnswer,
    FleetRow,
    FleetTable,
    LogEvent,
    OwnerRecord,
    RegistryChange,
    RowCommit,
    StoreError,
    announcement::announce,
    commit_work::commit_ends,
    confirm_work::confirm_seat,
    fleet_shared::{
        FleetShared,
        OWNER_KEY,
        SHARD_PART, //
    },
    kept_knowledge::{
        keep_knowledge,
        kept_workers,
        restore_learned, //
    },
    member_expiry::expire_members,
    member_watch::note_owner,
    operator_watch::inform_seat,
    owner_jobs::{
        KnownJobs,
        follow_jobs,
        note_job_row,
        read_jobs, //
    },
    owner_registry::follow_registry,
    owner_seat::OwnerSeat,
    plan_work::plan_orders,
    pool_watch::watch_pools,
    upkeep_work::carry_waves, //
};

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

/// Takes over the ownership: writes the owner's row, reads all records, then starts the owner's tasks.
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
        // If the write was applied after all, the watch shows it, and this daemon then replaces its own row.
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

/// Reads workers, jobs and their progress; returns the points from which to watch the jobs and the registry.
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
    // The dispatcher learns the demand of short work, per pool, from the jobs read below; it needs the queues first.
    if let Some(configuration) = shared.configuration() {
        dispatcher.configure(configuration);
    }
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

/// Runs the owner's tasks until the term is over.
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
    tasks.spawn_local(watch_pools(Rc::clone(&shared), Rc::clone(&seat)));
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
