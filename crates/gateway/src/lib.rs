//! The request path: takes callers' requests over HTTP/1.1 and has an endpoint answer each.

mod answer_body;
mod answer_rules;
mod body_fault;
mod caller_server;
mod caller_stream;
mod class_metrics;
mod delivery;
mod endpoint_connection;
mod endpoint_entry;
mod exchange;
mod exchange_end;
mod gateway;
mod gateway_edges;
mod gateway_settings;
mod gateway_shared;
mod head_fault;
mod head_watch;
mod header_names;
mod header_rules;
mod key_hours;
mod key_record;
mod key_row;
mod key_store;
mod key_sweeper;
mod key_write;
mod key_writer;
mod keyed_delivery;
mod peer_directory;
mod peer_forward;
mod pending_exchange;
mod pool_keeper;
mod pool_refresh;
mod pool_settlement;
mod pool_state;
mod refusal;
mod request_body;
mod request_handler;
mod request_trace;
mod route_snapshot;
mod service_pool;
mod slot_key;
mod slot_lease;
mod taken_request;

pub use self::{
    gateway::Gateway,
    gateway_edges::GatewayEdges,
    gateway_settings::GatewaySettings, //
};
