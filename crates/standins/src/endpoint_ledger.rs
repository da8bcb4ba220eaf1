//! What the endpoints of a test saw.

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

/// What one endpoint saw.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointCounts {
    /// The requests that arrived.
    pub arrivals: u64,
    /// The requests that it ran.
    pub runs: u64,
    /// The requests that arrived while every slot was busy. Must be zero.
    pub over_slots: u64,
    /// The most requests that it ran at once.
    pub most_running: u64,
    /// The connections that are open.
    pub open: u64,
    /// The most connections that were open at once.
    pub most_open: u64,
    /// The connections that were opened above the limit. Must be zero.
    pub over_connections: u64,
    /// When the last request arrived, on the endpoints' clock.
    pub last_arrival: Option<Duration>,
    /// When the last run started, on the endpoints' clock.
    pub last_start: Option<Duration>,
    running: u64,
}

#[derive(Debug, Default)]
struct LedgerState {
    endpoints: IndexMap<VmName, EndpointCounts>,
    runs: IndexMap<String, u32>,
}

/// What the endpoints of a test saw. It stands outside the system, so that what the system says of
/// itself can be checked against it.
#[derive(Debug, Default)]
pub struct EndpointLedger(Mutex<LedgerState>);

impl EndpointLedger {
    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns what one endpoint saw.
    pub fn counts(&self, endpoint: &VmName) -> EndpointCounts {
        let state = self.lock();
        state.endpoints.get(endpoint).copied().unwrap_or_default()
    }

    /// Returns what each endpoint saw.
    pub fn all_counts(&self) -> IndexMap<VmName, EndpointCounts> {
        self.lock().endpoints.clone()
    }

    /// Returns the requests that arrived while every slot of their endpoint was busy. Must be zero.
    pub fn over_slots(&self) -> u64 {
        self.sum(|counts| counts.over_slots)
    }

    /// Returns the connections that were opened above an endpoint's limit. Must be zero.
    pub fn over_connections(&self) -> u64 {
        self.sum(|counts| counts.over_connections)
    }

    /// Returns all runs.
    pub fn runs(&self) -> u64 {
        self.sum(|counts| counts.runs)
    }

    /// Returns how often the request of this `X-Request-Id` was run.
    pub fn runs_of(&self, id: &str) -> u32 {
        self.lock().runs.get(id).copied().unwrap_or(0)
    }

    /// Returns the requests that were run more than once, by their `X-Request-Id`.
    pub fn repeated(&self) -> Vec<String> {
        let state = self.lock();
        let repeated = state.runs.iter().filter(|(_, runs)| **runs > 1);
        repeated.map(|(id, _)| id.clone()).collect()
    }

    pub(crate) fn open(&self, endpoint: &VmName, limit: u16) {
        self.change(endpoint, |counts| {
            counts.open += 1;
            counts.most_open = counts.most_open.max(counts.open);
            counts.over_connections += u64::from(counts.open > u64::from(limit));
        });
    }

    pub(crate) fn close(&self, endpoint: &VmName) {
        self.change(endpoint, |counts| counts.open -= 1);
    }

    pub(crate) fn arrive(&self, endpoint: &VmName, now: Duration, over_slots: bool) {
        self.change(endpoint, |counts| {
            counts.arrivals += 1;
            counts.last_arrival = Some(now);
            counts.over_slots += u64::from(over_slots);
        });
    }

    pub(crate) fn start(&self, endpoint: &VmName, now: Duration, id: Option<&str>) {
        self.change(endpoint, |counts| {
            counts.runs += 1;
            counts.running += 1;
            counts.most_running = counts.most_running.max(counts.running);
            counts.last_start = Some(now);
        });
        if let Some(id) = id {
            *self.lock().runs.entry(id.to_owned()).or_default() += 1;
        }
    }

    pub(crate) fn end(&self, endpoint: &VmName) {
        self.change(endpoint, |counts| counts.running -= 1);
    }

    fn sum<Part>(&self, part: Part) -> u64
    where
        Part: Fn(&EndpointCounts) -> u64,
    {
        self.lock().endpoints.values().map(part).sum()
    }

    fn change<Change>(&self, endpoint: &VmName, change: Change)
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
