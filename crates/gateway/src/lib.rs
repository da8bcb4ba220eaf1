//! The request path: accepts requests from callers over HTTP/1.1 and forwards each to an endpoint
//! of its service.

mod answer_body;
mod body_error;
mod caller_server;
mod caller_stream;
mod class_metrics;
mod delivery;
mod endpoint_connection;
mod endpoint_entry;
mod exchange;
mod exchange_outcome;
mod gateway;
mod gateway_ports;
mod gateway_settings;
mod gateway_state;
mod head_error;
mod header_names;
mod header_rules;
mod hour_counter;
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
mod pool_outcome;
mod pool_refresh;
mod pool_state;
mod pool_updater;
mod prepared_request;
mod refusal;
mod request_body;
mod request_handler;
mod request_head_scanner;
mod request_trace;
mod response_body;
mod response_rules;
mod route_snapshot;
mod service_pool;
mod slot_key;
mod slot_lease;
mod stream_limit;

pub use self::{
    gateway::Gateway,
    gateway_ports::GatewayPorts,
    gateway_settings::GatewaySettings, //
};
