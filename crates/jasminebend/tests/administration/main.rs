//! Tests of the administration API over a fake control port.

mod access;
mod api;
mod change_log;
mod fake_control_port;
mod fuzzed_bodies;
mod harness;
mod job_pages;
mod temporary_directory;
mod token_attempt_limiter;
mod unread_responses;
