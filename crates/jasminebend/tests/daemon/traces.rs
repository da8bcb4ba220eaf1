//! Spans reach an OTLP/HTTP collector under the caller's span.

use std::time::Duration;

use http::{
    HeaderMap,
    Method, //
};
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
    caller::plain,
    collector::CollectorStandIn,
    platform::TestPlatform,
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
    let lines = format!(
        "traces:\n  collector: {}\n  sample_ratio: 0\n",
        collector.address
    );
    let program = RunningProgram::start(&platform.settings_file(&lines));
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
