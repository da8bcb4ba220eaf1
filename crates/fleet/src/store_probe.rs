//! Finds out when a store that failed is back.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::{
    task::JoinSet,
    time, //
};

use crate::{
    FleetTable,
    fleet_shared::{
        FleetShared,
        OWNER_KEY,
        SHARD_PART, //
    },
};

/// The pause between two probes. One that gets no answer holds the next one not up.
const PROBE_EVERY: Duration = Duration::from_millis(250);

/// Reads a row again and again while calls to the store fail, for as long as the daemon runs. Watches and callers'
/// requests tell nothing of its return: the ones wait long, and the others are not passed on to it.
pub(crate) async fn probe_store(shared: Rc<FleetShared>) {
    let mut probes = JoinSet::new();
    loop {
        shared.store.failing().await;
        while shared.store.is_failing() {
            let shared = Rc::clone(&shared);
            probes.spawn_local(async move {
                let store = &shared.store;
                // The store link takes note of how it went.
                drop(
                    store
                        .read_all(FleetTable::Fleet, SHARD_PART, OWNER_KEY, None)
                        .await,
                );
            });
            time::sleep(PROBE_EVERY).await;
            while probes.try_join_next().is_some() {}
        }
        probes.abort_all();
    }
}
