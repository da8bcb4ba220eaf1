//! The key that authenticates frames between daemons.

use std::fmt;

use crate::PeerKeyError;

/// The size of a BLAKE3 key.
const KEY_BYTES: usize = 32;
/// The minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;
/// The BLAKE3 context string for the derivation of a key from a secret.
const KEY_DERIVATION_CONTEXT: &str = "jasminebend 2026-12 peer messages";

/// The key that authenticates frames between daemons; all daemons share it. `Debug` does not print
/// it.
#[derive(Clone, Copy, Eq, PartialEq)]
pub struct PeerKey([u8; KEY_BYTES]);

impl PeerKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: [u8; KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Derives a key from the secret in the settings.
    ///
    /// # Errors
    ///
    /// Returns [`PeerKeyError::TooShort`] if the secret is so short that it could be guessed.
    pub fn from_secret(secret: &str) -> Result<Self, PeerKeyError> {
        if secret.len() < MIN_SECRET_BYTES {
            return Err(PeerKeyError::TooShort {
                min_bytes: MIN_SECRET_BYTES,
            });
        }
        Ok(Self(blake3::derive_key(
            KEY_DERIVATION_CONTEXT,
            secret.as_bytes(),
        )))
    }

    /// Returns the hash of the bytes, keyed with this key.
    pub(crate) fn hash(&self, bytes: &[u8]) -> blake3::Hash {
        blake3::keyed_hash(&self.0, bytes)
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerKey(hidden)")
    }
}
