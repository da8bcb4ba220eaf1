//! Finds out when a store that failed is back.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::{
    task::JoinSet,
    time, //
};

use crate::fleet_shared::FleetShared;

/// The pause between two probes. One that gets no answer holds the next one not up.
const PROBE_EVERY: Duration = Duration::from_millis(250);

/// Probes the store once if a call is left unanswered, and again and again while calls fail, for as long as the daemon
/// runs. Watches and callers' requests tell nothing of its return: the ones wait long, and the others are not passed on to
/// it.
pub(crate) async fn probe_store(shared: Rc<FleetShared>) {
    let mut probes = JoinSet::new();
    loop {
        shared.store.suspicion().await;
        loop {
            let prober = Rc::clone(&shared);
            probes.spawn_local(async move { prober.store.probe().await });
            time::sleep(PROBE_EVERY).await;
            while probes.try_join_next().is_some() {}
            if !shared.store.is_failing() {
                break;
            }
        }
    }
}
