//! Counts of the requests and connections of every endpoint of a test.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_base::VmName;

/// Counts of the requests and connections of one endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCounts {
    /// The number of requests that arrived.
    pub arrivals: u64,
    /// The number of requests that the endpoint started to process.
    pub runs: u64,
    /// The number of requests that arrived while every slot was busy. A correct caller leaves it at zero.
    pub over_slots: u64,
    /// The maximum number of requests that were processed at the same time.
    pub max_running: u64,
    /// The number of connections that are open now.
    pub open_connections: u64,
    /// The maximum number of connections that were open at the same time.
    pub max_open_connections: u64,
    /// The number of connections that were opened beyond the limit. A correct caller leaves it at zero.
    pub over_connections: u64,
    /// When the last request arrived, on the endpoint's clock; `None` before the first.
    pub last_arrival: Option<Duration>,
    /// When the endpoint last started to process a request, on its clock; `None` before the first.
    pub last_start: Option<Duration>,
    running: u64,
}

#[derive(Debug, Default)]
struct LedgerState {
    endpoints: IndexMap<VmName, EndpointCounts>,
    /// For each `X-Request-Id`, how often the request was processed.
    runs: IndexMap<String, u32>,
}

/// Counts of the requests and connections of every endpoint of a test. It is independent of the system under test, so
/// that tests can check the system's reports against it.
#[derive(Debug, Default)]
pub struct EndpointLedger(Mutex<LedgerState>);

impl EndpointLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the counts of one endpoint, all zero for an unknown one.
    pub fn counts(&self, endpoint: &VmName) -> EndpointCounts {
        let state = self.lock();
        state.endpoints.get(endpoint).copied().unwrap_or_default()
    }

    /// Returns the counts of each endpoint.
    pub fn all_counts(&self) -> IndexMap<VmName, EndpointCounts> {
        self.lock().endpoints.clone()
    }

    /// Returns the number of requests that arrived while every slot of their endpoint was busy. Must be zero.
    pub fn over_slots(&self) -> u64 {
        self.sum(|counts| counts.over_slots)
    }

    /// Returns the number of connections that were opened beyond an endpoint's limit. Must be zero.
    pub fn over_connections(&self) -> u64 {
        self.sum(|counts| counts.over_connections)
    }

    /// Returns the number of requests processed by all endpoints.
    pub fn runs(&self) -> u64 {
        self.sum(|counts| counts.runs)
    }

    /// Returns how often the request with this `X-Request-Id` was processed.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.lock().runs.get(id).copied().unwrap_or(0)
    }

    /// Returns the `X-Request-Id` of each request that was processed more than once.
    pub fn repeated_request_ids(&self) -> Vec<String> {
        let state = self.lock();
        let repeated = state.runs.iter().filter(|(_, runs)| **runs > 1);
        repeated.map(|(id, _)| id.clone()).collect()
    }

    pub(crate) fn record_open(&self, endpoint: &VmName, limit: u16) {
        self.update(endpoint, |counts| {
            counts.open_connections += 1;
            counts.max_open_connections = counts.max_open_connections.max(counts.open_connections);
            counts.over_connections += u64::from(counts.open_connections > u64::from(limit));
        });
    }

    pub(crate) fn record_close(&self, endpoint: &VmName) {
        self.update(endpoint, |counts| counts.open_connections -= 1);
    }

    pub(crate) fn record_arrival(&self, endpoint: &VmName, now: Duration, over_slots: bool) {
        self.update(endpoint, |counts| {
            counts.arrivals += 1;
            counts.last_arrival = Some(now);
            counts.over_slots += u64::from(over_slots);
        });
    }

    pub(crate) fn record_start(&self, endpoint: &VmName, now: Duration, id: Option<&str>) {
        self.update(endpoint, |counts| {
            counts.runs += 1;
            counts.running += 1;
            counts.max_running = counts.max_running.max(counts.running);
            counts.last_start = Some(now);
        });
        if let Some(id) = id {
            *self.lock().runs.entry(id.to_owned()).or_default() += 1;
        }
    }

    pub(crate) fn record_end(&self, endpoint: &VmName) {
        self.update(endpoint, |counts| counts.running -= 1);
    }

    fn sum<Count>(&self, count: Count) -> u64
    where
        Count: Fn(&EndpointCounts) -> u64,
    {
        self.lock().endpoints.values().map(count).sum()
    }

    fn update<Change>(&self, endpoint: &VmName, change: Change)
    where
        Change: FnOnce(&mut EndpointCounts),
    {
        let mut state = self.lock();
        match state.endpoints.get_mut(endpoint) {
            Some(counts) => change(counts),
            None => change(state.endpoints.entry(endpoint.clone()).or_default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
