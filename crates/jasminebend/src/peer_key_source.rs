//! Where the key that daemons share comes from.

use std::path::PathBuf;

use crate::SecretText;

/// Where the key that daemons share comes from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PeerKeySource {
    /// A file, read when the daemon starts.
    File(PathBuf),
    /// The key itself, for daemons embedded in one process.
    Text(SecretText),
}
