//! What daemons send each other: typed messages, their codec, and the keyed hash over each.
//!
//! A frame is two bytes of version, a [`WirePayload`] in postcard, and a keyed BLAKE3 hash over
//! both. The payload names the sending and the receiving process and a sequence number, so that a
//! frame that was recorded is of no use for anybody else, for a later process, or a second time.

mod key_ring;
mod peer_codec;
mod peer_key;
mod peer_key_error;
mod replay_window;
mod wire_body;
mod wire_error;
mod wire_payload;

pub use self::{
    key_ring::KeyRing,
    peer_codec::{
        MAX_FRAME_BYTES,
        PeerCodec,
        WIRE_MAJOR,
        WIRE_MINOR, //
    },
    peer_key::PeerKey,
    peer_key_error::PeerKeyError,
    replay_window::ReplayWindow,
    wire_body::WireBody,
    wire_error::WireError,
    wire_payload::WirePayload, //
};
