//! Which frames count, and which change nothing.

#![expect(
    clippy::unwrap_used,
    reason = "The helpers of tests unwrap as their tests do."
)]

use jasminebend_ownership::{
    PeerBody,
    PeerMessage,
    PeerReport, //
};
use jasminebend_wire::{
    KeyRing,
    MAX_FRAME_BYTES,
    PeerCodec,
    PeerKey,
    ReplayWindow,
    WireBody,
    WireError, //
};
use serde::Serialize;

const ALICE: u64 = 11;
const BOB: u64 = 22;

fn key(byte: u8) -> PeerKey {
    PeerKey::new([byte; 32])
}

fn codec(nonce: u64) -> PeerCodec {
    PeerCodec::new(nonce, KeyRing::new(key(1)))
}

fn body() -> WireBody {
    WireBody::DocumentRequest { version: 7 }
}

#[test]
fn a_frame_arrives_as_it_was_sent() {
    let message = WireBody::Member(PeerMessage {
        from: 3.into(),
        epoch: 9,
        nonce: ALICE,
        to: BOB,
        body: PeerBody::Ask {
            number: 4,
            report: PeerReport {
                seats: vec![1, 2, 3],
                configuration: 5,
                in_force: 4,
                heard: 6,
            },
        },
    });
    let frame = codec(ALICE).encode(BOB, message.clone()).unwrap();
    assert_eq!(codec(BOB).decode(&frame), Ok((ALICE, message)));
}

/// What an attacker, a broken network or a daemon of another cluster may send.
#[test]
fn frames_that_do_not_count_are_told_apart() {
    let frame = codec(ALICE).encode(BOB, body()).unwrap();
    let mut flipped = frame.to_vec();
    flipped[5] ^= 1;
    let other_key = PeerCodec::new(ALICE, KeyRing::new(key(2)));
    let other_cluster = other_key.clone().encode(BOB, body()).unwrap();
    let for_another = codec(ALICE).encode(33, body()).unwrap();
    let cases: [(&str, &[u8], WireError); 7] = [
        ("nothing", &[], WireError::TooShort),
        ("garbage", &[0xAB; 90], WireError::NotAuthentic),
        (
            "cut short",
            &frame[..frame.len() - 1],
            WireError::NotAuthentic,
        ),
        ("one bit flipped", &flipped, WireError::NotAuthentic),
        ("another key", &other_cluster, WireError::NotAuthentic),
        (
            "for another process",
            &for_another,
            WireError::OtherRecipient,
        ),
        (
            "too large",
            &vec![0; MAX_FRAME_BYTES + 1],
            WireError::TooLarge,
        ),
    ];
    let mut receiver = codec(BOB);
    for (name, bytes, error) in cases {
        assert_eq!(receiver.decode(bytes), Err(error), "{name}");
    }
    assert!(
        receiver.decode(&frame).is_ok(),
        "what came before changed nothing"
    );
}

/// Somebody records a frame and sends it again, to the same process, later, and out of order.
#[test]
fn a_frame_counts_once_however_often_it_arrives() {
    let mut sender = codec(ALICE);
    let frames: Vec<_> = (0..3)
        .map(|_| sender.encode(BOB, body()).unwrap())
        .collect();
    let mut receiver = codec(BOB);
    assert!(receiver.decode(&frames[2]).is_ok());
    assert!(receiver.decode(&frames[0]).is_ok(), "late is not seen");
    assert_eq!(receiver.decode(&frames[2]), Err(WireError::Replayed));
    assert_eq!(receiver.decode(&frames[0]), Err(WireError::Replayed));
    assert!(receiver.decode(&frames[1]).is_ok());
}

#[test]
fn what_is_older_than_the_window_counts_as_seen() {
    let mut window = ReplayWindow::default();
    assert!(window.admit(100));
    assert!(window.admit(37));
    assert!(!window.admit(36));
    assert!(!window.admit(0));
    assert!(window.admit(1_000));
    assert!(!window.admit(100));
}

/// Operators replace the key daemon by daemon; at no moment may two of them fail to understand.
#[test]
fn keys_are_replaced_while_daemons_run() {
    let rings = [
        KeyRing::new(key(1)),
        KeyRing::new(key(1)).with_next(key(2)),
        KeyRing::new(key(2)).with_next(key(1)),
        KeyRing::new(key(2)),
    ];
    for pair in rings.windows(2) {
        for (from, to) in [(pair[0], pair[1]), (pair[1], pair[0])] {
            let frame = PeerCodec::new(ALICE, from).encode(BOB, body()).unwrap();
            assert!(PeerCodec::new(BOB, to).decode(&frame).is_ok());
        }
    }
    let frame = PeerCodec::new(ALICE, rings[0]).encode(BOB, body()).unwrap();
    assert!(PeerCodec::new(BOB, rings[3]).decode(&frame).is_err());
}

/// A payload as a later release might lay it out.
#[derive(Serialize)]
struct LaterPayload {
    sender: u64,
    recipient: u64,
    sequence: u64,
    body: WireBody,
    added: u32,
}

#[derive(Serialize)]
struct LaterKind {
    sender: u64,
    recipient: u64,
    sequence: u64,
    kind: u8,
}

fn sign(major: u8, minor: u8, payload: &impl Serialize) -> Vec<u8> {
    let mut frame = postcard::to_extend(payload, vec![major, minor]).unwrap();
    let hash = blake3::keyed_hash(&[1; 32], &frame);
    frame.extend_from_slice(hash.as_bytes());
    frame
}

/// During a roll-out daemons of two releases run side by side: the older one reads what it knows of
/// a newer frame, and ignores new kinds of messages and another major version.
#[test]
fn frames_of_a_later_release_are_read_as_far_as_they_are_known() {
    let later = LaterPayload {
        sender: ALICE,
        recipient: BOB,
        sequence: 1,
        body: body(),
        added: 5,
    };
    let kind = LaterKind {
        sender: ALICE,
        recipient: BOB,
        sequence: 2,
        kind: 99,
    };
    let mut receiver = codec(BOB);
    assert_eq!(receiver.decode(&sign(1, 1, &later)), Ok((ALICE, body())));
    assert_eq!(
        receiver.decode(&sign(1, 1, &kind)),
        Err(WireError::UnknownKind)
    );
    assert_eq!(
        receiver.decode(&sign(1, 0, &kind)),
        Err(WireError::Malformed)
    );
    assert_eq!(
        receiver.decode(&sign(2, 0, &later)),
        Err(WireError::OtherVersion)
    );
}

#[test]
fn secrets_are_long_enough_and_never_shown() {
    assert!(PeerKey::from_secret("short").is_err());
    let key = PeerKey::from_secret("long enough a secret").unwrap();
    assert_eq!(format!("{key:?}"), "PeerKey(hidden)");
}

#[test]
fn a_document_that_fits_no_frame_is_refused_by_its_sender() {
    let body = WireBody::Document {
        version: 1,
        document: vec![0; MAX_FRAME_BYTES],
    };
    assert_eq!(codec(ALICE).encode(BOB, body), Err(WireError::TooLarge));
}
