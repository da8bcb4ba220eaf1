//! The contract of [`PeerLink`], tested with each implementation. A new implementation is added to
//! `link_contract!`.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use jasminebend_cluster::{
    PeerLink,
    ProbeOutcome,
    TcpLink, //
};
use jasminebend_wire::MAX_FRAME_BYTES;
use tokio::{
    io::copy_bidirectional,
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::watch,
    time::timeout, //
};

use crate::memory_network::MemoryNetwork;

/// The maximum number of times that a frame is sent, as frames may be lost.
const MAX_SENDS: usize = 400;
/// The interval between repetitions of a frame.
const REPEAT_AFTER: Duration = Duration::from_millis(50);
/// The time limit of a test.
const TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of frames to receive in one call.
const MAX_RECEIVED_FRAMES: usize = 16;
/// The number of links that are closed while frames are sent to them.
const CLOSED_LINKS: usize = 200;

/// Two links that can reach each other.
type LinkPair = [Arc<dyn PeerLink>; 2];

fn in_memory_pair() -> LinkPair {
    let network = MemoryNetwork::default();
    [1, 2].map(|port| network.link(([10, 0, 0, 1], port).into()) as Arc<dyn PeerLink>)
}

fn tcp_link() -> Arc<dyn PeerLink> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Arc::new(TcpLink::new(any).unwrap())
}

fn tcp_pair() -> LinkPair {
    [tcp_link(), tcp_link()]
}

/// Sends a frame repeatedly until it is received; copies of earlier ones may be received before it.
async fn deliver(from: &dyn PeerLink, to: SocketAddr, receiver: &dyn PeerLink, frame: &Bytes) {
    for _ in 0..MAX_SENDS {
        from.send(to, frame.clone());
        let received = timeout(REPEAT_AFTER, receiver.receive(MAX_RECEIVED_FRAMES)).await;
        if received.is_ok_and(|frames| frames.contains(frame)) {
            return;
        }
    }
    panic!("the frame never arrived");
}

/// Guards against a link that alters frames, from 1 byte to the maximum size.
async fn frames_arrive_unaltered([sender, receiver]: LinkPair) {
    for size in [1, 100, 10_000, MAX_FRAME_BYTES] {
        let frame = Bytes::from(vec![0xa5; size]);
        deliver(&*sender, receiver.address(), &*receiver, &frame).await;
    }
}

/// Guards against a daemon that blocks while it sends to a terminated peer, so that it is regarded as
/// terminated itself.
async fn sending_to_a_closed_address_does_not_block([sender, receiver]: LinkPair) {
    let closed = receiver.address();
    receiver.close();
    for _ in 0..10_000 {
        sender.send(closed, Bytes::from_static(b"frame"));
    }
    sender.reset(closed);
    sender.send(closed, Bytes::from_static(b"frame"));
}

/// Guards against a probe that reports a running daemon as terminated, so that its resources are taken
/// over. Only an address that refuses connections proves termination.
async fn a_probe_returns_whether_a_process_listens([sender, receiver]: LinkPair) {
    assert_eq!(
        sender.probe(receiver.address()).await,
        ProbeOutcome::Listens
    );
    receiver.close();
    let refused =
        async { while sender.probe(receiver.address()).await != ProbeOutcome::Refused {} };
    timeout(TIMEOUT, refused).await.unwrap();
}

/// Guards against a daemon that cannot stop because its link never returns from `receive`.
async fn receiving_ends_when_a_link_is_closed([sender, receiver]: LinkPair) {
    receiver.close();
    let ended = async { while !receiver.receive(MAX_RECEIVED_FRAMES).await.is_empty() {} };
    timeout(TIMEOUT, ended).await.unwrap();
    sender.close();
}

/// Guards against a daemon that crashes when its peer dies: connections close while frames are sent on
/// them.
async fn sending_survives_connections_that_close(make: fn() -> LinkPair) {
    let frame = Bytes::from_static(b"frame");
    for _ in 0..CLOSED_LINKS {
        let [sender, receiver] = make();
        let to = receiver.address();
        deliver(&*sender, to, &*receiver, &frame).await;
        let closing = std::thread::spawn(move || receiver.close());
        while !closing.is_finished() {
            sender.send(to, frame.clone());
        }
        sender.send(to, frame.clone());
        sender.close();
    }
}

macro_rules! link_contract {
    ($($link:ident => $make:path),* $(,)?) => {$(
        mod $link {
            #[tokio::test]
            async fn frames_arrive_unaltered() {
                super::frames_arrive_unaltered($make()).await;
            }

            #[tokio::test]
            async fn sending_to_a_closed_address_does_not_block() {
                super::sending_to_a_closed_address_does_not_block($make()).await;
            }

            #[tokio::test]
            async fn a_probe_returns_whether_a_process_listens() {
                super::a_probe_returns_whether_a_process_listens($make()).await;
            }

            #[tokio::test]
            async fn receiving_ends_when_a_link_is_closed() {
                super::receiving_ends_when_a_link_is_closed($make()).await;
            }

            #[tokio::test]
            async fn sending_survives_connections_that_close() {
                super::sending_survives_connections_that_close($make).await;
            }
        }
    )*};
}

link_contract!(
    in_memory => crate::peer_link_contract::in_memory_pair,
    over_tcp => crate::peer_link_contract::tcp_pair,
);

/// Relays connections to an address. Once `silenced` is set, the relayed connections stay open and carry
/// nothing.
async fn relay(listener: TcpListener, to: SocketAddr, silenced: watch::Receiver<bool>) {
    loop {
        let (mut near, _) = listener.accept().await.unwrap();
        let mut far = TcpStream::connect(to).await.unwrap();
        let mut silenced = silenced.clone();
        silenced.mark_unchanged();
        tokio::spawn(async move {
            tokio::select! {
                _ = copy_bidirectional(&mut near, &mut far) => {}
                _ = silenced.changed() => std::future::pending().await,
            }
        });
    }
}

/// Guards against a daemon that loses its resources although the network works: a device between it and
/// its peers lost the state of their connections. A reset must open a new connection.
#[tokio::test]
async fn a_reset_replaces_a_silent_connection() {
    let [sender, receiver] = tcp_pair();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let relay_address = listener.local_addr().unwrap();
    let (silence, silenced) = watch::channel(false);
    tokio::spawn(relay(listener, receiver.address(), silenced));
    let before = Bytes::from_static(b"before");
    deliver(&*sender, relay_address, &*receiver, &before).await;
    silence.send_replace(true);
    sender.send(relay_address, Bytes::from_static(b"lost"));
    let lost = timeout(REPEAT_AFTER, receiver.receive(MAX_RECEIVED_FRAMES)).await;
    let repeated = |frames: &Vec<Bytes>| frames.iter().all(|frame| *frame == before);
    assert!(lost.as_ref().map_or(true, repeated), "{lost:?}");
    sender.reset(relay_address);
    let after = Bytes::from_static(b"after");
    deliver(&*sender, relay_address, &*receiver, &after).await;
}
