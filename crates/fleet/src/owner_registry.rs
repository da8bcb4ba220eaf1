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
    fleet_shared::{
        FleetShared,
        WATCH_WAIT, //
    },
    owner_seat::OwnerSeat,
    store_link::WatchedRows,
    worker_work::attend_worker, //
};

/// The pause between two watches of the registry. Heartbeats change it all the time and each call is expensive, but a
/// worker that leaves must be known within two seconds.
const REGISTRY_EVERY: Duration = Duration::from_millis(400);

/// Watches the registry until the future is dropped, and starts renewing the lease of each listed worker.
pub(crate) async fn follow_registry(shared: Rc<FleetShared>, seat: Rc<OwnerSeat>, after: u64) {
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

/// Applies changes of the registry; returns whether any was more than a heartbeat.
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

/// Starts a lease renewal task for each worker that has none yet.
fn attend_new(shared: &Rc<FleetShared>, seat: &Rc<OwnerSeat>, tasks: &mut JoinSet<()>) {
    let wanted = seat.dispatcher.borrow().attended_workers();
    for key in wanted {
        if !seat.attended.borrow_mut().insert(key) {
            continue;
        }
        tasks.spawn_local(attend_worker(Rc::clone(shared), Rc::clone(seat), key));
    }
}
