//! Encodes and verifies the frames between daemons.

use bytes::Bytes;
use indexmap::IndexMap;

use crate::{
    KeyRing,
    ReplayWindow,
    WireBody,
    WireError,
    WirePayload, //
};

/// The maximum size of a frame, in bytes. A configuration document must fit into it.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;

/// The major version of the protocol. Frames with another one are ignored.
pub const WIRE_MAJOR_VERSION: u8 = 1;

/// The minor version of the protocol. Frames with a higher one are decoded as far as this version
/// knows their content.
pub const WIRE_MINOR_VERSION: u8 = 0;

/// The size of the version header: one byte for the major and one for the minor version.
const HEADER_BYTES: usize = 2;
/// The size of the BLAKE3 hash at the end of a frame.
const HASH_BYTES: usize = 32;

/// The maximum number of senders with a replay window. Only a sender of authentic frames gets one;
/// if there are too many, the one that was added first is removed.
const MAX_TRACKED_SENDERS: usize = 256;

/// Encodes the frames that one process sends, and verifies and decodes those that it receives.
#[derive(Clone, Debug)]
pub struct PeerCodec {
    /// The nonce of this process.
    nonce: u64,
    keys: KeyRing,
    /// The sequence number of the last frame that was encoded; 0 before the first.
    last_sequence: u64,
    /// The minor version in the header of encoded frames.
    minor_version: u8,
    /// The replay window of each sender, by the nonce of its process.
    replay_windows: IndexMap<u64, ReplayWindow>,
}

impl PeerCodec {
    /// Creates the codec of the process that this nonce identifies.
    pub fn new(nonce: u64, keys: KeyRing) -> Self {
        Self {
            nonce,
            keys,
            last_sequence: 0,
            minor_version: WIRE_MINOR_VERSION,
            replay_windows: IndexMap::new(),
        }
    }

    /// Sets the minor version in the header of encoded frames, to simulate a later release.
    pub fn with_minor_version(mut self, minor: u8) -> Self {
        self.minor_version = minor;
        self
    }

    /// Replaces the keys. Frames in transit that are signed with a removed key are lost; heartbeats
    /// are repeated anyway.
    pub fn set_keys(&mut self, keys: KeyRing) {
        self.keys = keys;
    }

    /// Encodes a message to the process with the nonce `recipient` as a frame.
    ///
    /// # Errors
    ///
    /// Returns [`WireError::TooLarge`] if the frame exceeds [`MAX_FRAME_BYTES`], and
    /// [`WireError::Malformed`] if the body can't be encoded.
    pub fn encode(&mut self, recipient: u64, body: WireBody) -> Result<Bytes, WireError> {
        self.last_sequence += 1;
        let payload = WirePayload {
            sender: self.nonce,
            recipient,
            sequence: self.last_sequence,
            body,
        };
        let frame = vec![WIRE_MAJOR_VERSION, self.minor_version];
        let mut frame = postcard::to_extend(&payload, frame).map_err(|_| WireError::Malformed)?;
        if frame.len() + HASH_BYTES > MAX_FRAME_BYTES {
            return Err(WireError::TooLarge);
        }
        let hash = self.keys.sign(&frame);
        frame.extend_from_slice(hash.as_bytes());
        Ok(Bytes::from(frame))
    }

    /// Verifies and decodes a frame, and returns the nonce of the sender's process and the message.
    /// The hash is verified before any of the frame is parsed.
    ///
    /// # Errors
    ///
    /// Returns the reason why the frame must be ignored. A rejected frame changes no state.
    pub fn decode(&mut self, frame: &[u8]) -> Result<(u64, WireBody), WireError> {
        let signed = self.verify_hash(frame)?;
        let (version, payload) = signed.split_at(HEADER_BYTES);
        if version[0] != WIRE_MAJOR_VERSION {
            return Err(WireError::UnsupportedMajorVersion);
        }
        let is_newer_minor = version[1] > WIRE_MINOR_VERSION;
        let payload = parse_payload(payload, is_newer_minor)?;
        if payload.recipient != self.nonce {
            return Err(WireError::OtherRecipient);
        }
        self.check_replay(payload.sender, payload.sequence)?;
        Ok((payload.sender, payload.body))
    }

    /// Verifies the size and the hash of a frame, and returns the bytes that the hash covers.
    fn verify_hash<'a>(&self, frame: &'a [u8]) -> Result<&'a [u8], WireError> {
        if frame.len() > MAX_FRAME_BYTES {
            return Err(WireError::TooLarge);
        }
        if frame.len() <= HEADER_BYTES + HASH_BYTES {
            return Err(WireError::TooShort);
        }
        let (signed, hash) = frame.split_at(frame.len() - HASH_BYTES);
        let hash = blake3::Hash::from_slice(hash).map_err(|_| WireError::TooShort)?;
        if !self.keys.verify(signed, &hash) {
            return Err(WireError::InvalidHash);
        }
        Ok(signed)
    }

    /// Records the sequence number in the sender's replay window, and returns
    /// [`WireError::Replayed`] if it was received before or is too old.
    fn check_replay(&mut self, sender: u64, sequence: u64) -> Result<(), WireError> {
        if !self.replay_windows.contains_key(&sender)
            && self.replay_windows.len() == MAX_TRACKED_SENDERS
        {
            self.replay_windows.shift_remove_index(0);
        }
        if self
            .replay_windows
            .entry(sender)
            .or_default()
            .record(sequence)
        {
            return Ok(());
        }
        Err(WireError::Replayed)
    }
}

/// Parses the payload. A newer minor version may append fields, which are skipped, and add kinds of
/// messages, which give [`WireError::UnknownMessageKind`].
fn parse_payload(bytes: &[u8], is_newer_minor: bool) -> Result<WirePayload, WireError> {
    match postcard::take_from_bytes::<WirePayload>(bytes) {
        Ok((payload, [])) => Ok(payload),
        Ok((payload, _)) if is_newer_minor => Ok(payload),
        Ok(_) => Err(WireError::Malformed),
        Err(_) if is_newer_minor => Err(WireError::UnknownMessageKind),
        Err(_) => Err(WireError::Malformed),
    }
}
