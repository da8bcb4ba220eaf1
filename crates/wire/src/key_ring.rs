//! The keys in use.

use crate::PeerKey;

/// The keys in use. To replace a key without a restart, give every daemon the new one as `next`;
/// once all have it, make it `current` everywhere; then drop the old one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeyRing {
    current: PeerKey,
    next: Option<PeerKey>,
}

impl KeyRing {
    /// Creates a ring of one key.
    pub fn new(current: PeerKey) -> Self {
        Self {
            current,
            next: None,
        }
    }

    /// Accepts another key too.
    pub fn with_next(mut self, next: PeerKey) -> Self {
        self.next = Some(next);
        self
    }

    pub(crate) fn sign(&self, bytes: &[u8]) -> blake3::Hash {
        self.current.hash(bytes)
    }

    /// Compares in constant time, which [`blake3::Hash`] does.
    pub(crate) fn accepts(&self, bytes: &[u8], hash: &blake3::Hash) -> bool {
        let by_next = self.next.is_some_and(|key| key.hash(bytes) == *hash);
        self.current.hash(bytes) == *hash || by_next
    }
}
