//! What goes wrong with which call.

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

/// Whether a service is down as a whole.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OutageState {
    /// The service works.
    #[default]
    Up,
    /// Every call meets this fault.
    Down(FaultKind),
    /// Reads work, every write meets this fault.
    ReadsOnly(FaultKind),
    /// Writes work, every read meets this fault.
    WritesOnly(FaultKind),
}

#[derive(Debug)]
struct PlanState {
    outage: OutageState,
    next: IndexMap<CallKind, VecDeque<Option<FaultKind>>>,
    always: IndexMap<CallKind, FaultKind>,
    mix: Vec<(FaultKind, u32)>,
    write_limit: Option<u32>,
    window: (u64, u32),
    source: SmallRng,
    counts: CallCounts,
}

/// What goes wrong with which call, and what was counted. Copies share both.
#[derive(Clone, Debug)]
pub struct FaultPlan(Arc<Mutex<PlanState>>);

impl Default for FaultPlan {
    fn default() -> Self {
        Self::new(0)
    }
}

impl FaultPlan {
    /// Creates a plan without faults; `seed` is that of the random mix.
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(PlanState {
            outage: OutageState::Up,
            next: IndexMap::new(),
            always: IndexMap::new(),
            mix: Vec::new(),
            write_limit: None,
            window: (0, 0),
            source: SmallRng::seed_from_u64(seed),
            counts: CallCounts::default(),
        })))
    }

    /// Lets the next call of this kind meet the fault; several wait in their order.
    pub fn once(&self, call: CallKind, fault: FaultKind) {
        let mut state = self.lock();
        state.next.entry(call).or_default().push_back(Some(fault));
    }

    /// Lets the next call of this kind through; it takes a turn as [`FaultPlan::once`] does.
    pub fn pass(&self, call: CallKind) {
        self.lock().next.entry(call).or_default().push_back(None);
    }

    /// Lets every call of this kind meet the fault, until [`FaultPlan::heal`].
    pub fn always(&self, call: CallKind, fault: FaultKind) {
        self.lock().always.insert(call, fault);
    }

    /// Lets each call meet each of these faults by chance, in thousandths.
    pub fn mix<Faults>(&self, faults: Faults)
    where
        Faults: IntoIterator<Item = (FaultKind, u32)>,
    {
        self.lock().mix = faults.into_iter().collect();
    }

    /// Takes the service down or up as a whole.
    pub fn set_outage(&self, outage: OutageState) {
        self.lock().outage = outage;
    }

    /// Refuses the writes above so many a second.
    pub fn limit_writes(&self, per_second: Option<u32>) {
        self.lock().write_limit = per_second;
    }

    /// Ends every fault; the counts stay.
    pub fn heal(&self) {
        let mut state = self.lock();
        state.outage = OutageState::Up;
        state.next.clear();
        state.always.clear();
        state.mix.clear();
        state.write_limit = None;
    }

    /// Returns what was counted.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    pub(crate) fn count_rows(&self, rows: usize, bytes: usize) {
        let counts = &mut self.lock().counts;
        // CAST: `usize` has at most 64 bits on the machines that Rust's standard library supports.
        counts.rows += rows as u64;
        counts.bytes += bytes as u64;
    }

    /// Decides what becomes of a call that arrives at `now`, and counts it.
    pub(crate) fn decide(&self, call: CallKind, now: Duration) -> Option<FaultKind> {
        let mut state = self.lock();
        state.count(call);
        let fault = state.decide(call, now);
        if fault.is_some_and(FaultKind::prevents_effect) {
            state.counts.refused += 1;
        }
        fault
    }

    /// Runs a call under the fault that it meets. The error is the fault that takes the place of
    /// the answer.
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
        run_under(self.decide(call, now), effect).await
    }

    fn lock(&self) -> MutexGuard<'_, PlanState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs an effect under a fault. The error is the fault that takes the place of the answer.
pub(crate) async fn run_under<Answer, Effect>(
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
        FaultKind::Slow(delay) => run_late(delay, effect).await,
        FaultKind::SlowAnswer(delay) => {
            let answer = effect();
            time::sleep(delay).await;
            Ok(answer)
        }
        FaultKind::LateEffect(delay) => {
            tokio::spawn(run_late(delay, effect));
            Err(fault)
        }
        FaultKind::Duplicate(delay) => {
            let answer = effect();
            tokio::spawn(run_late(delay, effect));
            Ok(answer)
        }
        FaultKind::Stale => Ok(effect()),
    }
}

/// Runs an effect late in a task of its own: a call in progress comes about even when its caller
/// gave up.
async fn run_late<Answer, Effect>(delay: Duration, effect: Effect) -> Result<Answer, FaultKind>
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

    fn decide(&mut self, call: CallKind, now: Duration) -> Option<FaultKind> {
        if let Some(fault) = self.outage_fault(call) {
            return Some(fault);
        }
        if let Some(turn) = self.next.get_mut(&call).and_then(VecDeque::pop_front) {
            return turn;
        }
        if let Some(fault) = self.always.get(&call) {
            return Some(*fault);
        }
        if call.is_write() && self.over_limit(now) {
            return Some(FaultKind::Refuse);
        }
        self.draw()
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
        if self.window.0 != now.as_secs() {
            self.window = (now.as_secs(), 0);
        }
        self.window.1 += 1;
        self.window.1 > limit
    }

    fn draw(&mut self) -> Option<FaultKind> {
        if self.mix.is_empty() {
            return None;
        }
        let mut drawn = self.source.random_range(0..1000);
        for (fault, share) in &self.mix {
            if drawn < *share {
                return Some(*fault);
            }
            drawn -= share;
        }
        None
    }
}
