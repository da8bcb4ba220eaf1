//! Exports the process's spans.

use std::time::Duration;

use opentelemetry::{
    KeyValue,
    global, //
};
use opentelemetry_otlp::{
    Protocol,
    SpanExporter,
    WithExportConfig,
    WithHttpConfig, //
};
use opentelemetry_sdk::{
    Resource,
    propagation::TraceContextPropagator,
    trace::{
        BatchConfigBuilder,
        BatchSpanProcessor,
        Sampler,
        SdkTracerProvider, //
    }, //
};
use spdlog::warn;
use tokio::runtime::Handle;

use crate::{
    TraceError,
    TraceSettings,
    collector_client::CollectorClient, //
};

const MAX_BATCH_SPANS: usize = 512;
const BATCH_INTERVAL: Duration = Duration::from_secs(1);
const SERVICE_NAME: &str = "jasminebend";

/// Exports the process's spans to a collector.
///
/// Without a collector spans are dropped at almost no cost, but a caller's `traceparent` is still propagated.
#[derive(Debug)]
pub struct TraceExport {
    provider: Option<SdkTracerProvider>,
}

impl TraceExport {
    /// Installs the process's tracer provider and context propagator.
    ///
    /// # Errors
    ///
    /// Returns a [`TraceError`] if the exporter cannot be created.
    pub fn install(
        settings: Option<TraceSettings>,
        domain: &str,
        runtime: Handle,
    ) -> Result<Self, TraceError> {
        global::set_text_map_propagator(TraceContextPropagator::new());
        let Some(settings) = settings else {
            return Ok(Self { provider: None });
        };
        let provider = build_provider(settings, domain, runtime)?;
        global::set_tracer_provider(provider.clone());
        Ok(Self {
            provider: Some(provider),
        })
    }

    /// Sends the remaining spans and ends the export; blocks for up to a few seconds.
    pub fn finish(self) {
        let Some(provider) = self.provider else {
            return;
        };
        if let Err(error) = provider.shutdown() {
            warn!("[traces] The last spans were not sent: {error}.");
        }
    }
}

fn build_provider(
    settings: TraceSettings,
    domain: &str,
    runtime: Handle,
) -> Result<SdkTracerProvider, TraceError> {
    let exporter = SpanExporter::builder()
        .with_http()
        .with_http_client(CollectorClient::new(runtime))
        .with_protocol(Protocol::HttpBinary)
        .with_endpoint(format!("http://{}/v1/traces", settings.collector))
        .build()
        .map_err(|error| TraceError {
            reason: error.to_string(),
        })?;
    let batch = BatchConfigBuilder::default()
        .with_max_queue_size(settings.queue)
        .with_max_export_batch_size(MAX_BATCH_SPANS.min(settings.queue))
        .with_scheduled_delay(BATCH_INTERVAL)
        .build();
    let processor = BatchSpanProcessor::builder(exporter)
        .with_batch_config(batch)
        .build();
    let root_sampler = Sampler::TraceIdRatioBased(settings.sample_ratio);
    let resource = Resource::builder()
        .with_service_name(SERVICE_NAME)
        .with_attribute(KeyValue::new("failure_domain", domain.to_owned()))
        .build();
    Ok(SdkTracerProvider::builder()
        .with_span_processor(processor)
        .with_sampler(Sampler::ParentBased(Box::new(root_sampler)))
        .with_resource(resource)
        .build())
}
