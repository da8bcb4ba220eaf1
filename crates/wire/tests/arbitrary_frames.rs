//! Arbitrary frames between daemons, with fixed seeds.

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
    WIRE_MAJOR,
    WireBody,
    WireError, //
};

const SEEDS: u64 = 500;
const SEED_BYTES: u64 = 512;
const KEY: [u8; 32] = [7; 32];
const SENDER: u64 = 1;
const RECIPIENT: u64 = 2;
const HASH_BYTES: usize = 32;

fn codec(nonce: u64) -> PeerCodec {
    PeerCodec::new(nonce, KeyRing::new(PeerKey::new(KEY)))
}

fn body(number: u64) -> WireBody {
    WireBody::Member(PeerMessage {
        from: SeatNumber(3),
        epoch: 4,
        nonce: SENDER,
        to: RECIPIENT,
        body: PeerBody::Ask {
            number,
            report: PeerReport {
                seats: vec![1, 2, 3, 4, 5, 6, 7],
                ..PeerReport::default()
            },
        },
    })
}

fn with_fixed_seeds<Property>(mut property: Property)
where
    Property: FnMut(&mut Unstructured<'_>) -> arbitrary::Result<()>,
{
    for number in 0..SEEDS {
        arbtest(&mut property).seed(number << 32 | SEED_BYTES);
    }
}

fn damage(source: &mut Unstructured<'_>, frame: &mut Vec<u8>) -> arbitrary::Result<()> {
    let place = source.choose_index(frame.len())?;
    match source.int_in_range(0..=4)? {
        0 => frame[place] ^= 1 << source.int_in_range(0..=7)?,
        1 => frame.truncate(place),
        2 => frame.push(source.arbitrary()?),
        3 => {
            frame.remove(place);
        }
        _ => *frame = source.arbitrary()?,
    }
    Ok(())
}

/// A daemon acts on a message that no daemon sent: bytes were altered on their way. The hash covers
/// the whole frame, and a frame that was refused leaves no trace.
#[test]
fn an_altered_frame_is_refused_and_the_next_one_is_taken() {
    with_fixed_seeds(|source| {
        let (mut sender, mut recipient) = (codec(SENDER), codec(RECIPIENT));
        let frame = sender.encode(RECIPIENT, body(1)).unwrap();
        let mut altered = frame.to_vec();
        damage(source, &mut altered)?;
        if altered != frame {
            let error = recipient.decode(&altered).unwrap_err();
            let expected = [WireError::NotAuthentic, WireError::TooShort];
            assert!(expected.contains(&error), "{error:?}");
        }
        assert_eq!(recipient.decode(&frame), Ok((SENDER, body(1))));
        Ok(())
    });
}

/// A daemon hears an old promise as a new one: frames arrive twice, late and out of order. Each is
/// taken once at the most.
#[test]
fn frames_in_any_order_are_each_taken_once_at_the_most() {
    with_fixed_seeds(|source| {
        let (mut sender, mut recipient) = (codec(SENDER), codec(RECIPIENT));
        let frames: Vec<Bytes> = (0..20)
            .map(|number| sender.encode(RECIPIENT, body(number)).unwrap())
            .collect();
        let mut taken = IndexSet::new();
        for _ in 0..60 {
            let place = source.choose_index(frames.len())?;
            match recipient.decode(&frames[place]) {
                Ok((_, found)) => {
                    assert_eq!(found, body(u64::try_from(place).unwrap()));
                    assert!(taken.insert(place), "{place} was taken twice");
                }
                Err(error) => assert_eq!(error, WireError::Replayed),
            }
        }
        Ok(())
    });
}

/// One daemon of a newer or broken release ends all others: its frames carry the right hash over
/// bytes that make no sense to them.
#[test]
fn a_signed_frame_of_any_bytes_is_refused_without_harm() {
    with_fixed_seeds(|source| {
        let mut recipient = codec(RECIPIENT);
        let mut frame = vec![WIRE_MAJOR];
        frame.extend(source.arbitrary::<Vec<u8>>()?);
        let hash = blake3::keyed_hash(&KEY, &frame);
        frame.extend(hash.as_bytes());
        let error = recipient.decode(&frame).unwrap_err();
        assert_ne!(error, WireError::NotAuthentic, "it is signed as daemons do");
        Ok(())
    });
}

#[test]
fn frames_for_others_of_other_versions_and_sizes_are_refused() {
    let mut sender = codec(SENDER);
    let frame = sender.encode(RECIPIENT, body(1)).unwrap();
    let sign = |mut frame: Vec<u8>| {
        let hash = blake3::keyed_hash(&KEY, &frame);
        frame.extend(hash.as_bytes());
        frame
    };
    let mut other_version = frame[..frame.len() - HASH_BYTES].to_vec();
    other_version[0] = WIRE_MAJOR + 1;
    let mut other_key = PeerCodec::new(SENDER, KeyRing::new(PeerKey::new([8; 32])));
    let cases = [
        (
            sender.encode(9, body(1)).unwrap(),
            WireError::OtherRecipient,
        ),
        (sign(other_version).into(), WireError::OtherVersion),
        (
            other_key.encode(RECIPIENT, body(1)).unwrap(),
            WireError::NotAuthentic,
        ),
        (vec![1; MAX_FRAME_BYTES + 1].into(), WireError::TooLarge),
        (Bytes::new(), WireError::TooShort),
    ];
    let mut recipient = codec(RECIPIENT);
    for (frame, error) in cases {
        assert_eq!(recipient.decode(&frame), Err(error));
    }
    assert_eq!(recipient.decode(&frame), Ok((SENDER, body(1))));
    let document = vec![0; MAX_FRAME_BYTES];
    let large = WireBody::Document {
        version: 1,
        document,
    };
    assert_eq!(sender.encode(RECIPIENT, large), Err(WireError::TooLarge));
}
