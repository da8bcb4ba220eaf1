//! Why a secret makes no key.

use derive_more::{
    Display,
    Error, //
};

/// Why a secret makes no key.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum PeerKeyError {
    /// The secret could be guessed.
    #[display("the peer key is too short; give at least {least} characters")]
    TooShort {
        /// The least length in bytes.
        least: usize,
    },
}
