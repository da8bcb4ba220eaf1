//! What comes over the network between daemons and must change nothing.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use jasminebend_cluster::{
    ClusterHandle,
    PeerLink,
    ProbeOutcome, //
    TcpLink,
};
use jasminebend_ownership::{
    PeerBody,
    PeerMessage,
    PeerReport, //
};
use jasminebend_standins::{
    FaultKind,
    OutageState, //
};
use jasminebend_wire::{
    KeyRing,
    MAX_FRAME_BYTES,
    PeerCodec,
    PeerKey,
    WireBody, //
};
use tokio::time::timeout;

use crate::harness::{
    KEY,
    RESOURCES,
    TestCluster,
    settle,
    sleep_ms,
    watch_holders, //
};

fn report(epoch: u64) -> PeerReport {
    PeerReport {
        seats: vec![epoch; 5],
        configuration: epoch,
        in_force: epoch,
        heard: u64::MAX,
    }
}

/// Garbage, recorded frames, and frames under another key reach a daemon, thousands of them: it goes
/// on as if nothing had come.
#[tokio::test(start_paused = true)]
async fn garbage_replays_and_strangers_change_nothing() {
    let mut cluster = TestCluster::new(5);
    let handles = cluster.start_all(4).await;
    let recorded = cluster.net.record(TestCluster::address(2));
    sleep_ms(2_000).await;
    let recorded: Vec<Bytes> = recorded.lock().unwrap().clone();
    assert!(recorded.len() > 10);
    let stranger = PeerKey::from_secret("a secret of another cluster").unwrap();
    let mut stranger = PeerCodec::new(5, KeyRing::new(stranger));
    for round in 0..20 {
        for frame in &recorded {
            cluster.net.inject(TestCluster::address(2), frame.clone());
            cluster.net.inject(TestCluster::address(3), frame.clone());
        }
        let body = WireBody::Member(PeerMessage {
            from: 1.into(),
            epoch: 1_000,
            nonce: 5,
            to: round,
            body: PeerBody::Ask {
                number: round,
                report: report(1_000),
            },
        });
        let frame = stranger.encode(round, body).unwrap();
        cluster.net.inject(TestCluster::address(2), frame);
        let garbage = vec![round as u8; 3_000];
        cluster
            .net
            .inject(TestCluster::address(2), Bytes::from(garbage));
        assert_eq!(watch_holders(&handles, 500).await, RESOURCES);
    }
    settle(&handles).await;
}

/// Half of the daemons run a later release, whose frames carry more than the others know. They must
/// hear each other all the same, also without the table, where everything rests on their frames.
#[tokio::test(start_paused = true)]
async fn daemons_of_two_releases_run_side_by_side() {
    let mut cluster = TestCluster::new(5);
    cluster.net.upgrade(TestCluster::address(1));
    cluster.net.upgrade(TestCluster::address(3));
    let handles = cluster.start_all(4).await;
    let outage = OutageState::Down(FaultKind::Unreachable);
    cluster.table.faults().set_outage(outage);
    assert_eq!(watch_holders(&handles, 10_000).await, RESOURCES);
    let heard = |handle: &ClusterHandle| handle.status().members.iter().all(|one| one.heard);
    assert!(handles.iter().all(heard));
}

/// Operators replace the key of all daemons, one by one, while these run.
#[tokio::test(start_paused = true)]
async fn keys_are_replaced_without_a_restart() {
    let mut cluster = TestCluster::new(5);
    let handles = cluster.start_all(4).await;
    let old = PeerKey::new(KEY);
    let new = PeerKey::from_secret("the secret that follows it").unwrap();
    let steps = [
        KeyRing::new(old).with_next(new),
        KeyRing::new(new).with_next(old),
        KeyRing::new(new),
    ];
    for ring in steps {
        for handle in &handles {
            handle.set_keys(ring);
            assert_eq!(watch_holders(&handles, 1_500).await, RESOURCES);
        }
    }
    let heard = |handle: &ClusterHandle| handle.status().members.iter().all(|member| member.heard);
    assert!(handles.iter().all(heard));
}

/// The contract of the link over TCP: what arrives is what was sent, a frame that is too large or
/// for nobody harms nothing, and a refused connection is told from silence.
#[tokio::test]
async fn the_link_over_tcp_keeps_its_contract() {
    let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let one = TcpLink::new(listen).unwrap();
    let other = TcpLink::new(listen).unwrap();
    assert_ne!(one.address().port(), 0);
    one.send(other.address(), Bytes::from(vec![0; MAX_FRAME_BYTES * 2]));
    one.send(
        "127.0.0.1:9".parse().unwrap(),
        Bytes::from_static(b"nobody"),
    );
    let frame = Bytes::from_static(b"hello");
    let received = deliver(&one, &other, &frame).await;
    let unaltered = received.iter().all(|received| *received == frame);
    assert!(unaltered && !received.is_empty(), "{received:?}");
    one.reset(other.address());
    assert!(
        !deliver(&one, &other, &frame).await.is_empty(),
        "a new connection works"
    );
    assert_eq!(one.probe(other.address()).await, ProbeOutcome::Listens);
    let address = other.address();
    other.close();
    // What had arrived before is still handed out; then closing ends the receiver.
    while !other.receive(8).await.is_empty() {}
    assert_eq!(one.probe(address).await, ProbeOutcome::Refused);
    one.close();
}

/// Sends until something arrives, as heartbeats do: a frame may be lost while a connection is made.
async fn deliver(one: &TcpLink, other: &TcpLink, frame: &Bytes) -> Vec<Bytes> {
    for _ in 0..400 {
        one.send(other.address(), frame.clone());
        let wait = Duration::from_millis(50);
        if let Ok(frames) = timeout(wait, other.receive(8)).await {
            return frames;
        }
    }
    Vec::new()
}
