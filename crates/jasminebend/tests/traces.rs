//! Spans reach an OTLP/HTTP collector under the caller's span.

use std::{
    convert::Infallible,
    net::SocketAddr,
    time::Duration, //
};

use http::{
    HeaderMap,
    Request,
    Response, //
};
use http_body_util::{
    BodyExt,
    Empty, //
};
use hyper::{
    body::{
        Bytes,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
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
use opentelemetry_proto::tonic::{
    collector::trace::v1::ExportTraceServiceRequest,
    trace::v1::Span, //
};
use prost::Message;
use tokio::{
    net::TcpListener,
    runtime::Handle,
    sync::mpsc,
    time::timeout, //
};

const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";
const PARENT: &str = "b7ad6b7169203331";

/// A collector that hands on the spans it is sent.
struct CollectorStandIn {
    address: SocketAddr,
    spans: mpsc::UnboundedReceiver<Span>,
}

impl CollectorStandIn {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, spans) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let sender = sender.clone();
                let service = service_fn(move |request| collect(request, sender.clone()));
                let connection = http1::Builder::new();
                tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, spans }
    }
}

async fn collect(
    request: Request<Incoming>,
    sender: mpsc::UnboundedSender<Span>,
) -> Result<Response<Empty<Bytes>>, Infallible> {
    assert_eq!(request.uri().path(), "/v1/traces");
    let body = request.into_body().collect().await.expect("a whole body");
    let export = ExportTraceServiceRequest::decode(body.to_bytes()).expect("spans");
    let scopes = export
        .resource_spans
        .into_iter()
        .flat_map(|resource| resource.scope_spans);
    for span in scopes.flat_map(|scope| scope.spans) {
        drop(sender.send(span));
    }
    Ok(Response::new(Empty::new()))
}

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
    let span = timeout(Duration::from_secs(30), collector.spans.recv()).await;
    let span = span.expect("a span in time").expect("a span");
    finish.await.expect("an end");
    assert_eq!(span.name, "gateway");
    assert_eq!(hexadecimal(&span.trace_id), TRACE);
    assert_eq!(hexadecimal(&span.parent_span_id), PARENT);
    assert!(collector.spans.try_recv().is_err());
}
