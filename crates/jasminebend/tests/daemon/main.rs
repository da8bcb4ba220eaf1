//! Whole daemons over stand-ins of the platform and of the endpoints, on loopback.

mod balancer;
mod caller;
mod change_faults;
mod collector;
mod crash;
mod graceful_stop;
mod jobs;
mod key_files;
mod peer_faults;
mod platform;
mod program;
mod rolling_replacement;
mod three_daemons;
mod traces;
mod unread_log;
mod whole_path;
