//! Collects the process's metrics.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Collects the process's metrics; daemons embedded in one process share them.
#[derive(Clone)]
pub struct MetricsHub {
    handle: PrometheusHandle,
}

impl MetricsHub {
    /// Begins to collect, unless the process does already.
    pub fn install() -> Self {
        let handle = HANDLE.get_or_init(begin).clone();
        Self { handle }
    }

    /// Writes the metrics in the exposition format of Prometheus.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Folds what was recorded since the last call; called every few seconds, it bounds the memory
    /// that histograms take between two scrapes.
    pub fn tidy(&self) {
        self.handle.run_upkeep();
    }
}

fn begin() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // A recorder that is there already stays; this hub then renders nothing.
    drop(metrics::set_global_recorder(recorder));
    handle
}
