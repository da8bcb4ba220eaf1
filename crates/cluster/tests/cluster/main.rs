//! Tests of the cluster part under failures of the table service, the network and daemons. Each file
//! covers one feature.

#![expect(clippy::unwrap_used, reason = "Test helpers may panic, as tests do.")]

mod configuration;
mod frames;
mod harness;
mod membership;
mod memory_network;
mod outages;
mod peer_link_contract;
mod tcp_link;
