//! Reports in the log and in metrics whether this daemon may start work.

use spdlog::{
    info,
    warn, //
};

use crate::cluster_state::ClusterState;

impl ClusterState {
    /// Sets the gauges, and logs when this daemon becomes able or unable to start work.
    pub(crate) fn report_health(&mut self) {
        let now = self.now();
        let (may_start, table_fresh, peers_confirm) = {
            let machine = self.lock();
            (
                machine.may_start(now),
                machine.table_is_fresh(now),
                machine.is_confirmed_by_majority(now),
            )
        };
        set_gauge("jasminebend_cluster_may_start", may_start);
        set_gauge("jasminebend_cluster_table_fresh", table_fresh);
        set_gauge("jasminebend_cluster_peers_vouch", peers_confirm);
        if may_start == self.reported_may_start {
            return;
        }
        self.reported_may_start = may_start;
        match may_start {
            true => info!("[cluster] This daemon may start work."),
            false => warn!(
                "[cluster] This daemon starts no work: it cannot confirm its seat and the \
                 configuration, by the table or by more than half of the members."
            ),
        }
    }
}

/// Sets a gauge to 1 or 0.
fn set_gauge(name: &'static str, value: bool) {
    metrics::gauge!(name).set(f64::from(u8::from(value)));
}
