//! The keys that authenticate frames between daemons.

use crate::PeerKey;

/// The keys that authenticate frames between daemons. Frames are signed with the current key, and
/// accepted with the current or the next one.
///
/// To replace the key without a restart: give every daemon the new key as `next`; when all have it,
/// make it `current` and the old one `next` on every daemon; then remove the old one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyRing {
    /// The key that signs frames, and with which received frames are accepted.
    current: PeerKey,
    /// A further key with which received frames are accepted.
    next: Option<PeerKey>,
}

impl KeyRing {
    /// Creates a key ring with only a current key.
    pub fn new(current: PeerKey) -> Self {
        Self {
            current,
            next: None,
        }
    }

    /// Sets a further key with which frames are accepted.
    pub fn with_next_key(mut self, next: PeerKey) -> Self {
        self.next = Some(next);
        self
    }

    /// Returns the hash of the bytes, keyed with the current key.
    pub(crate) fn sign(&self, bytes: &[u8]) -> blake3::Hash {
        self.current.hash(bytes)
    }

    /// Returns whether the hash of the bytes is valid under one of the keys. [`blake3::Hash`]
    /// compares in constant time, so that the duration reveals nothing about the right hash.
    pub(crate) fn verify(&self, bytes: &[u8], hash: &blake3::Hash) -> bool {
        let matches_next = self.next.is_some_and(|key| key.hash(bytes) == *hash);
        self.current.hash(bytes) == *hash || matches_next
    }
}
