//! What logs and metrics say of this daemon's part in what is shared.

use spdlog::{
    info,
    warn, //
};

use crate::cluster_state::ClusterState;

impl ClusterState {
    /// Says when this daemon begins or ceases to start work, and sets the gauges.
    pub(crate) fn report_health(&mut self) {
        let now = self.now();
        let (starts, table, peers) = {
            let machine = self.lock();
            (
                machine.may_start(now),
                machine.table_is_fresh(now),
                machine.is_confirmed_by_majority(now),
            )
        };
        set("jasminebend_cluster_may_start", starts);
        set("jasminebend_cluster_table_fresh", table);
        set("jasminebend_cluster_peers_vouch", peers);
        if starts == self.starts_work {
            return;
        }
        self.starts_work = starts;
        match starts {
            true => info!("[cluster] This daemon may start work."),
            false => warn!(
                "[cluster] This daemon starts no work: it cannot confirm its seat and the \
                 configuration, by the table or by more than half of the members."
            ),
        }
    }
}

fn set(name: &'static str, holds: bool) {
    metrics::gauge!(name).set(f64::from(u8::from(holds)));
}
