//! The slots of one service's endpoints that this daemon may use, and who waits for them.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use jasminebend_base::ServiceName;
use jasminebend_ports::ClockSource;
use jasminebend_routing::{
    AdmissionControl,
    AdmissionDecision,
    QueueKey, //
};
use metrics::counter;
use spdlog::warn;
use tokio::{
    sync::{
        Notify,
        oneshot, //
    },
    time::timeout,
};

use crate::{
    class_metrics::SILENT_CONNECTIONS,
    exchange_end::ExchangeEnd,
    gateway_settings::GatewaySettings,
    pool_state::{
        PoolState,
        SlotWaiter, //
    },
    refusal::Refusal,
    slot_key::SlotKey,
    slot_lease::SlotLease,
};

const SUSPICION_MULTIPLE: u32 = 4;
const LEAST_SUSPICION: Duration = Duration::from_millis(50);
/// A slow service would otherwise fill the log with this line.
const WARN_EVERY: Duration = Duration::from_secs(10);
const MOST_SUSPICION: Duration = Duration::from_secs(5);

/// The slots of one service's endpoints that this daemon may use, and who waits for them.
pub(crate) struct ServicePool {
    /// The service.
    pub(crate) service: ServiceName,
    /// The settings.
    pub(crate) settings: Arc<GatewaySettings>,
    /// The clock.
    pub(crate) clock: Arc<dyn ClockSource>,
    /// Told whenever a slot falls idle.
    pub(crate) idle: Arc<Notify>,
    /// Whether there are slots to use, or some may come back in a moment; as of the last refresh.
    able: AtomicBool,
    /// Idle connections last heard from before this, in nanoseconds, are replaced before use.
    suspect_before: AtomicU64,
    state: Mutex<PoolState>,
}

/// What a request wants of a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotDemand {
    /// When the request arrived.
    pub(crate) arrival: Duration,
    /// Until when it is to be answered.
    pub(crate) deadline: Duration,
    /// An endpoint that it would rather not meet again.
    pub(crate) avoid: Option<SocketAddr>,
}

enum SlotOffer {
    Taken(SlotLease),
    Queued(QueueKey, oneshot::Receiver<Result<SlotLease, Refusal>>),
}

struct QueuePlace<'a> {
    pool: &'a ServicePool,
    key: QueueKey,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.pool.lock().queue.remove(self.key);
    }
}

impl ServicePool {
    /// Creates a pool without endpoints.
    pub(crate) fn new(
        service: ServiceName,
        settings: Arc<GatewaySettings>,
        clock: Arc<dyn ClockSource>,
        idle: Arc<Notify>,
        seed: u64,
    ) -> Self {
        let state = PoolState::new(settings.most_waiting, settings.retry_ratio, seed);
        Self {
            service,
            settings,
            clock,
            idle,
            able: AtomicBool::new(false),
            suspect_before: AtomicU64::new(0),
            state: Mutex::new(state),
        }
    }

    /// Locks the state; held for a few steps only, and never while waiting.
    pub(crate) fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether this daemon has slots of the service to use, or just had some and may have
    /// them again in a moment.
    pub(crate) fn serves(&self) -> bool {
        self.able.load(Ordering::Relaxed)
    }

    /// Notes whether there are slots to use.
    pub(crate) fn set_able(&self, able: bool) {
        self.able.store(able, Ordering::Relaxed);
    }

    /// Tells whether an idle connection last heard from at this time may be lost as another one was.
    pub(crate) fn is_suspect(&self, last_heard: Duration) -> bool {
        nanos(last_heard) < self.suspect_before.load(Ordering::Relaxed)
    }

    /// Takes a slot at once, if one is free.
    pub(crate) fn try_acquire(self: &Arc<Self>, avoid: Option<SocketAddr>) -> Option<SlotLease> {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        let key = state.take_avoiding(now, avoid)?;
        Some(self.lease(&mut state, key))
    }

