//! The operators' tokens, kept as digests.

use blake3::Hash;
use indexmap::IndexSet;
use serde::Deserialize;

use crate::{
    AccessRole,
    OperatorIdentity,
    TokenError, //
};

/// The operators' tokens, kept as digests.
#[derive(Clone, Debug)]
pub struct TokenTable {
    entries: Vec<TokenEntry>,
}

#[derive(Clone, Debug)]
struct TokenEntry {
    identity: OperatorIdentity,
    digest: Hash,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawToken {
    name: String,
    role: AccessRole,
    blake3: String,
}

impl TokenTable {
    /// Reads a tokens file's text: a list of `name`, `role` and `blake3`.
    ///
    /// # Errors
    ///
    /// Any [`TokenError`] but `Unreadable`.
    pub fn from_yaml(text: &str) -> Result<Self, TokenError> {
        let raw: Vec<RawToken> =
            serde_saphyr::from_str(text).map_err(|error| TokenError::Shape {
                reason: error.without_snippet().to_string(),
            })?;
        if raw.is_empty() {
            return Err(TokenError::Empty);
        }
        check_names(&raw)?;
        let entries: Result<Vec<TokenEntry>, TokenError> = raw.into_iter().map(entry).collect();
        Ok(Self { entries: entries? })
    }

    /// Finds whose token this is.
    ///
    /// The digests' comparison takes the same time wherever they differ, and every entry is
    /// compared, so that the time of an answer tells nothing of a token.
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

fn check_names(raw: &[RawToken]) -> Result<(), TokenError> {
    let mut seen = IndexSet::new();
    let twice = raw.iter().find(|token| !seen.insert(&token.name));
    twice.map_or(Ok(()), |token| {
        Err(TokenError::DuplicateName {
            name: token.name.clone(),
        })
    })
}

fn entry(raw: RawToken) -> Result<TokenEntry, TokenError> {
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
