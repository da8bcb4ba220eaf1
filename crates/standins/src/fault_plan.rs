//! Chooses the fault of each call to a stand-in.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration, //
};

use indexmap::IndexMap;
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::time;

use crate::{
    CallCounts,
    CallKind,
    FaultKind, //
};

/// Which calls of a service fail because of an outage.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutageState {
    /// There is no outage.
    #[default]
    Up,
    /// Every call has this fault.
    Down(FaultKind),
    /// Reads work; every write has this fault.
    ReadsOnly(FaultKind),
    /// Writes work; every read has this fault.
    WritesOnly(FaultKind),
}

#[derive(Debug)]
struct PlanState {
    outage: OutageState,
    /// The queued faults of the next calls of each kind; `None` lets a call through.
    queued: IndexMap<CallKind, VecDeque<Option<FaultKind>>>,
    always: IndexMap<CallKind, FaultKind>,
    /// Random faults, each with its probability in thousandths.
    mix: Vec<(FaultKind, u32)>,
    /// The maximum number of writes in each second.
    write_limit: Option<u32>,
    /// The current second, and the number of writes in it.
    write_window: (u64, u32),
    rng: SmallRng,
    counts: CallCounts,
}

/// Chooses the fault of each call to a stand-in and counts the calls. Copies share their state.
///
/// An outage comes first, then the queued faults, then the fault of every call of a kind, then the write limit, then
/// the random faults.
#[derive(Clone, Debug)]
pub struct FaultPlan(Arc<Mutex<PlanState>>);

impl Default for FaultPlan {
    fn default() -> Self {
        Self::new(0)
    }
}

impl FaultPlan {
    /// Creates a plan without faults. `seed` seeds the random faults.
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(PlanState {
            outage: OutageState::Up,
            queued: IndexMap::new(),
            always: IndexMap::new(),
            mix: Vec::new(),
            write_limit: None,
            write_window: (0, 0),
            rng: SmallRng::seed_from_u64(seed),
            counts: CallCounts::default(),
        })))
    }

    /// Queues a fault for one call of this kind. Queued faults apply to the next calls in the order of the method
    /// calls.
    pub fn queue_fault(&self, call: CallKind, fault: FaultKind) {
        let mut state = self.lock();
        state.queued.entry(call).or_default().push_back(Some(fault));
    }

    /// Queues a call without a fault, in the same queue as [`FaultPlan::queue_fault`].
    pub fn queue_success(&self, call: CallKind) {
        self.lock().queued.entry(call).or_default().push_back(None);
    }

    /// Sets the fault of every call of this kind until [`FaultPlan::clear_faults`].
    pub fn set_fault(&self, call: CallKind, fault: FaultKind) {
        self.lock().always.insert(call, fault);
    }

    /// Sets the random faults, each with its probability in thousandths.
    pub fn set_random_faults<Faults>(&self, faults: Faults)
    where
        Faults: IntoIterator<Item = (FaultKind, u32)>,
    {
        self.lock().mix = faults.into_iter().collect();
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: OutageState) {
        self.lock().outage = outage;
    }

    /// Refuses writes beyond this number per second; `None` removes the limit.
    pub fn limit_writes(&self, per_second: Option<u32>) {
        self.lock().write_limit = per_second;
    }

    /// Removes every fault, outage and limit. The counts stay.
    pub fn clear_faults(&self) {
        let mut state = self.lock();
        state.outage = OutageState::Up;
        state.queued.clear();
        state.always.clear();
        state.mix.clear();
        state.write_limit = None;
    }

    /// Returns the counts of the calls.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    pub(crate) fn count_rows(&self, rows: usize, bytes: usize) {
        let counts = &mut self.lock().counts;
        // CAST: `usize` has at most 64 bits on the machines that Rust's standard library supports.
        counts.rows += rows as u64;
        counts.bytes += bytes as u64;
    }

    /// Counts a call that arrives at `now` and returns its fault, if it has one.
    pub(crate) fn next_fault(&self, call: CallKind, now: Duration) -> Option<FaultKind> {
        let mut state = self.lock();
        state.count(call);
        let fault = state.next_fault(call, now);
        if fault.is_some_and(FaultKind::prevents_effect) {
            state.counts.refused += 1;
        }
        fault
    }

    /// Runs a call with the fault chosen for it. The error is the fault that replaces the response.
    pub(crate) async fn run<Answer, Effect>(
        &self,
        call: CallKind,
        now: Duration,
        effect: Effect,
    ) -> Result<Answer, FaultKind>
    where
        Answer: Send + 'static,
        Effect: Fn() -> Answer + Send + 'static,
    {
        run_with_fault(self.next_fault(call, now), effect).await
    }

    fn lock(&self) -> MutexGuard<'_, PlanState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs an effect with a fault. The error is the fault that replaces the response.
