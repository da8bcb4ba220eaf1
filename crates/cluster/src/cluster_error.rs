//! The reasons why the cluster part cannot start.

use std::{
    io,
    net::SocketAddr, //
};

use derive_more::{
    Display,
    Error, //
};

/// The reason why the cluster part cannot start.
#[derive(Debug, Display, Error)]
pub enum ClusterError {
    /// The address for peers cannot be bound.
    #[display("cannot listen for peers on {address}: {cause}")]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        #[error(source)]
        cause: io::Error,
    },
    /// The number of seats is not in the range from 1 to 64.
    #[display("{seats} seats are set; give from 1 to 64")]
    InvalidSeatCount {
        /// The number of seats from the settings.
        seats: u8,
    },
    /// The cluster actor could not be spawned.
    #[display("the cluster actor did not start")]
    ActorNotStarted,
}
