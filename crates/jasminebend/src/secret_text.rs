//! A secret text that is not printed.

use std::fmt::{
    Debug,
    Formatter,
    Result, //
};

/// A secret text. Its `Debug` output is redacted and it has no `Display`, so that no log contains it.
#[derive(Clone, Eq, PartialEq)]
pub struct SecretText(String);

impl SecretText {
    /// Wraps a secret.
    pub fn new<Text>(text: Text) -> Self
    where
        Text: Into<String>,
    {
        Self(text.into())
    }

    /// Returns the secret itself. Call it only where the secret is used.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl Debug for SecretText {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        formatter.write_str("SecretText(redacted)")
    }
}
