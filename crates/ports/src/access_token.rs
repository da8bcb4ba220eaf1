//! The bearer token that a client sends to a server.

use std::{
    fmt,
    sync::{
        Arc,
        PoisonError,
        RwLock, //
    }, //
};

/// The bearer token that a client sends to a server. Clones share one token, so that a token that
/// was read again from its file replaces the former one without a restart. `Debug` does not print
/// it.
#[derive(Clone)]
pub struct AccessToken(Arc<RwLock<String>>);

impl AccessToken {
    /// Creates a token.
    pub fn new<Text>(text: Text) -> Self
    where
        Text: Into<String>,
    {
        Self(Arc::new(RwLock::new(text.into())))
    }

    /// Replaces the token in this value and all its clones.
    pub fn replace<Text>(&self, text: Text)
    where
        Text: Into<String>,
    {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = text.into();
    }

    /// Returns the value of the `Authorization` header that carries the token.
    pub fn authorization_header(&self) -> String {
        let text = self.0.read().unwrap_or_else(PoisonError::into_inner);
        format!("Bearer {text}")
    }
}

impl fmt::Debug for AccessToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccessToken(..)")
    }
}
