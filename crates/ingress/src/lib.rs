//! Bounds what clients that are not under control can make a process hold: connections, and the memory of their requests.

mod body_error;
mod body_start;
mod connection;
mod connection_limits;
mod connection_table;
mod descriptor_limit;
mod descriptor_shortage;
mod listener;
mod refusal_counts;
mod table_state;

pub use self::{
    body_error::BodyError,
    body_start::BodyStart,
    connection::Connection,
    connection_limits::ConnectionLimits,
    connection_table::ConnectionTable,
    descriptor_limit::descriptor_limit,
    descriptor_shortage::DescriptorShortage,
    listener::listen,
    refusal_counts::RefusalCounts, //
};
