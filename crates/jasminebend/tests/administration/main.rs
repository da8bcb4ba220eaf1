//! The administration API, over a control that each test sets.

mod access;
mod api;
mod bodies;
mod change_log;
mod control_fake;
mod harness;
mod job_pages;
mod temporary_directory;
mod token_tries;
mod unread_answers;
