//! What every network between daemons must do. A new one is one more line at the end.

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
    ProbeOutcome, //
    TcpLink,
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

use crate::memory_net::MemoryNet;

/// A frame may be lost, so that a sender repeats it.
const TRIES: usize = 400;
const REPEAT_AFTER: Duration = Duration::from_millis(50);
/// So long that no case ends by it.
const PATIENCE: Duration = Duration::from_secs(30);
const MOST: usize = 16;
/// How many connections end while frames are sent.
const ENDS: usize = 200;

type LinkPair = [Arc<dyn PeerLink>; 2];

fn in_memory_pair() -> LinkPair {
    let net = MemoryNet::default();
    [1, 2].map(|port| net.link(([10, 0, 0, 1], port).into()) as Arc<dyn PeerLink>)
}

fn tcp_link() -> Arc<dyn PeerLink> {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Arc::new(TcpLink::new(any).unwrap())
}

fn tcp_pair() -> LinkPair {
    [tcp_link(), tcp_link()]
}

/// Sends a frame until it arrives; copies of earlier ones may arrive before it.
async fn deliver(from: &dyn PeerLink, to: SocketAddr, at: &dyn PeerLink, frame: &Bytes) {
    for _ in 0..TRIES {
        from.send(to, frame.clone());
        let received = timeout(REPEAT_AFTER, at.receive(MOST)).await;
        if received.is_ok_and(|frames| frames.contains(frame)) {
            return;
        }
    }
    panic!("the frame never arrived");
}

async fn frames_arrive_unaltered([one, other]: LinkPair) {
    for size in [1, 100, 10_000, MAX_FRAME_BYTES] {
        let frame = Bytes::from(vec![0xa5; size]);
        deliver(&*one, other.address(), &*other, &frame).await;
    }
}

/// A daemon hangs, and is taken for gone: it sent to a peer that is gone, and waited for it.
async fn sending_to_nobody_waits_for_nothing([one, other]: LinkPair) {
    let gone = other.address();
    other.close();
    for _ in 0..10_000 {
        one.send(gone, Bytes::from_static(b"frame"));
    }
    one.reset(gone);
    one.send(gone, Bytes::from_static(b"frame"));
}

/// Shares of a living daemon are taken: it is taken for gone. Only an address that refuses says so.
async fn a_probe_tells_who_listens([one, other]: LinkPair) {
    assert_eq!(one.probe(other.address()).await, ProbeOutcome::Listens);
    other.close();
    let refused = async { while one.probe(other.address()).await != ProbeOutcome::Refused {} };
    timeout(PATIENCE, refused).await.unwrap();
}

async fn a_closed_link_ends_its_receiver([one, other]: LinkPair) {
    other.close();
    let ended = async { while !other.receive(MOST).await.is_empty() {} };
    timeout(PATIENCE, ended).await.unwrap();
    one.close();
}

/// Guards against the death of a daemon whose peer dies: connections end while frames are sent on them.
async fn connections_that_end_under_a_sender_harm_nothing(make: fn() -> LinkPair) {
    let frame = Bytes::from_static(b"frame");
    for _ in 0..ENDS {
        let [one, other] = make();
        let to = other.address();
        deliver(&*one, to, &*other, &frame).await;
        let ending = std::thread::spawn(move || other.close());
        while !ending.is_finished() {
            one.send(to, frame.clone());
        }
        one.send(to, frame.clone());
        one.close();
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
            async fn sending_to_nobody_waits_for_nothing() {
                super::sending_to_nobody_waits_for_nothing($make()).await;
            }

            #[tokio::test]
            async fn a_probe_tells_who_listens() {
                super::a_probe_tells_who_listens($make()).await;
            }

            #[tokio::test]
            async fn a_closed_link_ends_its_receiver() {
                super::a_closed_link_ends_its_receiver($make()).await;
            }

            #[tokio::test]
            async fn connections_that_end_under_a_sender_harm_nothing() {
                super::connections_that_end_under_a_sender_harm_nothing($make).await;
            }
        }
    )*};
}

link_contract!(
    in_memory => crate::peer_link::in_memory_pair,
    over_tcp => crate::peer_link::tcp_pair,
);

/// Relays connections until it is told to hold them open and pass nothing on.
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

/// A daemon loses all that it holds though the network is well: something between it and its peers
/// lost track of their connections. A reset connects anew.
#[tokio::test]
async fn a_reset_replaces_a_connection_that_went_silent() {
    let [one, other] = tcp_pair();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let between = listener.local_addr().unwrap();
    let (silence, silenced) = watch::channel(false);
    tokio::spawn(relay(listener, other.address(), silenced));
    let before = Bytes::from_static(b"before");
    deliver(&*one, between, &*other, &before).await;
    silence.send_replace(true);
    one.send(between, Bytes::from_static(b"lost"));
    let lost = timeout(REPEAT_AFTER, other.receive(MOST)).await;
    let repeated = |frames: &Vec<Bytes>| frames.iter().all(|frame| *frame == before);
    assert!(lost.as_ref().map_or(true, repeated), "{lost:?}");
    one.reset(between);
    let after = Bytes::from_static(b"after");
    deliver(&*one, between, &*other, &after).await;
}
