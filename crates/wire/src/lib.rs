//! The messages between daemons, their codec, and the keyed hash that authenticates them.
//!
//! A frame consists of a major and a minor version of one byte each, a [`WirePayload`] in postcard,
//! and a keyed BLAKE3 hash over both. The payload contains the nonces of the sending and of the
//! receiving process and a sequence number, so that a recorded frame can't be replayed to another
//! process, to a restarted one, or a second time to the same one.

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
        WIRE_MAJOR_VERSION,
        WIRE_MINOR_VERSION, //
    },
    peer_key::PeerKey,
    peer_key_error::PeerKeyError,
    replay_window::ReplayWindow,
    wire_body::WireBody,
    wire_error::WireError,
    wire_payload::WirePayload, //
};
