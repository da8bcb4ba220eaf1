//! A fleet of workers and its owners under a clock of its own, with messages that are delayed, lost or
//! late, so that a story of a failure is a few calls.

#![expect(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod fleet;
mod fleet_messages;
mod job_builders;

pub(crate) use self::{
    fleet::{
        Faults,
        Fleet,
        Owner,
        TICK, //
    },
    job_builders::{
        configuration,
        graph,
        ms,
        step, //
    },
};
