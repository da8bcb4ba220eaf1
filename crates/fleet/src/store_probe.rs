//! Probes the store while calls to it fail.

use std::{
    rc::Rc,
    time::Duration, //
};

use tokio::{
    task::JoinSet,
    time, //
};

use crate::shared_state::SharedState;

/// The pause between two probes. An unanswered probe does not delay the next one.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Probes the store once after a call was left unanswered, and repeatedly while calls fail, for as long as the daemon
/// runs. Other calls don't show that the store is back: watches wait for long, and callers' requests are refused
/// without a call while it is lost.
pub(crate) async fn probe_store(shared: Rc<SharedState>) {
    let mut probes = JoinSet::new();
    loop {
        shared.store.until_suspected().await;
        loop {
            let prober = Rc::clone(&shared);
            probes.spawn_local(async move { prober.store.probe().await });
            time::sleep(PROBE_INTERVAL).await;
            while probes.try_join_next().is_some() {}
            if !shared.store.is_failing() {
                break;
            }
        }
    }
}
