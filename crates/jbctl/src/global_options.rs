//! Options that apply to every command: the daemon to call, the credentials and the output format.

use std::path::PathBuf;

use crate::OutputFormat;

/// The default address of the administration API.
pub(crate) const DEFAULT_API_ADDRESS: &str = "127.0.0.1:9090";

/// The options that apply to every command: the daemon to call, the credentials and the output format.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GlobalOptions {
    /// The administration API's IP address and port.
    pub address: String,
    /// The file with the bearer token; `None` sends no token.
    pub token_file: Option<PathBuf>,
    /// The PEM file with the trusted CA certificates; `None` connects without TLS.
    pub ca_file: Option<PathBuf>,
    /// The format in which responses are printed.
    pub output: OutputFormat,
}

impl GlobalOptions {
    /// Returns the default options: the local daemon without a token or TLS, and text output.
    pub fn new() -> Self {
        Self {
            address: DEFAULT_API_ADDRESS.to_owned(),
            token_file: None,
            ca_file: None,
            output: OutputFormat::Text,
        }
    }
}

impl Default for GlobalOptions {
    fn default() -> Self {
        Self::new()
    }
}
