//! Errors of loading the administration API's certificate and tokens.

use derive_more::{
    Display,
    Error,
    From, //
};

use crate::{
    TlsError,
    TokenError, //
};

/// Error of loading the administration API's certificate or tokens.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq)]
pub enum AccessError {
    /// The certificate or its private key cannot be used.
    #[display("{_0}")]
    Tls(TlsError),
    /// The tokens file cannot be used.
    #[display("{_0}")]
    Tokens(TokenError),
}
