//! Tests of the peer codec: which frames are accepted and which are rejected, the replay window,
//! and the replacement of keys.

#![expect(
    clippy::unwrap_used,
    reason = "Test helpers panic on failure as the tests do."
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

const SENDER_NONCE: u64 = 11;
const RECIPIENT_NONCE: u64 = 22;

/// Returns a key whose bytes all have this value.
fn key_of_byte(byte: u8) -> PeerKey {
    PeerKey::new([byte; 32])
}

fn new_codec(nonce: u64) -> PeerCodec {
    PeerCodec::new(nonce, KeyRing::new(key_of_byte(1)))
}

fn document_request() -> WireBody {
    WireBody::DocumentRequest { version: 7 }
}

/// Guards against a message that is changed by encoding and decoding.
#[test]
fn a_frame_decodes_to_the_message_that_was_encoded() {
    let message = WireBody::Member(PeerMessage {
        from: 3.into(),
        epoch: 9,
        nonce: SENDER_NONCE,
        to: RECIPIENT_NONCE,
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
    let frame = new_codec(SENDER_NONCE)
        .encode(RECIPIENT_NONCE, message.clone())
        .unwrap();
    assert_eq!(
        new_codec(RECIPIENT_NONCE).decode(&frame),
        Ok((SENDER_NONCE, message))
    );
}

/// Guards against accepting frames from an attacker, from a faulty network or from a daemon of
/// another cluster: each kind is rejected with its own error, and none affects the next valid
/// frame.
#[test]
fn each_invalid_frame_is_rejected_with_its_own_error() {
    let frame = new_codec(SENDER_NONCE)
        .encode(RECIPIENT_NONCE, document_request())
        .unwrap();
    let mut flipped = frame.to_vec();
    flipped[5] ^= 1;
    let other_key = PeerCodec::new(SENDER_NONCE, KeyRing::new(key_of_byte(2)));
    let other_cluster = other_key
        .clone()
        .encode(RECIPIENT_NONCE, document_request())
        .unwrap();
    let for_other_recipient = new_codec(SENDER_NONCE)
        .encode(33, document_request())
        .unwrap();
    let cases: [(&str, &[u8], WireError); 7] = [
        ("empty", &[], WireError::TooShort),
        ("random bytes", &[0xAB; 90], WireError::InvalidHash),
        (
            "truncated",
            &frame[..frame.len() - 1],
            WireError::InvalidHash,
        ),
        ("one bit flipped", &flipped, WireError::InvalidHash),
        ("another key", &other_cluster, WireError::InvalidHash),
        (
            "for another process",
            &for_other_recipient,
            WireError::OtherRecipient,
        ),
        (
            "too large",
            &vec![0; MAX_FRAME_BYTES + 1],
            WireError::TooLarge,
        ),
    ];
    let mut receiver = new_codec(RECIPIENT_NONCE);
    for (case, bytes, error) in cases {
        assert_eq!(receiver.decode(bytes), Err(error), "{case}");
    }
    assert!(
        receiver.decode(&frame).is_ok(),
        "a rejected frame affected the next valid one"
    );
}

/// Guards against a replay attack: a recorded frame is sent to the same process again, later and
/// out of order.
#[test]
fn a_repeated_frame_is_accepted_only_once() {
    let mut sender = new_codec(SENDER_NONCE);
    let frames: Vec<_> = (0..3)
        .map(|_| sender.encode(RECIPIENT_NONCE, document_request()).unwrap())
        .collect();
    let mut receiver = new_codec(RECIPIENT_NONCE);
    assert!(receiver.decode(&frames[2]).is_ok());
    assert!(
        receiver.decode(&frames[0]).is_ok(),
        "a late frame was not received before"
    );
    assert_eq!(receiver.decode(&frames[2]), Err(WireError::Replayed));
    assert_eq!(receiver.decode(&frames[0]), Err(WireError::Replayed));
    assert!(receiver.decode(&frames[1]).is_ok());
}

/// Guards against a replay of a frame that is older than the replay window records.
#[test]
fn a_sequence_number_below_the_replay_window_is_rejected() {
    let mut window = ReplayWindow::default();
    assert!(window.record(100));
    assert!(window.record(37));
    assert!(!window.record(36));
    assert!(!window.record(0));
    assert!(window.record(1_000));
    assert!(!window.record(100));
}

/// Guards against an outage while operators replace the key daemon by daemon: any two daemons in
/// successive steps of the replacement must accept each other's frames.
#[test]
fn daemons_in_successive_steps_of_a_key_replacement_accept_each_other() {
    let rings = [
        KeyRing::new(key_of_byte(1)),
        KeyRing::new(key_of_byte(1)).with_next_key(key_of_byte(2)),
        KeyRing::new(key_of_byte(2)).with_next_key(key_of_byte(1)),
        KeyRing::new(key_of_byte(2)),
    ];
    for pair in rings.windows(2) {
        for (from, to) in [(pair[0], pair[1]), (pair[1], pair[0])] {
            let frame = PeerCodec::new(SENDER_NONCE, from)
                .encode(RECIPIENT_NONCE, document_request())
                .unwrap();
            assert!(PeerCodec::new(RECIPIENT_NONCE, to).decode(&frame).is_ok());
        }
    }
    let frame = PeerCodec::new(SENDER_NONCE, rings[0])
        .encode(RECIPIENT_NONCE, document_request())
        .unwrap();
    assert!(
        PeerCodec::new(RECIPIENT_NONCE, rings[3])
            .decode(&frame)
            .is_err()
    );
}

/// The payload of a later minor version that appends a field.
#[derive(Serialize)]
struct PayloadWithAddedField {
    sender: u64,
    recipient: u64,
    sequence: u64,
    body: WireBody,
    added_field: u32,
}

/// The payload of a later minor version that adds a kind of message.
#[derive(Serialize)]
struct PayloadOfNewKind {
    sender: u64,
    recipient: u64,
    sequence: u64,
    kind: u8,
}

/// Encodes a payload as a frame with these versions and a valid hash.
fn sign_frame(major_version: u8, minor_version: u8, payload: &impl Serialize) -> Vec<u8> {
    let mut frame = postcard::to_extend(payload, vec![major_version, minor_version]).unwrap();
    let hash = blake3::keyed_hash(&[1; 32], &frame);
    frame.extend_from_slice(hash.as_bytes());
    frame
}

/// Guards against a rolling upgrade in which daemons of two releases can't communicate. The older
/// one decodes the part of a newer frame that it knows, and ignores new kinds of messages and other
/// major versions.
#[test]
fn the_known_part_of_a_frame_of_a_later_release_is_decoded() {
    let with_added_field = PayloadWithAddedField {
        sender: SENDER_NONCE,
        recipient: RECIPIENT_NONCE,
        sequence: 1,
        body: document_request(),
        added_field: 5,
    };
    let new_kind = PayloadOfNewKind {
        sender: SENDER_NONCE,
        recipient: RECIPIENT_NONCE,
        sequence: 2,
        kind: 99,
    };
    let mut receiver = new_codec(RECIPIENT_NONCE);
    assert_eq!(
        receiver.decode(&sign_frame(1, 1, &with_added_field)),
        Ok((SENDER_NONCE, document_request()))
    );
    assert_eq!(
        receiver.decode(&sign_frame(1, 1, &new_kind)),
        Err(WireError::UnknownMessageKind)
    );
    assert_eq!(
        receiver.decode(&sign_frame(1, 0, &new_kind)),
        Err(WireError::Malformed)
    );
    assert_eq!(
        receiver.decode(&sign_frame(2, 0, &with_added_field)),
        Err(WireError::UnsupportedMajorVersion)
    );
}

/// Guards against a secret that could be guessed, and against one that is printed into a log.
#[test]
fn a_short_secret_is_rejected_and_debug_hides_the_key() {
    assert!(PeerKey::from_secret("short").is_err());
    let key = PeerKey::from_secret("long enough a secret").unwrap();
    assert_eq!(format!("{key:?}"), "PeerKey(hidden)");
}

/// Guards against sending a document that every recipient rejects as too large.
#[test]
fn a_document_that_exceeds_the_frame_limit_is_not_encoded() {
    let too_large = WireBody::Document {
        version: 1,
        document: vec![0; MAX_FRAME_BYTES],
    };
    assert_eq!(
        new_codec(SENDER_NONCE).encode(RECIPIENT_NONCE, too_large),
        Err(WireError::TooLarge)
    );
}
