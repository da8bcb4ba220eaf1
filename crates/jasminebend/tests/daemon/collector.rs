//! Stand-in of an OTLP/HTTP collector.

use std::{
    convert::Infallible,
    net::SocketAddr, //
};

use http::{
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
use opentelemetry_proto::tonic::{
    collector::trace::v1::ExportTraceServiceRequest,
    trace::v1::Span, //
};
use prost::Message;
use tokio::{
    net::TcpListener,
    sync::mpsc, //
};

/// An OTLP/HTTP collector that forwards the received spans to the test.
pub(crate) struct CollectorStandIn {
    pub(crate) address: SocketAddr,
    pub(crate) spans: mpsc::UnboundedReceiver<Span>,
}

impl CollectorStandIn {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (sender, spans) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let sender = sender.clone();
                let service = service_fn(move |request| handle_export(request, sender.clone()));
                let connection = http1::Builder::new();
                tokio::spawn(connection.serve_connection(TokioIo::new(stream), service));
            }
        });
        Self { address, spans }
    }
}

async fn handle_export(
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
