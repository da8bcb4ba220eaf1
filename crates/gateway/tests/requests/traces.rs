//! The trace spans of a request, one for each hop.

use std::sync::LazyLock;

use opentelemetry::global;
use opentelemetry_sdk::trace::{
    InMemorySpanExporter,
    SdkTracerProvider, //
};

use crate::support::{
    GatewayBuilder,
    ScriptedEndpoint,
    send_request, //
};

/// The process has a single tracer provider: tests select their spans by the trace ID.
static SPAN_EXPORTER: LazyLock<InMemorySpanExporter> = LazyLock::new(|| {
    let exporter = InMemorySpanExporter::default();
    let provider = SdkTracerProvider::builder()
        .with_simple_exporter(exporter.clone())
        .build();
    global::set_tracer_provider(provider);
    exporter
});

#[tokio::test]
async fn each_hop_has_a_child_span_of_the_callers() {
    let spans = LazyLock::force(&SPAN_EXPORTER);
    let endpoint = ScriptedEndpoint::start().await;
    let builder = GatewayBuilder::new().with_endpoint(&endpoint, 2);
    let gateway = builder
        .with_settings(|settings| settings.with_traces(true))
        .start()
        .await;
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let headers = format!("traceparent: 00-{trace}-b7ad6b7169203331-01\r\n");
    assert_eq!(
        send_request(gateway.address, "GET /a", &headers, "")
            .await
            .status,
        200
    );
    let spans = spans.get_finished_spans().unwrap();
    let own = spans
        .iter()
        .filter(|span| span.span_context.trace_id().to_string() == trace);
    let mut names: Vec<_> = own.clone().map(|span| span.name.to_string()).collect();
    names.sort_unstable();
    assert_eq!(
        names,
        ["gateway.attempt", "gateway.queue", "gateway.request"]
    );
    let named = |name: &str| own.clone().find(|span| span.name == name).unwrap();
    let (request, attempt) = (named("gateway.request"), named("gateway.attempt"));
    assert_eq!(request.parent_span_id.to_string(), "b7ad6b7169203331");
    assert_eq!(attempt.parent_span_id, request.span_context.span_id());
    let passed = format!(
        "traceparent: 00-{trace}-{}-01",
        attempt.span_context.span_id()
    );
    assert!(endpoint.log().request_heads[0].contains(&passed));
}

#[tokio::test]
async fn without_traces_the_callers_context_is_forwarded_unchanged() {
    let endpoint = ScriptedEndpoint::start().await;
    let gateway = GatewayBuilder::new()
        .with_endpoint(&endpoint, 2)
        .start()
        .await;
    let line = "traceparent: 00-1af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\r\n";
    assert_eq!(
        send_request(gateway.address, "GET /a", line, "")
            .await
            .status,
        200
    );
    assert!(endpoint.log().request_heads[0].contains(line));
}
