//! Runs servers on their own threads and counts the bytes of calls to them.

use std::{
    future::Future,
    net::SocketAddr,
    sync::mpsc,
    thread, //
};

use jasminebend_standins::ServerGuard;
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    runtime::{
        Builder,
        Runtime, //
    }, //
};

pub(crate) fn runtime() -> Runtime {
    Builder::new_current_thread().enable_all().build().unwrap()
}

/// Starts a server on its own thread until the process ends, and returns its address.
pub(crate) fn serve_on_own_thread<Serve, Served>(serve: Serve) -> SocketAddr
where
    Serve: FnOnce() -> Served + Send + 'static,
    Served: Future<Output = (SocketAddr, ServerGuard)>,
{
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        runtime().block_on(async {
            let (address, _guard) = serve().await;
            sender.send(address).unwrap();
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().unwrap()
}

/// Relays one connection to `server`, and returns the numbers of bytes sent and received by the client.
async fn relay(listener: TcpListener, server: SocketAddr) -> (u64, u64) {
    let (mut client, _) = listener.accept().await.unwrap();
    let mut server = TcpStream::connect(server).await.unwrap();
    tokio::io::copy_bidirectional(&mut client, &mut server)
        .await
        .unwrap()
}

/// Returns the numbers of bytes that one call through an adapter sends and receives.
pub(crate) fn count_wire_bytes<Adapter, Make, Call>(
    server: SocketAddr,
    make: Make,
    call: Call,
) -> (u64, u64)
where
    Make: Fn(SocketAddr) -> Adapter,
    Call: AsyncFn(&Adapter, SocketAddr),
{
    runtime().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let relay = tokio::spawn(relay(listener, server));
        let adapter = make(address);
        call(&adapter, address).await;
        drop(adapter);
        relay.await.unwrap()
    })
}
