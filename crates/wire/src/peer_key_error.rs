//! The reason why no key can be derived from a secret.

use derive_more::{
    Display,
    Error, //
};

/// The reason why no key can be derived from a secret.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerKeyError {
    /// The secret is so short that it could be guessed.
    #[display("the peer key is too short; give at least {min_bytes} characters")]
    TooShort {
        /// The minimum length of a secret, in bytes.
        min_bytes: usize,
    },
}
