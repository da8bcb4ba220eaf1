//! Statistics of one class of requests, as their callers saw them.

use std::{
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use hdrhistogram::{
    CreationError,
    Histogram, //
};
use indexmap::IndexMap;

const MAX_LATENCY_MICROS: u64 = 60_000_000;
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 3;

/// The outcome of one request, as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestOutcome {
    /// The complete answer to this request was received, after this time.
    Whole(Duration),
    /// The request was refused with the statement that it was not run, or it was never sent.
    NotRun,
    /// It is unknown whether the request was run.
    Unknown,
    /// The response was not the complete answer to this request and did not say whether it was run.
    Wrong,
}

/// Statistics of one class of requests.
pub(crate) struct RequestStats {
    state: Mutex<StatsState>,
}

/// The data behind the lock of [`RequestStats`].
struct StatsState {
    sent: u64,
    /// The identifier and outcome of each completed request.
    outcomes: Vec<(String, RequestOutcome)>,
    refusals: IndexMap<String, u64>,
    latency: Histogram<u64>,
}

/// The number of requests by outcome, and quantiles of the latency of complete answers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestCounts {
    pub(crate) sent: u64,
    pub(crate) whole: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) wrong: u64,
    pub(crate) p50: Duration,
    pub(crate) p99: Duration,
    pub(crate) p999: Duration,
}

impl RequestStats {
    pub(crate) fn new() -> Result<Self, CreationError> {
        let state = StatsState {
            sent: 0,
            outcomes: Vec::new(),
            refusals: IndexMap::new(),
            latency: Histogram::new_with_max(MAX_LATENCY_MICROS, HISTOGRAM_SIGNIFICANT_DIGITS)?,
        };
        Ok(Self {
            state: Mutex::new(state),
        })
    }

    pub(crate) fn record_sent(&self) {
        self.lock().sent += 1;
    }

    pub(crate) fn record_refusal(&self, reason: &str) {
        *self.lock().refusals.entry(reason.to_owned()).or_default() += 1;
    }

    /// Returns the number of refusals by reason.
    pub(crate) fn refusals(&self) -> IndexMap<String, u64> {
        self.lock().refusals.clone()
    }

    pub(crate) fn record_outcome(&self, id: String, outcome: RequestOutcome) {
        let mut state = self.lock();
        if let RequestOutcome::Whole(time) = outcome {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            state.latency.saturating_record(micros);
        }
        state.outcomes.push((id, outcome));
    }

    pub(crate) fn counts(&self) -> RequestCounts {
        let state = self.lock();
        let quantile = |share| Duration::from_micros(state.latency.value_at_quantile(share));
        let mut counts = RequestCounts {
            sent: state.sent,
            p50: quantile(0.5),
            p99: quantile(0.99),
            p999: quantile(0.999),
            ..RequestCounts::default()
        };
        for (_, outcome) in &state.outcomes {
            match outcome {
                RequestOutcome::Whole(_) => counts.whole += 1,
                RequestOutcome::NotRun => counts.not_run += 1,
                RequestOutcome::Unknown => counts.unknown += 1,
                RequestOutcome::Wrong => counts.wrong += 1,
            }
        }
        counts
    }

    /// Returns the number of requests whose identifier and outcome satisfy `check`.
    pub(crate) fn count<Check>(&self, check: Check) -> u64
    where
        Check: Fn(&str, RequestOutcome) -> bool,
    {
        let state = self.lock();
        let matching = state
            .outcomes
            .iter()
            .filter(|(id, outcome)| check(id, *outcome));
        matching.map(|_| 1).sum()
    }

    fn lock(&self) -> MutexGuard<'_, StatsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
