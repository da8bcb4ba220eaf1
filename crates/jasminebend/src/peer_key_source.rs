//! Source of the key that daemons share.

use std::path::PathBuf;

use crate::SecretText;

/// Source of the key that daemons share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerKeySource {
    /// A file, read when the daemon starts and again when it changes.
    File(PathBuf),
    /// The key itself, for daemons embedded in one process.
    Text(SecretText),
}
