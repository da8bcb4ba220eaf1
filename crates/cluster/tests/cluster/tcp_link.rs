//! The TCP link between daemons: addresses, invalid input, and the lifetime of connections.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use bytes::Bytes;
use jasminebend_cluster::{
    PeerLink,
    ProbeOutcome,
    TcpLink, //
};
use jasminebend_wire::MAX_FRAME_BYTES;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    time::timeout, //
};

const TIMEOUT: Duration = Duration::from_secs(10);
const REPEAT_AFTER: Duration = Duration::from_millis(20);
/// Longer than a connection or a reconnection attempt to an unused peer may last.
const LONGER_THAN_IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// The greeting of a receiver of frames.
const RECEIVER_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// Guards against a wrong address in the link: a daemon that listened on a free port announced that
/// port with its bytes swapped. Its peers got no frames through, the wrong address refused connections,
/// and the live daemon was regarded as terminated, so that callers were refused.
#[tokio::test]
async fn a_link_returns_the_address_at_which_it_is_reached() {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listening = TcpLink::new(any_port).expect("a free port of loopback");
    let sending = TcpLink::new(any_port).expect("a free port of loopback");
    let address = listening.address();
    assert_eq!(sending.probe(address).await, ProbeOutcome::Listens);
    let frame = Bytes::from_static(b"frame");
    let received = async {
        loop {
            sending.send(address, frame.clone());
            if let Ok(frames) = timeout(Duration::from_millis(100), listening.receive(1)).await {
                return frames;
            }
        }
    };
    let received = timeout(TIMEOUT, received).await.expect("the frame arrives");
    assert_eq!(received, [frame]);
}

/// Guards against invalid bytes that stop a daemon: they must close only the connection on which they
/// arrived.
#[tokio::test]
async fn invalid_bytes_close_only_their_own_connection() {
    const SENDER_GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listening = TcpLink::new(any_port).expect("a free port of loopback");
    let too_long = [&SENDER_GREETING[..], &[0xff; 8]].concat();
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &too_long] {
        let mut client = TcpStream::connect(listening.address())
            .await
            .expect("the link listens");
        // The link may have closed the connection already.
        drop(client.write_all(bytes).await);
        let ended = async { while !matches!(client.read(&mut [0; 64]).await, Ok(0) | Err(_)) {} };
        timeout(TIMEOUT, ended).await.expect("the connection ends");
    }
    let sending = TcpLink::new(any_port).expect("a free port of loopback");
    let frame = Bytes::from_static(b"frame");
    sending.send(listening.address(), frame.clone());
    let received = timeout(TIMEOUT, listening.receive(1)).await;
    assert_eq!(received.expect("the frame arrives"), [frame]);
}

/// Starts a link that sends a frame to a listener of the test. Returns the link, the listener and its
/// address.
async fn send_to_peer(frame: Bytes) -> (TcpLink, TcpListener, SocketAddr) {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let peer = TcpListener::bind(any_port).await.expect("a free port");
    let address = peer.local_addr().expect("the listener is bound");
    let sending = TcpLink::new(any_port).expect("a free port of loopback");
    sending.send(address, frame);
    (sending, peer, address)
}

/// Accepts a connection and greets the sender as a receiver of frames does.
async fn accept(peer: &TcpListener) -> TcpStream {
    let (mut stream, _) = peer.accept().await.expect("the link connects");
    stream
        .write_all(&RECEIVER_GREETING)
        .await
        .expect("the connection is open");
    stream
}

/// Guards against a sender that blocks forever: its peer was paused, and unread frames filled the
/// connection.
#[tokio::test]
async fn a_connection_to_a_peer_that_does_not_read_is_replaced() {
    let frame = Bytes::from(vec![0; MAX_FRAME_BYTES]);
    let (sending, peer, address) = send_to_peer(frame.clone()).await;
    let _paused = accept(&peer).await;
    let replaced = async {
        while timeout(REPEAT_AFTER, peer.accept()).await.is_err() {
            sending.send(address, frame.clone());
        }
    };
    let replaced = timeout(TIMEOUT, replaced).await;
    assert!(replaced.is_ok(), "the link opens a new connection");
}

/// Guards against a daemon that keeps a connection to every former peer: peers are replaced each day.
#[tokio::test(start_paused = true)]
async fn an_idle_connection_to_a_peer_is_closed() {
    let (_sending, peer, _) = send_to_peer(Bytes::from_static(b"frame")).await;
    let mut replaced = accept(&peer).await;
    let closed = async { while !matches!(replaced.read(&mut [0; 64]).await, Ok(0) | Err(_)) {} };
    let closed = timeout(LONGER_THAN_IDLE_TIMEOUT, closed).await;
    assert!(closed.is_ok(), "the connection is still open");
}

/// Guards against a daemon that keeps trying to connect to every former peer.
#[tokio::test(start_paused = true)]
async fn a_link_stops_connecting_to_an_unused_address() {
    let (_sending, peer, _) = send_to_peer(Bytes::from_static(b"frame")).await;
    let mut connections = 0;
    while timeout(LONGER_THAN_IDLE_TIMEOUT, peer.accept())
        .await
        .is_ok()
    {
        connections += 1;
        assert!(connections < 100, "the link keeps connecting");
    }
}
