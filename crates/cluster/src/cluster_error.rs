//! Why the cluster part cannot start.

use std::{
    io,
    net::SocketAddr, //
};

use derive_more::{
    Display,
    Error, //
};

/// Why the cluster part cannot start.
#[derive(Debug, Display, Error)]
pub enum ClusterError {
    /// The address for peers cannot be listened on.
    #[display("cannot listen for peers on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        #[error(source)]
        cause: io::Error,
    },
    /// The number of seats is out of range.
    #[display("{seats} seats are set; give from 1 to 64")]
    Seats {
        /// The number given.
        seats: u8,
    },
    /// The actor did not start.
    #[display("the cluster part did not start")]
    Actor,
}
