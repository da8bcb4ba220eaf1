//! What daemons say to one another.

use jasminebend_dispatch::{
    Admission,
    JobGraph,
    JobKey, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    CallerAnswer,
    CallerCall, //
};

/// What a daemon asks another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerCall {
    /// How do you do?
    Probe {
        /// The highest fencing token that the asker knows.
        token: u64,
    },
    /// Answer this caller in my place.
    Serve(CallerCall),
    /// Is there room for this job? Daemons of an earlier version don't know the question.
    Admit {
        /// The job.
        key: JobKey,
        /// Its queue.
        queue: String,
        /// What it consists of.
        graph: JobGraph,
    },
}

/// What a daemon answers another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerAnswer {
    /// How it does.
    Health(PeerHealth),
    /// What the caller is to be answered.
    Served(CallerAnswer),
    /// Whether there is room, if it is the owner that was asked.
    Admission(Option<Admission>),
}

/// How a daemon does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerHealth {
    /// Which life of it answers.
    pub incarnation: u64,
    /// The token of the ownership that it acts by, if it does.
    pub acting: Option<u64>,
    /// The highest token that it knows, the asker's among them; 0 if it can't tell.
    pub known_token: u64,
    /// For how long it has not reached the store, in milliseconds.
    pub without_store_ms: u64,
}
