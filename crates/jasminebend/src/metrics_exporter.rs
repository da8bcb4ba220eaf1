//! Exports the process's metrics.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};

static PROCESS_HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Exports the process's metrics. All daemons that are embedded in one process share one recorder.
#[derive(Clone)]
pub struct MetricsExporter {
    handle: PrometheusHandle,
}

impl MetricsExporter {
    /// Installs the metrics recorder of the process on the first call, and returns its exporter.
    pub fn install() -> Self {
        let handle = PROCESS_HANDLE.get_or_init(install_recorder).clone();
        Self { handle }
    }

    /// Returns the metrics in the Prometheus exposition format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Aggregates the histogram values that were recorded since the last call. Must be called every few seconds to
    /// bound the memory that histograms use between two scrapes.
    pub fn run_maintenance(&self) {
        self.handle.run_upkeep();
    }
}

fn install_recorder() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    // If another recorder is installed already, it stays and this exporter renders nothing.
    drop(metrics::set_global_recorder(recorder));
    handle
}
