//! Messages between daemons.

use jasminebend_dispatch::{
    Admission,
    JobGraph,
    JobKey, //
};
use serde::{
    Deserialize,
    Deserializer,
    Serialize, //
};

use crate::{
    CallerAnswer,
    CallerRequest, //
};

/// A daemon's request to another daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Asks for the daemon's health.
    Probe {
        /// The highest fencing token that the sender knows.
        token: u64,
    },
    /// Forwards a caller's request.
    Serve(CallerRequest),
    /// Asks the owner whether there is free capacity for a job. Daemons of earlier versions can't decode this request.
    Admit {
        /// The job's key.
        key: JobKey,
        /// The name of the job's queue.
        queue: String,
        /// The job's steps and their dependencies.
        graph: JobGraph,
    },
}

/// A daemon's answer to another daemon.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerAnswer {
    /// The daemon's health, in answer to a probe.
    Health(PeerHealth),
    /// The answer to a forwarded request of a caller.
    Served(CallerAnswer),
    /// The admission decision; `None` if the daemon that was asked is not the owner.
    Admission(Option<Admission>),
}

/// The health of a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PeerHealth {
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// The fencing token by which the daemon acts as the owner; `None` if it does not, or has not read all records.
    pub acting: Option<u64>,
    /// The highest token that the daemon knows, including the sender's; 0 if it must not confirm any token.
    pub known_token: u64,
    /// How long the daemon's calls to the store have failed, in milliseconds.
    pub without_store_ms: u64,
    /// The number of pages that the daemon has read while, as the owner, it reads its records; `None` otherwise. Daemons of
    /// earlier versions do not send it.
    #[serde(deserialize_with = "none_if_missing")]
    pub loading: Option<u64>,
}

fn none_if_missing<'de, Source>(source: Source) -> Result<Option<u64>, Source::Error>
where
    Source: Deserializer<'de>,
{
    Ok(Option::deserialize(source).unwrap_or_default())
}
