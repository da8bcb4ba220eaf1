//! A minimal HTTP forwarder over hyper, as a baseline for the cost of the gateway.

use std::net::SocketAddr;

use http::Request;
use hyper::{
    body::Incoming,
    client::conn::http1 as client,
    server::conn::http1 as server,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Mutex,
};

/// Starts a forwarder that binds each connection of a caller to one connection to an endpoint.
pub(crate) async fn start_forwarder(endpoints: Vec<SocketAddr>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut next_endpoint = endpoints.iter().cycle();
        while let (Ok((stream, _)), Some(endpoint)) =
            (listener.accept().await, next_endpoint.next())
        {
            tokio::spawn(forward(stream, *endpoint));
        }
    });
    address
}

async fn forward(stream: TcpStream, endpoint: SocketAddr) {
    stream.set_nodelay(true).unwrap();
    let upstream = TcpStream::connect(endpoint).await.unwrap();
    upstream.set_nodelay(true).unwrap();
    let (sender, connection) = client::handshake(TokioIo::new(upstream)).await.unwrap();
    tokio::spawn(async move { connection.await.is_ok() });
    let sender = Mutex::new(sender);
    let service = service_fn(|request: Request<Incoming>| async {
        let mut sender = sender.lock().await;
        sender.ready().await?;
        sender.send_request(request).await
    });
    let connection = server::Builder::new().serve_connection(TokioIo::new(stream), service);
    connection.await.ok();
}
