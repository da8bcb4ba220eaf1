//! What became of the requests of one class.

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

const LONGEST_MICROS: u64 = 60_000_000;
const DIGITS: u8 = 3;

/// What became of one request, as its caller saw it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestFate {
    /// The whole answer to this very request came.
    Whole(Duration),
    /// It was refused, with the word that it was not run; or it was never sent.
    NotRun,
    /// Nobody can tell whether it ran.
    Unknown,
    /// What came was taken for an answer and was not the whole one to this request.
    Wrong,
}

/// What became of the requests of one class.
pub(crate) struct DemoTally {
    state: Mutex<TallyState>,
}

struct TallyState {
    sent: u64,
    fates: Vec<(String, RequestFate)>,
    refusals: IndexMap<String, u64>,
    latency: Histogram<u64>,
}

/// The counts of a tally.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TallyCounts {
    pub(crate) sent: u64,
    pub(crate) whole: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) wrong: u64,
    pub(crate) p50: Duration,
    pub(crate) p99: Duration,
    pub(crate) p999: Duration,
}

impl DemoTally {
    pub(crate) fn new() -> Result<Self, CreationError> {
        let state = TallyState {
            sent: 0,
            fates: Vec::new(),
            refusals: IndexMap::new(),
            latency: Histogram::new_with_max(LONGEST_MICROS, DIGITS)?,
        };
        Ok(Self {
            state: Mutex::new(state),
        })
    }

    pub(crate) fn send(&self) {
        self.lock().sent += 1;
    }

    pub(crate) fn refuse(&self, reason: &str) {
        *self.lock().refusals.entry(reason.to_owned()).or_default() += 1;
    }

    /// Returns how often each reason was given for not running a request.
    pub(crate) fn refusals(&self) -> IndexMap<String, u64> {
        self.lock().refusals.clone()
    }

    pub(crate) fn settle(&self, id: String, fate: RequestFate) {
        let mut state = self.lock();
        if let RequestFate::Whole(time) = fate {
            let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
            state.latency.saturating_record(micros);
        }
        state.fates.push((id, fate));
    }

    pub(crate) fn counts(&self) -> TallyCounts {
        let state = self.lock();
        let quantile = |share| Duration::from_micros(state.latency.value_at_quantile(share));
        let mut counts = TallyCounts {
            sent: state.sent,
            p50: quantile(0.5),
            p99: quantile(0.99),
            p999: quantile(0.999),
            ..TallyCounts::default()
        };
        for (_, fate) in &state.fates {
            match fate {
                RequestFate::Whole(_) => counts.whole += 1,
                RequestFate::NotRun => counts.not_run += 1,
                RequestFate::Unknown => counts.unknown += 1,
                RequestFate::Wrong => counts.wrong += 1,
            }
        }
        counts
    }

    /// Returns how many requests are such that `check` holds of their identity and fate.
    pub(crate) fn count<Check>(&self, check: Check) -> u64
    where
        Check: Fn(&str, RequestFate) -> bool,
    {
        let state = self.lock();
        let found = state.fates.iter().filter(|(id, fate)| check(id, *fate));
        found.map(|_| 1).sum()
    }

    fn lock(&self) -> MutexGuard<'_, TallyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
