//! Randomized tests of the peer codec, with fixed seeds: altered, reordered, repeated and malformed
//! frames.

use arbtest::{
    arbitrary,
    arbitrary::Unstructured,
    arbtest, //
};
use bytes::Bytes;
use indexmap::IndexSet;
use jasminebend_base::SeatNumber;
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
    WIRE_MAJOR_VERSION,
    WireBody,
    WireError, //
};

/// The number of seeds with which each property is tested.
const SEED_COUNT: u64 = 500;
/// The amount of random data for each seed, in bytes; `arbtest` reads it from a seed's lower 32
/// bits.
const RANDOM_DATA_BYTES: u64 = 512;
const KEY: [u8; 32] = [7; 32];
const SENDER_NONCE: u64 = 1;
const RECIPIENT_NONCE: u64 = 2;
const HASH_BYTES: usize = 32;

fn new_codec(nonce: u64) -> PeerCodec {
    PeerCodec::new(nonce, KeyRing::new(PeerKey::new(KEY)))
}

fn ask_message(number: u64) -> WireBody {
    WireBody::Member(PeerMessage {
        from: SeatNumber(3),
        epoch: 4,
        nonce: SENDER_NONCE,
        to: RECIPIENT_NONCE,
        body: PeerBody::Ask {
            number,
            report: PeerReport {
                seats: vec![1, 2, 3, 4, 5, 6, 7],
                ..PeerReport::default()
            },
        },
    })
}

/// Tests the property with [`SEED_COUNT`] fixed seeds.
fn check_with_fixed_seeds<Property>(mut property: Property)
where
    Property: FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
{
    for number in 0..SEED_COUNT {
        arbtest(&mut property).seed(number << 32 | RANDOM_DATA_BYTES);
    }
}

/// Flips a bit, truncates the frame, appends or removes a byte, or replaces the whole frame. The
/// result may equal the original.
fn alter_frame(source: &mut Unstructured<'_>, frame: &mut Vec<u8>) -> arbitrary::Result<()> {
    let position = source.choose_index(frame.len())?;
    match source.int_in_range(0..=4)? {
        0 => frame[position] ^= 1 << source.int_in_range(0..=7)?,
        1 => frame.truncate(position),
        2 => frame.push(source.arbitrary()?),
        3 => {
            frame.remove(position);
        }
        _ => *frame = source.arbitrary()?,
    }
    Ok(())
}

/// Guards against a daemon acting on a message that no daemon sent, because bytes were altered in
/// transit. The hash covers the whole frame, and a rejected frame does not affect later ones.
#[test]
fn an_altered_frame_is_rejected_and_the_next_one_is_accepted() {
    check_with_fixed_seeds(|source| {
        let (mut sender, mut recipient) = (new_codec(SENDER_NONCE), new_codec(RECIPIENT_NONCE));
        let frame = sender.encode(RECIPIENT_NONCE, ask_message(1)).unwrap();
        let mut altered = frame.to_vec();
        alter_frame(source, &mut altered)?;
        if altered != frame {
            let error = recipient.decode(&altered).unwrap_err();
            let expected = [WireError::InvalidHash, WireError::TooShort];
            assert!(expected.contains(&error), "{error:?}");
        }
        assert_eq!(recipient.decode(&frame), Ok((SENDER_NONCE, ask_message(1))));
        Ok(())
    });
}

/// Guards against a daemon taking an old message for a new one, when frames arrive repeatedly, late
/// and out of order. Each frame is accepted at most once.
#[test]
fn frames_in_any_order_are_each_accepted_at_most_once() {
    check_with_fixed_seeds(|source| {
        let (mut sender, mut recipient) = (new_codec(SENDER_NONCE), new_codec(RECIPIENT_NONCE));
        let frames: Vec<Bytes> = (0..20)
            .map(|number| sender.encode(RECIPIENT_NONCE, ask_message(number)).unwrap())
            .collect();
        let mut accepted = IndexSet::new();
        for _ in 0..60 {
            let index = source.choose_index(frames.len())?;
            match recipient.decode(&frames[index]) {
                Ok((_, message)) => {
                    assert_eq!(message, ask_message(u64::try_from(index).unwrap()));
                    assert!(accepted.insert(index), "frame {index} was accepted twice");
                }
                Err(error) => assert_eq!(error, WireError::Replayed),
            }
        }
        Ok(())
    });
}

/// Guards against one daemon of a newer or faulty release crashing all others: its frames have a
/// valid hash over a payload that they can't parse.
#[test]
fn a_signed_frame_with_random_payload_is_rejected() {
    check_with_fixed_seeds(|source| {
        let mut recipient = new_codec(RECIPIENT_NONCE);
        let mut frame = vec![WIRE_MAJOR_VERSION];
        frame.extend(source.arbitrary::<Vec<u8>>()?);
        let hash = blake3::keyed_hash(&KEY, &frame);
        frame.extend(hash.as_bytes());
        let error = recipient.decode(&frame).unwrap_err();
        assert_ne!(error, WireError::InvalidHash, "the hash is valid");
        Ok(())
    });
}

/// Guards against accepting a frame for another process, of another major version, with another key
/// or of an invalid size, and against sending one that is too large.
#[test]
fn frames_with_wrong_recipient_version_key_or_size_are_rejected() {
    let mut sender = new_codec(SENDER_NONCE);
    let frame = sender.encode(RECIPIENT_NONCE, ask_message(1)).unwrap();
    let with_hash = |mut frame: Vec<u8>| {
        let hash = blake3::keyed_hash(&KEY, &frame);
        frame.extend(hash.as_bytes());
        frame
    };
    let mut other_version = frame[..frame.len() - HASH_BYTES].to_vec();
    other_version[0] = WIRE_MAJOR_VERSION + 1;
    let mut other_key = PeerCodec::new(SENDER_NONCE, KeyRing::new(PeerKey::new([8; 32])));
    let cases = [
        (
            sender.encode(9, ask_message(1)).unwrap(),
            WireError::OtherRecipient,
        ),
        (
            with_hash(other_version).into(),
            WireError::UnsupportedMajorVersion,
        ),
        (
            other_key.encode(RECIPIENT_NONCE, ask_message(1)).unwrap(),
            WireError::InvalidHash,
        ),
        (vec![1; MAX_FRAME_BYTES + 1].into(), WireError::TooLarge),
        (Bytes::new(), WireError::TooShort),
    ];
    let mut recipient = new_codec(RECIPIENT_NONCE);
    for (frame, error) in cases {
        assert_eq!(recipient.decode(&frame), Err(error));
    }
    assert_eq!(recipient.decode(&frame), Ok((SENDER_NONCE, ask_message(1))));
    let document = vec![0; MAX_FRAME_BYTES];
    let too_large = WireBody::Document {
        version: 1,
        document,
    };
    assert_eq!(
        sender.encode(RECIPIENT_NONCE, too_large),
        Err(WireError::TooLarge)
    );
}
