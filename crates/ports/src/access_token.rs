//! A secret that a client shows to a server.

use std::{
    fmt,
    sync::{
        Arc,
        PoisonError,
        RwLock, //
    }, //
};

/// A bearer token, as its reader took it from a file. Copies share it, so that it is replaced
/// without a restart; it is never printed.
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

    /// Replaces the token in every copy.
    pub fn replace<Text>(&self, text: Text)
    where
        Text: Into<String>,
    {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = text.into();
    }

    /// Returns the value of the `Authorization` header.
    pub fn header(&self) -> String {
        let text = self.0.read().unwrap_or_else(PoisonError::into_inner);
        format!("Bearer {text}")
    }
}

impl fmt::Debug for AccessToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("AccessToken(..)")
    }
}
