//! Keeps the daemon's own gauges.

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
    MetricsHub,
    ProcessUsage, //
};

const PERIOD: Duration = Duration::from_secs(5);
const READY: &str = "jasminebend_daemon_ready";
const VERSION: &str = "jasminebend_daemon_configuration_version";
const RESIDENT: &str = "jasminebend_process_resident_bytes";
const PROCESSOR: &str = "jasminebend_process_cpu_seconds";

/// Keeps the daemon's own gauges, and the metrics' memory in bounds.
pub(crate) struct GaugeKeeper {
    control: Arc<dyn ControlPort>,
    metrics: MetricsHub,
    domain: String,
}

impl GaugeKeeper {
    pub(crate) fn new(
        control: Arc<dyn ControlPort>,
        metrics: MetricsHub,
        domain: &DomainName,
    ) -> Self {
        Self {
            control,
            metrics,
            domain: domain.to_string(),
        }
    }

    /// Runs until the sender of `stop` is dropped.
    pub(crate) async fn run(self, mut stop: watch::Receiver<()>) {
        loop {
            self.record();
            self.metrics.tidy();
            tokio::select! {
                _ = stop.changed() => return,
                () = sleep(PERIOD) => {}
            }
        }
    }

    fn record(&self) {
        let ready = u8::from(self.control.ready());
        let version = self.control.configuration().version;
        gauge!(READY, "failure_domain" => self.domain.clone()).set(ready);
        // CAST: a gauge is a float; versions stay far below 2^53.
        gauge!(VERSION, "failure_domain" => self.domain.clone()).set(version.0 as f64);
        let Some(usage) = ProcessUsage::read() else {
            return;
        };
        // CAST: a gauge is a float; memory stays far below 2^53 bytes.
        gauge!(RESIDENT).set(usage.resident as f64);
        gauge!(PROCESSOR).set(usage.processor.as_secs_f64());
    }
}
