//! Why a daemon does not start.

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

/// Why a daemon does not start.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// The settings.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The log.
    #[display("{_0}")]
    Log(LogError),
    /// The traces.
    #[display("{_0}")]
    Traces(TraceError),
    /// The certificate or the tokens.
    #[display("{_0}")]
    Access(AccessError),
    /// An address cannot be listened on.
    #[from(ignore)]
    #[display("`{key}` cannot listen on {address}: {source}")]
    Listen {
        /// The key of the settings.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A file that holds a secret cannot be read.
    #[from(ignore)]
    #[display("the secret in {} cannot be read: {source}", path.display())]
    Secret {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The key that daemons share is of no use.
    #[display("`peers.key_file`: {_0}")]
    PeerKey(PeerKeyError),
    /// The cluster part does not start.
    #[display("{_0}")]
    Cluster(ClusterError),
    /// The signals cannot be caught.
    #[from(ignore)]
    #[display("the signals cannot be caught: {source}")]
    Signals {
        /// What the system says.
        source: io::Error,
    },
    /// The administration API would be open to the network.
    #[display(
        "the administration API is off loopback; set `tls` and `tokens_file`, or, to let anyone \
         in, `allow_open_administration: true`"
    )]
    OpenAdministration,
    /// The settings name no platform.
    #[display("the settings name no platform; give the section `platform`")]
    NoPlatform,
}
