//! Spans are exported to an OTLP/HTTP collector as children of the caller's span.

use std::time::Duration;

use http::{
    HeaderMap,
    Method,
    StatusCode, //
};
use indexmap::IndexMap;
use jasminebend::{
    TraceExport,
    TraceSettings, //
};
use opentelemetry::{
    Context,
    global,
    trace::{
        TraceContextExt,
        Tracer, //
    }, //
};
use opentelemetry_http::HeaderExtractor;
use opentelemetry_proto::tonic::trace::v1::Span;
use tokio::{
    runtime::Handle,
    time::timeout, //
};

use crate::{
    caller::{
        configure,
        request_status,
        wait_until_served, //
    },
    collector::CollectorStandIn,
    platform::{
        TestPlatform,
        configuration, //
    },
    program::RunningProgram, //
};

const TRACE_ID: &str = "0af7651916cd43dd8448eb211c80319c";
const PARENT_SPAN_ID: &str = "b7ad6b7169203331";
/// Long enough that a passing test never reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

fn caller_context(sampled: bool) -> Context {
    let mut headers = HeaderMap::new();
    let flags = u8::from(sampled);
    let parent = format!("00-{TRACE_ID}-{PARENT_SPAN_ID}-{flags:02x}");
    headers.insert("traceparent", parent.parse().expect("a header"));
    global::get_text_map_propagator(|propagator| propagator.extract(&HeaderExtractor(&headers)))
}

/// Starts and ends a span in this context.
fn record_span(name: &'static str, context: &Context) {
    let tracer = global::tracer("jasminebend");
    let span = tracer.start_with_context(name, context);
    Context::current_with_span(span).span().end();
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A span in a trace that the caller samples must be exported as a child of the caller's span. Spans of unsampled
/// traces, and with a sample ratio of zero spans without a parent, must not be exported.
#[tokio::test(flavor = "multi_thread")]
async fn a_span_is_exported_as_a_child_of_the_callers_span() {
    let mut collector = CollectorStandIn::start().await;
    let settings = TraceSettings::new(collector.address).with_sample_ratio(0.0);
    let export = TraceExport::install(Some(settings), "a", Handle::current()).expect("an exporter");
    record_span("unasked", &Context::new());
    record_span("unsampled", &caller_context(false));
    record_span("gateway", &caller_context(true));
    let finish = tokio::task::spawn_blocking(move || export.finish());
    let span = next_span(&mut collector).await;
    finish.await.expect("an end");
    assert_eq!(span.name, "gateway");
    assert_eq!(hexadecimal(&span.trace_id), TRACE_ID);
    assert_eq!(hexadecimal(&span.parent_span_id), PARENT_SPAN_ID);
    assert!(collector.spans.try_recv().is_err());
}

async fn next_span(collector: &mut CollectorStandIn) -> Span {
    let span = timeout(TEST_TIMEOUT, collector.spans.recv()).await;
    span.expect("a span in time").expect("a span")
}

/// The submission of a job must be traced: the span of the change is a child of the submitter's span, and the planner's
/// span is a child of the change's span.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_is_traced_from_its_submitter_to_the_planner() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let mut collector = CollectorStandIn::start().await;
    let program = RunningProgram::start(&platform.settings_file(&trace_settings(&collector)));
    let job = r#"{"team": "t", "class": "c", "tasks": 1, "payload": "",
        "size": {"cpu_millis": 1, "memory_mib": 1}}"#;
    let parent = format!("00-{TRACE_ID}-{PARENT_SPAN_ID}-01");
    let headers = [("traceparent", parent.as_str())];
    request_status(program.admin, Method::POST, "/v1/jobs", &headers, job).await;
    let submit = next_span(&mut collector).await;
    let change = next_span(&mut collector).await;
    assert_eq!(submit.name, "planner.submit");
    assert_eq!(submit.parent_span_id, change.span_id);
    assert_eq!(change.name, "administration.change");
    assert_eq!(hexadecimal(&change.parent_span_id), PARENT_SPAN_ID);
    assert_eq!(hexadecimal(&submit.trace_id), TRACE_ID);
}

/// The trace of a caller's request must have a span of the wait for a slot and a span of the attempt at the endpoint,
/// so that their durations can be told apart.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_traced_from_its_caller_to_its_endpoint() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let mut collector = CollectorStandIn::start().await;
    let program = RunningProgram::start(&platform.settings_file(&trace_settings(&collector)));
    configure(program.admin, &configuration()).await;
    wait_until_served(program.callers, "untraced").await;
    let parent = format!("00-{TRACE_ID}-{PARENT_SPAN_ID}-01");
    let headers = [("traceparent", parent.as_str())];
    let status = request_status(program.callers, Method::GET, "/quotes", &headers, "").await;
    assert_eq!(status, StatusCode::OK);
    let mut spans = IndexMap::new();
    for _ in 0..3 {
        let span = next_span(&mut collector).await;
        assert_eq!(hexadecimal(&span.trace_id), TRACE_ID);
        spans.insert(span.name.clone(), span);
    }
    let request = &spans["gateway.request"];
    assert_eq!(hexadecimal(&request.parent_span_id), PARENT_SPAN_ID);
    assert_eq!(spans["gateway.queue"].parent_span_id, request.span_id);
    assert_eq!(spans["gateway.attempt"].parent_span_id, request.span_id);
}

fn trace_settings(collector: &CollectorStandIn) -> String {
    let address = collector.address;
    format!("traces:\n  collector: {address}\n  sample_ratio: 0\n")
}