pub(crate) async fn run_with_fault<Answer, Effect>(
    fault: Option<FaultKind>,
    effect: Effect,
) -> Result<Answer, FaultKind>
where
    Answer: Send + 'static,
    Effect: Fn() -> Answer + Send + 'static,
{
    let Some(fault) = fault else {
        return Ok(effect());
    };
    match fault {
        FaultKind::LoseRequest | FaultKind::Refuse | FaultKind::Unreachable => Err(fault),
        FaultKind::LoseAnswer | FaultKind::CutAnswer | FaultKind::Malformed => {
            effect();
            Err(fault)
        }
        FaultKind::Slow(delay) => run_delayed(delay, effect).await,
        FaultKind::SlowAnswer(delay) => {
            let answer = effect();
            time::sleep(delay).await;
            Ok(answer)
        }
        FaultKind::LateEffect(delay) => {
            tokio::spawn(run_delayed(delay, effect));
            Err(fault)
        }
        FaultKind::Duplicate(delay) => {
            let answer = effect();
            tokio::spawn(run_delayed(delay, effect));
            Ok(answer)
        }
        FaultKind::Stale => Ok(effect()),
    }
}

/// Runs an effect after a delay, in its own task: a call in progress takes effect even if its caller gives up.
async fn run_delayed<Answer, Effect>(delay: Duration, effect: Effect) -> Result<Answer, FaultKind>
where
    Answer: Send + 'static,
    Effect: Fn() -> Answer + Send + 'static,
{
    let task = tokio::spawn(async move {
        time::sleep(delay).await;
        effect()
    });
    task.await.map_err(|_| FaultKind::LoseAnswer)
}

impl PlanState {
    fn count(&mut self, call: CallKind) {
        if call.is_write() {
            self.counts.writes += 1;
        } else {
            self.counts.reads += 1;
        }
    }

    fn next_fault(&mut self, call: CallKind, now: Duration) -> Option<FaultKind> {
        if let Some(fault) = self.outage_fault(call) {
            return Some(fault);
        }
        if let Some(queued) = self.queued.get_mut(&call).and_then(VecDeque::pop_front) {
            return queued;
        }
        if let Some(fault) = self.always.get(&call) {
            return Some(*fault);
        }
        if call.is_write() && self.over_limit(now) {
            return Some(FaultKind::Refuse);
        }
        self.draw_random_fault()
    }

    fn outage_fault(&self, call: CallKind) -> Option<FaultKind> {
        match (self.outage, call.is_write()) {
            (OutageState::Down(fault), _)
            | (OutageState::ReadsOnly(fault), true)
            | (OutageState::WritesOnly(fault), false) => Some(fault),
            _ => None,
        }
    }

    fn over_limit(&mut self, now: Duration) -> bool {
        let Some(limit) = self.write_limit else {
            return false;
        };
        if self.write_window.0 != now.as_secs() {
            self.write_window = (now.as_secs(), 0);
        }
        self.write_window.1 += 1;
        self.write_window.1 > limit
    }

    fn draw_random_fault(&mut self) -> Option<FaultKind> {
        if self.mix.is_empty() {
            return None;
        }
        let mut drawn = self.rng.random_range(0..1000);
        for (fault, share) in &self.mix {
            if drawn < *share {
                return Some(*fault);
            }
            drawn -= share;
        }
        None
    }
}
