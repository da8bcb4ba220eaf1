//! Listeners whose clients hold little memory of the kernel.

use std::net::SocketAddr;

use jasminebend_ingress::listen;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpSocket,
        TcpStream, //
    },
};

const SENT_BYTES: usize = 64 << 20;
/// The kernel doubles the size that is set, for its own use.
const MAX_BUFFER_BYTES: u32 = 2 * (64 << 10);

/// Guards against clients that hold megabytes of the kernel's memory each: the buffer of a connection that was read fast grows,
/// and stays as large when it is read no more.
#[tokio::test]
async fn the_receive_buffer_of_a_connection_does_not_grow() {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let client = tokio::spawn(async move {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        stream
            .write_all(&vec![0; SENT_BYTES])
            .await
            .expect("a reader");
    });
    let (mut stream, _) = listener.accept().await.expect("a client");
    let mut buffer = vec![0; 1 << 20];
    while stream.read(&mut buffer).await.expect("a client") > 0 {}
    client.await.expect("a client");
    let stream = stream.into_std().expect("a socket");
    let size = TcpSocket::from_std_stream(stream).recv_buffer_size();
    assert!(size.expect("a size") <= MAX_BUFFER_BYTES);
}
