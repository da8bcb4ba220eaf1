//! Frames between daemons: invalid ones are ignored, and releases and keys can be mixed.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bytes::Bytes;
use jasminebend_cluster::{
    ClusterHandle,
    PeerLink,
    ProbeOutcome,
    TcpLink, //
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
    PEER_KEY,
    RESOURCE_COUNT,
    TestCluster,
    check_exclusive_holders,
    sleep_ms,
    wait_until_balanced, //
};

/// Returns a report that contains `epoch` as the epoch of each seat and as the configuration version,
/// and that claims recent messages from all members.
fn report(epoch: u64) -> PeerReport {
    PeerReport {
        seats: vec![epoch; 5],
        configuration: epoch,
        in_force: epoch,
        heard: u64::MAX,
    }
}

/// Guards against frames that change the state of a daemon although they are garbage, replayed, or
/// signed with the key of another cluster.
#[tokio::test(start_paused = true)]
async fn garbage_replayed_and_foreign_frames_are_ignored() {
    let mut cluster = TestCluster::new(5);
    let handles = cluster.start_all(4).await;
    let recorded = cluster.network.record(TestCluster::address(2));
    sleep_ms(2_000).await;
    let recorded: Vec<Bytes> = recorded.lock().unwrap().clone();
    assert!(recorded.len() > 10);
    let foreign_key = PeerKey::from_secret("a secret of another cluster").unwrap();
    let mut foreign_codec = PeerCodec::new(5, KeyRing::new(foreign_key));
    for round in 0..20 {
        for frame in &recorded {
            cluster
                .network
                .inject(TestCluster::address(2), frame.clone());
            cluster
                .network
                .inject(TestCluster::address(3), frame.clone());
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
        let frame = foreign_codec.encode(round, body).unwrap();
        cluster.network.inject(TestCluster::address(2), frame);
        let garbage = vec![round as u8; 3_000];
        cluster
            .network
            .inject(TestCluster::address(2), Bytes::from(garbage));
        assert_eq!(check_exclusive_holders(&handles, 500).await, RESOURCE_COUNT);
    }
    wait_until_balanced(&handles).await;
}

/// Guards against two releases that cannot exchange frames: half of the daemons run a later release,
/// whose frames have an additional field. Without the table, all resources depend on these frames.
#[tokio::test(start_paused = true)]
async fn daemons_of_two_releases_run_side_by_side() {
    let mut cluster = TestCluster::new(5);
    cluster
        .network
        .send_as_later_release(TestCluster::address(1));
    cluster
        .network
        .send_as_later_release(TestCluster::address(3));
    let handles = cluster.start_all(4).await;
    let outage = OutageState::Down(FaultKind::Unreachable);
    cluster.table.faults().set_outage(outage);
    assert_eq!(
        check_exclusive_holders(&handles, 10_000).await,
        RESOURCE_COUNT
    );
    let hears_all =
        |handle: &ClusterHandle| handle.status().members.iter().all(|member| member.heard);
    assert!(handles.iter().all(hears_all));
}

/// Guards against an interruption while operators replace the key at all running daemons one by one.
#[tokio::test(start_paused = true)]
async fn keys_are_replaced_without_a_restart() {
    let mut cluster = TestCluster::new(5);
    let handles = cluster.start_all(4).await;
    let old = PeerKey::new(PEER_KEY);
    let new = PeerKey::from_secret("the secret that follows it").unwrap();
    let steps = [
        KeyRing::new(old).with_next_key(new),
        KeyRing::new(new).with_next_key(old),
        KeyRing::new(new),
    ];
    for ring in steps {
        for handle in &handles {
            handle.set_keys(ring);
            assert_eq!(
                check_exclusive_holders(&handles, 1_500).await,
                RESOURCE_COUNT
            );
        }
    }
    let hears_all =
        |handle: &ClusterHandle| handle.status().members.iter().all(|member| member.heard);
    assert!(handles.iter().all(hears_all));
}

/// Guards against a TCP link that alters frames, that fails after a frame which is too large or has no
/// receiver, or whose probe does not detect a refused connection.
#[tokio::test]
async fn tcp_links_deliver_frames_and_probe_addresses() {
    let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let sender = TcpLink::new(listen).unwrap();
    let receiver = TcpLink::new(listen).unwrap();
    assert_ne!(sender.address().port(), 0);
    sender.send(
        receiver.address(),
        Bytes::from(vec![0; MAX_FRAME_BYTES * 2]),
    );
    sender.send(
        "127.0.0.1:9".parse().unwrap(),
        Bytes::from_static(b"nobody"),
    );
    let frame = Bytes::from_static(b"hello");
    let received = deliver(&sender, &receiver, &frame).await;
    let unaltered = received.iter().all(|received| *received == frame);
    assert!(unaltered && !received.is_empty(), "{received:?}");
    sender.reset(receiver.address());
    assert!(
        !deliver(&sender, &receiver, &frame).await.is_empty(),
        "a new connection works"
    );
    assert_eq!(
        sender.probe(receiver.address()).await,
        ProbeOutcome::Listens
    );
    let address = receiver.address();
    receiver.close();
    // Frames received before are still returned, and then the empty result of a closed link.
    while !receiver.receive(8).await.is_empty() {}
    assert_eq!(sender.probe(address).await, ProbeOutcome::Refused);
    sender.close();
}

/// Sends a frame repeatedly until frames are received, and returns them: a frame may be lost while a
/// connection is opened.
async fn deliver(sender: &TcpLink, receiver: &TcpLink, frame: &Bytes) -> Vec<Bytes> {
    for _ in 0..400 {
        sender.send(receiver.address(), frame.clone());
        let wait = Duration::from_millis(50);
        if let Ok(frames) = timeout(wait, receiver.receive(8)).await {
            return frames;
        }
    }
    Vec::new()
}
