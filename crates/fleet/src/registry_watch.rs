//! Watches the registry of workers.

use std::{
    rc::Rc,
    time::Duration, //
};

use serde::Serialize;
use tokio::{
    task::JoinSet,
    time, //
};

use crate::{
    LogEvent,
    RegistryChange,
    StoreError,
    lease_renewal::renew_lease,
    monitored_store::WatchedRows,
    owner_term::OwnerTerm,
    shared_state::{
        SharedState,
        WATCH_WAIT, //
    }, //
};

/// The pause between two watches of the registry. Heartbeats change it all the time and each call is expensive, but a
/// worker that leaves must be known within two seconds.
const REGISTRY_WATCH_PAUSE: Duration = Duration::from_millis(400);

/// Watches the registry until the future is dropped, and starts renewing the lease of each listed worker.
pub(crate) async fn watch_registry(shared: Rc<SharedState>, term: Rc<OwnerTerm>, after: u64) {
    let mut after = Some(after);
    let mut tasks = JoinSet::new();
    loop {
        start_lease_renewals(&shared, &term, &mut tasks);
        while tasks.try_join_next().is_some() {}
        let store = &shared.store;
        let result = match after {
            Some(after) => {
                let call = store.port().watch_registry(after, WATCH_WAIT);
                store.watch(WatchedRows::Registry, call).await
            }
            None => store.call(store.port().read_registry()).await,
        };
        match result {
            Ok(page) => {
                let is_full_read = after.is_none();
                let read_at = shared.now();
                after = Some(page.version);
                if apply_registry_changes(&shared, &term, page.items, is_full_read) {
                    term.workers_changed.set(true);
                    term.workers_wakeup.notify_one();
                    term.plan_wakeup.notify_one();
                }
                term.dispatcher.borrow_mut().note_registry_read(read_at);
                time::sleep(REGISTRY_WATCH_PAUSE).await;
            }
            Err(StoreError::HistoryDropped) => after = None,
            Err(_) => {
                term.dispatcher.borrow_mut().note_registry_failure();
                shared.store.wait_to_retry().await;
            }
        }
    }
}

/// Applies changes of the registry; returns whether any was more than a heartbeat.
fn apply_registry_changes(
    shared: &SharedState,
    term: &OwnerTerm,
    changes: Vec<RegistryChange>,
    is_full_read: bool,
) -> bool {
    let mut changed = is_full_read;
    let mut dispatcher = term.dispatcher.borrow_mut();
    if is_full_read {
        dispatcher.mark_all_unlisted();
    }
    for change in changes {
        match change {
            // Most entries are heartbeats.
            RegistryChange::Listed(worker) if dispatcher.is_listed_as(&worker) => {}
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
                dispatcher.upsert_worker(worker, None);
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
                dispatcher.mark_unlisted(&id);
            }
        }
    }
    changed
}

/// A worker was listed, began to drain or was unlisted.
#[derive(Serialize)]
struct WorkerLine<'a> {
    worker: &'a str,
    change: &'static str,
    domain: &'a str,
}

/// Starts a lease renewal task for each worker that has none yet.
fn start_lease_renewals(shared: &Rc<SharedState>, term: &Rc<OwnerTerm>, tasks: &mut JoinSet<()>) {
    let wanted = term.dispatcher.borrow().workers_to_renew();
    for key in wanted {
        if !term.renewed_workers.borrow_mut().insert(key) {
            continue;
        }
        tasks.spawn_local(renew_lease(Rc::clone(shared), Rc::clone(term), key));
    }
}
