//! Spans reach an OTLP/HTTP collector under the caller's span.

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
        plain,
        wait_until_served, //
    },
    collector::CollectorStandIn,
    platform::{
        TestPlatform,
        configuration, //
    },
    program::RunningProgram, //
};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const PARENT: &str = "b7ad6b7169203331";
const PATIENCE: Duration = Duration::from_secs(30);

fn caller_context(sampled: bool) -> Context {
    let mut headers = HeaderMap::new();
    let flags = u8::from(sampled);
    let parent = format!("00-{TRACE}-{PARENT}-{flags:02x}");
    headers.insert("traceparent", parent.parse().expect("a header"));
    global::get_text_map_propagator(|propagator| propagator.extract(&HeaderExtractor(&headers)))
}

fn work(name: &'static str, context: &Context) {
    let tracer = global::tracer("jasminebend");
    let span = tracer.start_with_context(name, context);
    Context::current_with_span(span).span().end();
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A caller's request is slow, and an operator looks for it by the trace that the caller began. The
/// daemon's span must hang below the caller's, and what nobody asked for must not be sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_span_arrives_below_the_callers() {
    let mut collector = CollectorStandIn::start().await;
    let settings = TraceSettings::new(collector.address).with_sample_ratio(0.0);
    let export = TraceExport::install(Some(settings), "a", Handle::current()).expect("an exporter");
    work("unasked", &Context::new());
    work("unsampled", &caller_context(false));
    work("gateway", &caller_context(true));
    let finish = tokio::task::spawn_blocking(move || export.finish());
    let span = next_span(&mut collector).await;
    finish.await.expect("an end");
    assert_eq!(span.name, "gateway");
    assert_eq!(hexadecimal(&span.trace_id), TRACE);
    assert_eq!(hexadecimal(&span.parent_span_id), PARENT);
    assert!(collector.spans.try_recv().is_err());
}

async fn next_span(collector: &mut CollectorStandIn) -> Span {
    let span = timeout(PATIENCE, collector.spans.recv()).await;
    span.expect("a span in time").expect("a span")
}

/// A team asks why its job started late, and has the trace that its submission began. The spans of
/// the change and of the planner's part in it must hang below it, one below the other.
#[tokio::test(flavor = "multi_thread")]
async fn a_submission_is_traced_below_its_submitter() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let mut collector = CollectorStandIn::start().await;
    let program = RunningProgram::start(&platform.settings_file(&traces_to(&collector)));
    let job = r#"{"team": "t", "class": "c", "tasks": 1, "payload": "",
        "size": {"cpu_millis": 1, "memory_mib": 1}}"#;
    let parent = format!("00-{TRACE}-{PARENT}-01");
    let headers = [("traceparent", parent.as_str())];
    plain(program.admin, Method::POST, "/v1/jobs", &headers, job).await;
    let submit = next_span(&mut collector).await;
    let change = next_span(&mut collector).await;
    assert_eq!(submit.name, "planner.submit");
    assert_eq!(submit.parent_span_id, change.span_id);
    assert_eq!(change.name, "administration.change");
    assert_eq!(hexadecimal(&change.parent_span_id), PARENT);
    assert_eq!(hexadecimal(&submit.trace_id), TRACE);
}

/// A caller's cart quote was slow. The trace that the storefront began must show how long the
/// request waited for a slot and how long the endpoint worked on it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_traced_from_its_caller_to_its_endpoint() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let mut collector = CollectorStandIn::start().await;
    let program = RunningProgram::start(&platform.settings_file(&traces_to(&collector)));
    configure(program.admin, &configuration()).await;
    wait_until_served(program.callers, "untraced").await;
    let parent = format!("00-{TRACE}-{PARENT}-01");
    let headers = [("traceparent", parent.as_str())];
    let status = plain(program.callers, Method::GET, "/quotes", &headers, "").await;
    assert_eq!(status, StatusCode::OK);
    let mut spans = IndexMap::new();
    for _ in 0..3 {
        let span = next_span(&mut collector).await;
        assert_eq!(hexadecimal(&span.trace_id), TRACE);
        spans.insert(span.name.clone(), span);
    }
    let request = &spans["gateway.request"];
    assert_eq!(hexadecimal(&request.parent_span_id), PARENT);
    assert_eq!(spans["gateway.queue"].parent_span_id, request.span_id);
    assert_eq!(spans["gateway.attempt"].parent_span_id, request.span_id);
}

fn traces_to(collector: &CollectorStandIn) -> String {
    let address = collector.address;
    format!("traces:\n  collector: {address}\n  sample_ratio: 0\n")
}
