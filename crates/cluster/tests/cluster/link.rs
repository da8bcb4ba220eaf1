//! The network between daemons over TCP.

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
    ProbeOutcome, //
    TcpLink,
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

const LONGEST: Duration = Duration::from_secs(10);
const REPEAT_AFTER: Duration = Duration::from_millis(20);
/// Longer than anything is kept for a peer that nothing is sent to.
const IDLE: Duration = Duration::from_secs(600);
/// What a receiver of frames says first.
const RECEIVER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// Operators would see daemons that live called gone, and callers refused now and then: a daemon
/// that listens on a free port told its peers that port with its bytes swapped, nobody heard it,
/// its address refused, and so it was taken for dead.
#[tokio::test]
async fn a_link_tells_the_address_that_it_is_reached_at() {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listening = TcpLink::new(free).expect("a free port of loopback");
    let sending = TcpLink::new(free).expect("a free port of loopback");
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
    let received = timeout(LONGEST, received).await.expect("the frame arrives");
    assert_eq!(received, [frame]);
}

/// Guards against a daemon that a stranger's bytes stop: they end only the connection that brought them.
#[tokio::test]
async fn bytes_that_are_no_frame_end_their_own_connection_alone() {
    const GREETING: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listening = TcpLink::new(free).expect("a free port of loopback");
    let too_long = [&GREETING[..], &[0xff; 8]].concat();
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &too_long] {
        let mut stranger = TcpStream::connect(listening.address())
            .await
            .expect("it listens");
        // The other side may have closed it already.
        drop(stranger.write_all(bytes).await);
        let ended = async { while !matches!(stranger.read(&mut [0; 64]).await, Ok(0) | Err(_)) {} };
        timeout(LONGEST, ended).await.expect("the connection ends");
    }
    let sending = TcpLink::new(free).expect("a free port of loopback");
    let frame = Bytes::from_static(b"frame");
    sending.send(listening.address(), frame.clone());
    let received = timeout(LONGEST, listening.receive(1)).await;
    assert_eq!(received.expect("the frame arrives"), [frame]);
}

/// Has a link send a frame to a peer that the test plays.
async fn send_to_peer(frame: Bytes) -> (TcpLink, TcpListener, SocketAddr) {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let peer = TcpListener::bind(free).await.expect("a free port");
    let address = peer.local_addr().expect("it is bound");
    let sending = TcpLink::new(free).expect("a free port of loopback");
    sending.send(address, frame);
    (sending, peer, address)
}

/// Takes a connection as a receiver of frames does.
async fn accept(peer: &TcpListener) -> TcpStream {
    let (mut stream, _) = peer.accept().await.expect("it connects");
    stream.write_all(&RECEIVER).await.expect("it is open");
    stream
}

/// Guards against a sender that waits for good: its peer was paused, and frames filled the connection.
#[tokio::test]
async fn a_connection_whose_peer_reads_nothing_is_replaced() {
    let frame = Bytes::from(vec![0; MAX_FRAME_BYTES]);
    let (sending, peer, address) = send_to_peer(frame.clone()).await;
    let _paused = accept(&peer).await;
    let replaced = async {
        while timeout(REPEAT_AFTER, peer.accept()).await.is_err() {
            sending.send(address, frame.clone());
        }
    };
    let replaced = timeout(LONGEST, replaced).await;
    assert!(replaced.is_ok(), "it connects anew");
}

/// Guards against a daemon that keeps a connection to every peer that there ever was: peers are replaced each day.
#[tokio::test(start_paused = true)]
async fn a_connection_that_nothing_is_sent_on_is_closed() {
    let (_sending, peer, _) = send_to_peer(Bytes::from_static(b"frame")).await;
    let mut replaced = accept(&peer).await;
    let closed = async { while !matches!(replaced.read(&mut [0; 64]).await, Ok(0) | Err(_)) {} };
    let closed = timeout(IDLE, closed).await;
    assert!(closed.is_ok(), "it is still open");
}

/// Guards against a daemon that goes on calling every peer that there ever was.
#[tokio::test(start_paused = true)]
async fn an_address_that_nothing_is_sent_to_is_not_called() {
    let (_sending, peer, _) = send_to_peer(Bytes::from_static(b"frame")).await;
    let mut calls = 0;
    while timeout(IDLE, peer.accept()).await.is_ok() {
        calls += 1;
        assert!(calls < 100, "it is called again and again");
    }
}
