//! Tests of complete daemons with stand-ins of the platform and the endpoints, on loopback.

mod balancer;
mod caller;
mod change_faults;
mod collector;
mod crash;
mod end_to_end;
mod graceful_stop;
mod jobs;
mod peer_faults;
mod platform;
mod program;
mod rolling_replacement;
mod secret_files;
mod three_daemons;
mod traces;
mod unread_log;
