//! Why a certificate is refused.

use derive_more::{
    Display,
    Error, //
};

/// Why a certificate is refused.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum TlsError {
    /// The certificate cannot be read.
    #[display("the certificate file cannot be read: {reason}")]
    Certificate {
        /// What the reader says.
        reason: String,
    },
    /// The private key cannot be read.
    #[display("the private key file cannot be read: {reason}")]
    Key {
        /// What the reader says.
        reason: String,
    },
    /// Certificate and key do not belong together, or are of no use.
    #[display("the certificate and its key cannot be used: {reason}")]
    Unusable {
        /// What the TLS library says.
        reason: String,
    },
}
