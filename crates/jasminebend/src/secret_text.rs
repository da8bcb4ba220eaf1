//! A secret that no log shows.

use std::fmt::{
    Debug,
    Formatter,
    Result, //
};

/// A secret that no log shows: its `Debug` is redacted, and it has no `Display`.
#[derive(Clone, Eq, PartialEq)]
pub struct SecretText(String);

impl SecretText {
    /// Keeps a secret.
    pub fn new<Text>(text: Text) -> Self
    where
        Text: Into<String>,
    {
        Self(text.into())
    }

    /// Returns the secret itself, for the one call that needs it.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl Debug for SecretText {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter.write_str("SecretText(redacted)")
    }
}
