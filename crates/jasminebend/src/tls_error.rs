//! Errors of the TLS certificate.

use derive_more::{
    Display,
    Error, //
};

/// Error of the administration API's TLS certificate.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum TlsError {
    /// The certificate cannot be read.
    #[display("the certificate file cannot be read: {reason}")]
    Certificate {
        /// The PEM reader's error.
        reason: String,
    },
    /// The private key cannot be read.
    #[display("the private key file cannot be read: {reason}")]
    Key {
        /// The PEM reader's error.
        reason: String,
    },
    /// The certificate and the private key do not match or are invalid.
    #[display("the certificate and its key cannot be used: {reason}")]
    Unusable {
        /// The TLS library's error.
        reason: String,
    },
}
