//! Frames and their checks.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    KeyRing,
    ReplayWindow,
    WireBody,
    WireError,
    WirePayload, //
};

/// The largest frame; a configuration's document must fit into it.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

/// The major version; frames of another one are ignored.
pub const WIRE_MAJOR: u8 = 1;

/// The minor version; frames of a newer one are read as far as they are known.
pub const WIRE_MINOR: u8 = 0;

const HEADER_BYTES: usize = 2;
const HASH_BYTES: usize = 32;

/// How many senders are remembered. Only those that have the key are, and the oldest makes room.
const MAX_SENDERS: usize = 256;

/// Makes frames for one process, and checks those that it receives.
#[derive(Clone, Debug)]
pub struct PeerCodec {
    nonce: u64,
    keys: KeyRing,
    sequence: u64,
    minor: u8,
    windows: IndexMap<u64, ReplayWindow>,
}

impl PeerCodec {
    /// Creates the codec of the process with this nonce.
    pub fn new(nonce: u64, keys: KeyRing) -> Self {
        Self {
            nonce,
            keys,
            sequence: 0,
            minor: WIRE_MINOR,
            windows: IndexMap::new(),
        }
    }

    /// Marks frames with another minor version, as a later release will.
    pub fn with_minor(mut self, minor: u8) -> Self {
        self.minor = minor;
        self
    }

    /// Replaces the keys; frames under way with the former ones are lost, and heartbeats repeat.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Makes a frame.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::TooLarge`] or [`WireError::Malformed`] if the body makes no frame.
    pub fn encode(&mut self, recipient: u64, body: WireBody) -> Result<Bytes, WireError> {
        self.sequence += 1;
        let payload = WirePayload {
            sender: self.nonce,
            recipient,
            sequence: self.sequence,
            body,
        };
        let frame = vec![WIRE_MAJOR, self.minor];
        let mut frame = postcard::to_extend(&payload, frame).map_err(|_| WireError::Malformed)?;
        if frame.len() + HASH_BYTES > MAX_FRAME_BYTES {
            return Err(WireError::TooLarge);
        }
        let hash = self.keys.sign(&frame);
        frame.extend_from_slice(hash.as_bytes());
        Ok(Bytes::from(frame))
    }

    /// Checks a frame, and returns who sent what. The hash is checked before anything is parsed.
    ///
    /// # Errors
    ///
    /// Returns why the frame is to be ignored; it then has changed nothing.
    pub fn decode(&mut self, frame: &[u8]) -> Result<(u64, WireBody), WireError> {
        let signed = self.check_hash(frame)?;
        let (version, payload) = signed.split_at(HEADER_BYTES);
        if version[0] != WIRE_MAJOR {
            return Err(WireError::OtherVersion);
        }
        let newer = version[1] > WIRE_MINOR;
        let payload = read_payload(payload, newer)?;
        if payload.recipient != self.nonce {
            return Err(WireError::OtherRecipient);
        }
        self.admit(payload.sender, payload.sequence)?;
        Ok((payload.sender, payload.body))
    }

    fn check_hash<'a>(&self, frame: &'a [u8]) -> Result<&'a [u8], WireError> {
        if frame.len() > MAX_FRAME_BYTES {
            return Err(WireError::TooLarge);
        }
        if frame.len() <= HEADER_BYTES + HASH_BYTES {
            return Err(WireError::TooShort);
        }
        let (signed, hash) = frame.split_at(frame.len() - HASH_BYTES);
        let hash = blake3::Hash::from_slice(hash).map_err(|_| WireError::TooShort)?;
        if !self.keys.accepts(signed, &hash) {
            return Err(WireError::NotAuthentic);
        }
        Ok(signed)
    }

    fn admit(&mut self, sender: u64, sequence: u64) -> Result<(), WireError> {
        if !self.windows.contains_key(&sender) && self.windows.len() == MAX_SENDERS {
            self.windows.shift_remove_index(0);
        }
        if self.windows.entry(sender).or_default().admit(sequence) {
            return Ok(());
        }
        Err(WireError::Replayed)
    }
}

/// A newer minor version may have added fields at the end, and kinds of messages.
fn read_payload(bytes: &[u8], newer: bool) -> Result<WirePayload, WireError> {
    match postcard::take_from_bytes::<WirePayload>(bytes) {
        Ok((payload, [])) => Ok(payload),
        Ok((payload, _)) if newer => Ok(payload),
        Ok(_) => Err(WireError::Malformed),
        Err(_) if newer => Err(WireError::UnknownKind),
        Err(_) => Err(WireError::Malformed),
    }
}
