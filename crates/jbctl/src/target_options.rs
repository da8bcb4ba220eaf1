//! Which daemon is asked, and how.

use std::path::PathBuf;

use crate::OutputFormat;

/// The address that is asked by default.
pub(crate) const DEFAULT_ADDRESS: &str = "127.0.0.1:9090";

/// Which daemon is asked, and how.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetOptions {
    /// The administration API's IP address and port.
    pub address: String,
    /// The file with the bearer token.
    pub token_file: Option<PathBuf>,
    /// The file with the certificates that the API's must stem from; with it TLS is spoken.
    pub ca_file: Option<PathBuf>,
    /// How answers are printed.
    pub output: OutputFormat,
}

impl TargetOptions {
    /// Creates the default options.
    pub fn new() -> Self {
        Self {
            address: DEFAULT_ADDRESS.to_owned(),
            token_file: None,
            ca_file: None,
            output: OutputFormat::Text,
        }
    }
}

impl Default for TargetOptions {
    fn default() -> Self {
        Self::new()
    }
}
