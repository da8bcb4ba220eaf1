//! Records the daemon's gauges.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::DomainName;
use metrics::gauge;
use tokio::{
    sync::watch,
    time::sleep, //
};

use crate::{
    ControlPort,
    MetricsExporter,
    ProcessUsage, //
};

const RECORD_INTERVAL: Duration = Duration::from_secs(5);
const READY_METRIC: &str = "jasminebend_daemon_ready";
const CONFIGURATION_VERSION_METRIC: &str = "jasminebend_daemon_configuration_version";
const RESIDENT_BYTES_METRIC: &str = "jasminebend_process_resident_bytes";
const CPU_SECONDS_METRIC: &str = "jasminebend_process_cpu_seconds";

/// Records the daemon's gauges periodically, and runs the metrics exporter's maintenance, which bounds its memory.
pub(crate) struct GaugeRecorder {
    control: Arc<dyn ControlPort>,
    metrics: MetricsExporter,
    domain: String,
}

impl GaugeRecorder {
    pub(crate) fn new(
        control: Arc<dyn ControlPort>,
        metrics: MetricsExporter,
        domain: &DomainName,
    ) -> Self {
        Self {
            control,
            metrics,
            domain: domain.to_string(),
        }
    }

    /// Records every [`RECORD_INTERVAL`] until the sender of `stop` is dropped.
    pub(crate) async fn run(self, mut stop: watch::Receiver<()>) {
        loop {
            self.record();
            self.metrics.run_maintenance();
            tokio::select! {
                _ = stop.changed() => return,
                () = sleep(RECORD_INTERVAL) => {}
            }
        }
    }

    fn record(&self) {
        let ready = u8::from(self.control.ready());
        let version = self.control.configuration().version;
        gauge!(READY_METRIC, "failure_domain" => self.domain.clone()).set(ready);
        // CAST: a gauge is a float; versions stay far below 2^53.
        gauge!(CONFIGURATION_VERSION_METRIC, "failure_domain" => self.domain.clone())
            .set(version.0 as f64);
        let Some(usage) = ProcessUsage::read() else {
            return;
        };
        // CAST: a gauge is a float; memory stays far below 2^53 bytes.
        gauge!(RESIDENT_BYTES_METRIC).set(usage.resident_bytes as f64);
        gauge!(CPU_SECONDS_METRIC).set(usage.cpu_time.as_secs_f64());
    }
}
