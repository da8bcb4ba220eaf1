//! Endpoints that respond at once.

use std::{
    convert::Infallible,
    net::SocketAddr, //
};

use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

const RESPONSE_BODY: Bytes = Bytes::from_static(b"the guitar is ready on friday");

/// Starts `count` endpoints and returns their addresses.
pub(crate) async fn start_endpoints(count: usize) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    for _ in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        addresses.push(listener.local_addr().unwrap());
        tokio::spawn(accept_connections(listener));
    }
    addresses
}

async fn accept_connections(listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        stream.set_nodelay(true).unwrap();
        let service = service_fn(|_: Request<Incoming>| async {
            Ok::<_, Infallible>(Response::new(Full::new(RESPONSE_BODY)))
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { connection.await.is_ok() });
    }
}
