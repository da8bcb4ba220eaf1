//! A simulated fleet of workers and owners with its own clock and with messages that can be
//! delayed, lost or unanswered, so that a failure scenario takes a few calls.

#![expect(dead_code, unused_imports, reason = "each test file uses a part of it")]

mod fleet;
mod fleet_messages;
mod job_builders;
mod late_learning;
mod lease_lapses;

pub(crate) use self::{
    fleet::{
        CrashMode,
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
    late_learning::learning_delay,
};
