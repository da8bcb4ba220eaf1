//! The network between daemons over nng.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use bytes::Bytes;
use jasminebend_cluster::{
    NngLink,
    PeerLink,
    ProbeOutcome, //
};
use tokio::time::timeout;

const LONGEST: Duration = Duration::from_secs(10);

/// Operators would see daemons that live called gone, and callers refused now and then: a daemon
/// that listens on a free port told its peers that port with its bytes swapped, nobody heard it,
/// its address refused, and so it was taken for dead.
#[tokio::test]
async fn a_link_tells_the_address_that_it_is_reached_at() {
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listening = NngLink::new(free).expect("a free port of loopback");
    let sending = NngLink::new(free).expect("a free port of loopback");
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
