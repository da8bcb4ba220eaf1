//! Errors of starting a daemon.

use std::{
    io,
    net::SocketAddr,
    path::PathBuf, //
};

use derive_more::{
    Display,
    Error,
    From, //
};

use jasminebend_cluster::ClusterError;
use jasminebend_wire::PeerKeyError;

use crate::{
    AccessError,
    LogError,
    SettingsError,
    TraceError, //
};

/// Error of starting a daemon.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// The settings are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The log cannot be set up.
    #[display("{_0}")]
    Log(LogError),
    /// The trace export cannot be set up.
    #[display("{_0}")]
    Traces(TraceError),
    /// The certificate or the tokens cannot be used.
    #[display("{_0}")]
    Access(AccessError),
    /// A listener cannot be bound.
    #[from(ignore)]
    #[display("`{key}` cannot listen on {address}: {source}")]
    Listen {
        /// The settings key of the address.
        key: &'static str,
        /// The address that cannot be bound.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// A file that holds a secret cannot be read.
    #[from(ignore)]
    #[display("the secret in {} cannot be read: {source}", path.display())]
    Secret {
        /// The file that cannot be read.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The key that daemons share cannot be used.
    #[display("`peers.key_file`: {_0}")]
    PeerKey(PeerKeyError),
    /// The cluster part cannot be started.
    #[display("{_0}")]
    Cluster(ClusterError),
    /// The signal handlers cannot be installed.
    #[from(ignore)]
    #[display("the signals cannot be caught: {source}")]
    Signals {
        /// The operating system's error.
        source: io::Error,
    },
    /// The administration API would be reachable off loopback without TLS and tokens.
    #[display(
        "the administration API is off loopback; set `tls` and `tokens_file`, or, to let anyone \
         in, `allow_open_administration: true`"
    )]
    OpenAdministration,
    /// The settings have no `platform` section.
    #[display("the settings name no platform; give the section `platform`")]
    NoPlatform,
}