    /// Takes a slot, waiting for one within the request's target.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        demand: SlotDemand,
    ) -> Result<SlotLease, Refusal> {
        let (key, reply) = match self.offer(demand)? {
            SlotOffer::Taken(lease) => return Ok(lease),
            SlotOffer::Queued(key, reply) => (key, reply),
        };
        let _place = QueuePlace { pool: self, key };
        let now = self.clock.monotonic();
        let awaited = self.lock().shares_awaited(now);
        let until = demand.deadline.min(awaited.unwrap_or(demand.deadline));
        match timeout(until.saturating_sub(now), reply).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) if awaited.is_some() => Err(Refusal::NoEndpoint),
            Ok(Err(_)) | Err(_) => Err(Refusal::QueueTimeout),
        }
    }

    /// Gives a slot back that was held for so long, and hands it on to whoever waits.
    pub(crate) fn settle(self: &Arc<Self>, key: SlotKey, end: ExchangeEnd, held: Duration) {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        state.entry(key.endpoint).score.record_completion();
        if matches!(end, ExchangeEnd::Answered { .. }) {
            state.holding.observe(held);
        }
        state.apply(&self.settings, key, end, now);
        state.list(Some(key));
        let wanted = !state.queue.is_empty();
        drop(state);
        self.idle.notify_waiters();
        if wanted {
            self.hand_over();
        }
    }

    /// Hands free slots to waiting requests, in the queue's order.
    pub(crate) fn hand_over(self: &Arc<Self>) {
        while let Some((waiter, outcome)) = self.next_handover() {
            let Err(Ok(lease)) = waiter.reply.send(outcome) else {
                continue;
            };
            // The waiter left in this moment: the slot goes back as it was.
            let key = lease.key();
            let connection = lease.forget();
            let mut state = self.lock();
            state.slot(key).connection = connection;
            state.put_back(key);
        }
    }

    /// Returns how long an exchange that was given up may go unheard before its connection counts
    /// as silent.
    pub(crate) fn suspicion_time(&self) -> Duration {
        let usual = self.lock().latency.quantile() * SUSPICION_MULTIPLE;
        usual.clamp(LEAST_SUSPICION, MOST_SUSPICION)
    }

    /// Notes that nothing was heard on a connection since `sent_at`: idle ones that were quiet for
    /// as long may be lost in the same way, and are replaced before they are used.
    pub(crate) fn suspect(&self, sent_at: Duration) {
        let now = self.clock.monotonic();
        self.suspect_before
            .fetch_max(nanos(sent_at), Ordering::Relaxed);
        let mut state = self.lock();
        let quiet = state.warned_at.is_none_or(|at| now >= at + WARN_EVERY);
        if quiet {
            state.warned_at = Some(now);
        }
        drop(state);
        counter!(SILENT_CONNECTIONS, "service" => self.service.to_string()).increment(1);
        if quiet {
            warn!("[gateway] A connection to {} went silent.", self.service);
        }
    }

    fn next_handover(self: &Arc<Self>) -> Option<(SlotWaiter, Result<SlotLease, Refusal>)> {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        if state.queue.is_empty() {
            return None;
        }
        let key = state.take(now)?;
        let Some(waiter) = next_waiter(&mut state, now) else {
            state.put_back(key);
            return None;
        };
        let lease = self.lease(&mut state, key);
        Some((waiter, Ok(lease)))
    }

    fn offer(self: &Arc<Self>, demand: SlotDemand) -> Result<SlotOffer, Refusal> {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        if demand.avoid.is_none() {
            state.budget.deposit();
        }
        if state.queue.is_empty()
            && let Some(key) = state.take_avoiding(now, demand.avoid)
        {
            return Ok(SlotOffer::Taken(self.lease(&mut state, key)));
        }
        self.enqueue(&mut state, demand, now)
    }

    fn enqueue(
        &self,
        state: &mut PoolState,
        demand: SlotDemand,
        now: Duration,
    ) -> Result<SlotOffer, Refusal> {
        let rule = AdmissionControl {
            slot_count: state.serving,
            queue_length: state.queue.len(),
            service_time: state.holding.mean(),
        };
        if rule.slot_count == 0 && state.shares_awaited(now).is_none() {
            return Err(Refusal::NoEndpoint);
        }
        let left = demand.deadline.saturating_sub(now);
        if rule.slot_count > 0
            && let AdmissionDecision::Refuse { retry_after } = rule.decide(left)
        {
            return Err(Refusal::Overloaded { retry_after });
        }
        let (reply, receiver) = oneshot::channel();
        let waiter = SlotWaiter {
            reply,
            deadline: demand.deadline,
        };
        let key = state
            .queue
            .push(waiter, demand.arrival, demand.deadline)
            .map_err(|_| Refusal::QueueFull {
                retry_after: rule.expected_wait(),
            })?;
        Ok(SlotOffer::Queued(key, receiver))
    }

    fn lease(self: &Arc<Self>, state: &mut PoolState, key: SlotKey) -> SlotLease {
        let address = state.entry(key.endpoint).address;
        let slot = state.slot(key);
        let grant = (slot.share, slot.epoch);
        let connection = slot.connection.take();
        SlotLease::new(Arc::clone(self), key, address, grant, connection)
    }
}

/// Returns a time in nanoseconds, which suffice for 584 years.
fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// Takes out the next request that can still meet its target, and refuses those before it that
/// cannot: they get their final answer at once, and their slot goes to one that it can help.
fn next_waiter(state: &mut PoolState, now: Duration) -> Option<SlotWaiter> {
    let needed = state.holding.mean();
    while let Some(waiter) = state.queue.pop(now) {
        if now + needed <= waiter.deadline {
            return Some(waiter);
        }
        // A waiter that left needs no answer.
        waiter.reply.send(Err(Refusal::QueueTimeout)).ok();
    }
    None
}
