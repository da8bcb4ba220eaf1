//! Table of the operators' tokens.

use blake3::Hash;
use indexmap::IndexSet;
use serde::Deserialize;

use crate::{
    AccessRole,
    OperatorIdentity,
    TokenError, //
};

/// Table of the operators' tokens, which holds only the tokens' BLAKE3 digests.
#[derive(Clone, Debug)]
pub struct TokenTable {
    entries: Vec<TokenEntry>,
}

/// An operator and the digest of their token.
#[derive(Clone, Debug)]
struct TokenEntry {
    identity: OperatorIdentity,
    digest: Hash,
}

/// An entry of the tokens file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawToken {
    name: String,
    role: AccessRole,
    blake3: String,
}

impl TokenTable {
    /// Parses a tokens file: a YAML list of entries with `name`, `role` and `blake3`.
    ///
    /// # Errors
    ///
    /// Returns any [`TokenError`] except `Unreadable`.
    pub fn from_yaml(text: &str) -> Result<Self, TokenError> {
        let raw: Vec<RawToken> =
            serde_saphyr::from_str(text).map_err(|error| TokenError::Shape {
                reason: error.without_snippet().to_string(),
            })?;
        if raw.is_empty() {
            return Err(TokenError::Empty);
        }
        check_names(&raw)?;
        let entries: Result<Vec<TokenEntry>, TokenError> =
            raw.into_iter().map(parse_entry).collect();
        Ok(Self { entries: entries? })
    }

    /// Returns the operator whom a token belongs to, or `None` if no entry matches.
    ///
    /// Digests are compared in constant time and with every entry, so that the response time reveals nothing about a
    /// token.
    pub fn identify(&self, token: &str) -> Option<OperatorIdentity> {
        let digest = blake3::hash(token.as_bytes());
        let mut found = None;
        for entry in &self.entries {
            if entry.digest == digest {
                found = Some(&entry.identity);
            }
        }
        found.cloned()
    }
}

/// Rejects duplicate operator names.
fn check_names(raw: &[RawToken]) -> Result<(), TokenError> {
    let mut seen = IndexSet::new();
    let duplicate = raw.iter().find(|token| !seen.insert(&token.name));
    duplicate.map_or(Ok(()), |token| {
        Err(TokenError::DuplicateName {
            name: token.name.clone(),
        })
    })
}

fn parse_entry(raw: RawToken) -> Result<TokenEntry, TokenError> {
    let digest = Hash::from_hex(&raw.blake3).map_err(|_| TokenError::BadDigest {
        name: raw.name.clone(),
    })?;
    Ok(TokenEntry {
        identity: OperatorIdentity {
            name: raw.name,
            role: raw.role,
        },
        digest,
    })
}
