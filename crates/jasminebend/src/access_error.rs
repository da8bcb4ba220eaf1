//! Why keys are refused.

use derive_more::{
    Display,
    Error,
    From, //
};

use crate::{
    TlsError,
    TokenError, //
};

/// Why keys are refused.
#[derive(Clone, Debug, Display, Eq, Error, From, PartialEq)]
pub enum AccessError {
    /// The certificate.
    #[display("{_0}")]
    Tls(TlsError),
    /// The tokens.
    #[display("{_0}")]
    Tokens(TokenError),
}
