//! [`ServicePool`]: the slots of one service that this daemon may use, and the requests that wait
//! for them.

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
    class_metrics::SILENT_CONNECTIONS_METRIC,
    exchange_outcome::ExchangeOutcome,
    gateway_settings::GatewaySettings,
    pool_state::{
        PoolState,
        SlotWaiter, //
    },
    refusal::Refusal,
    slot_key::SlotKey,
    slot_lease::SlotLease,
    stream_limit::{
        StreamLimit,
        StreamPermit, //
    },
};

/// An abandoned exchange counts as silent after this many times the latency quantile of the pool.
const SILENCE_LATENCY_MULTIPLE: u32 = 4;
/// The shortest silence timeout.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(50);
/// How often a silent connection is logged for each service: a slow service would otherwise flood
/// the log.
const SILENCE_WARNING_INTERVAL: Duration = Duration::from_secs(10);
/// How often the refusal of a request with an incomplete body is logged for each service.
const INCOMPLETE_WARNING_INTERVAL: Duration = Duration::from_secs(1);
/// The longest silence timeout.
const MAX_SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// The slots of the endpoints of one service that this daemon may use, and the queue of requests
/// that wait for them.
pub(crate) struct ServicePool {
    /// The name of the service.
    pub(crate) service: ServiceName,
    /// The settings of the gateway.
    pub(crate) settings: Arc<GatewaySettings>,
    /// The clock by which all deadlines are computed.
    pub(crate) clock: Arc<dyn ClockSource>,
    /// Notified whenever a slot becomes idle.
    pub(crate) slot_idle: Arc<Notify>,
    /// Whether there are slots to use, or lost shares may return soon; as of the last refresh.
    can_serve: AtomicBool,
    /// Idle connections on which nothing was received since this time, in nanoseconds on the
    /// monotonic clock, are replaced before use.
    suspect_before: AtomicU64,
    /// Bounds the requests whose bodies are forwarded as they arrive.
    pub(crate) streams: StreamLimit,
    state: Mutex<PoolState>,
}

/// What a request needs when it acquires a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotDemand {
    /// When the request arrived, on the monotonic clock.
    pub(crate) arrival: Duration,
    /// The time by which the request should be answered.
    pub(crate) deadline: Duration,
    /// An endpoint that is avoided where possible, because an attempt there failed or is slow.
    pub(crate) avoid: Option<SocketAddr>,
}

/// A slot, or the place in the queue of a request that waits for one.
enum SlotOffer {
    Taken(SlotLease),
    Queued(QueueKey, oneshot::Receiver<Result<SlotLease, Refusal>>),
}

/// Removes a request from the queue when it is dropped.
struct QueueGuard<'a> {
    pool: &'a ServicePool,
    key: QueueKey,
}

impl Drop for QueueGuard<'_> {
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
        slot_idle: Arc<Notify>,
        seed: u64,
    ) -> Self {
        let state = PoolState::new(settings.max_waiting_requests, settings.retry_ratio, seed);
        Self {
            service,
            settings,
            clock,
            slot_idle,
            can_serve: AtomicBool::new(false),
            suspect_before: AtomicU64::new(0),
            streams: StreamLimit::default(),
            state: Mutex::new(state),
        }
    }

    /// Locks the state. The lock must be held only briefly, and never across an `await`.
    pub(crate) fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this daemon has slots of the service to use, or lost its shares recently and
    /// may hold them again soon.
    pub(crate) fn can_serve(&self) -> bool {
        self.can_serve.load(Ordering::Relaxed)
    }

    /// Sets whether there are slots to use.
    pub(crate) fn set_can_serve(&self, can_serve: bool) {
        self.can_serve.store(can_serve, Ordering::Relaxed);
    }

    /// Returns whether an idle connection on which something was last received at this time may be
    /// silent.
    pub(crate) fn is_suspect(&self, last_received_at: Duration) -> bool {
        to_nanos(last_received_at) < self.suspect_before.load(Ordering::Relaxed)
    }

    /// Takes a slot if one is free.
    pub(crate) fn try_acquire(self: &Arc<Self>, avoid: Option<SocketAddr>) -> Option<SlotLease> {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        let key = state.take_slot_avoiding(now, avoid)?;
        Some(self.lease(&mut state, key))
    }

    /// Takes a slot, and waits for one if necessary until the target of the request passes. If all
    /// shares were lost recently, it waits no longer than they may take to return.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        demand: SlotDemand,
    ) -> Result<SlotLease, Refusal> {
        let (key, reply) = match self.take_or_enqueue(demand)? {
            SlotOffer::Taken(lease) => return Ok(lease),
            SlotOffer::Queued(key, reply) => (key, reply),
        };
        let _queue_guard = QueueGuard { pool: self, key };
        let now = self.clock.monotonic();
        let share_deadline = self.lock().share_wait_deadline(now);
        let wait_deadline = demand
            .deadline
            .min(share_deadline.unwrap_or(demand.deadline));
        match timeout(wait_deadline.saturating_sub(now), reply).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) if share_deadline.is_some() => Err(Refusal::NoEndpoint),
            Ok(Err(_)) | Err(_) => Err(Refusal::QueueTimeout),
        }
    }

    /// Waits for the permit to forward an incomplete body, until the target of its request passes.
    /// Such requests take only a part of the slots: a slot whose body does not arrive is occupied
    /// until the longest request is over.
    pub(crate) async fn acquire_stream(&self, demand: SlotDemand) -> Result<StreamPermit, Refusal> {
        let percent = usize::from(self.settings.incomplete_slots_percent);
        let max_streams = || (self.lock().serving_slots * percent / 100).max(1);
        let remaining = demand.deadline.saturating_sub(self.clock.monotonic());
        let permit = timeout(remaining, self.streams.acquire(max_streams)).await;
        permit.map_err(|_| {
            self.warn_of_incomplete_bodies();
            Refusal::TooManyIncomplete
        })
    }

    fn warn_of_incomplete_bodies(&self) {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        let may_warn = state
            .incomplete_warned_at
            .is_none_or(|at| now >= at + INCOMPLETE_WARNING_INTERVAL);
        if may_warn {
            state.incomplete_warned_at = Some(now);
            warn!(
                "[gateway] Requests to {} were refused: incomplete bodies hold the slots that they \
                 may take.",
                self.service
            );
        }
    }

    /// Releases a slot that was occupied for `hold_time`, and assigns it to a waiting request.
    pub(crate) fn release_slot(
        self: &Arc<Self>,
        key: SlotKey,
        outcome: ExchangeOutcome,
        hold_time: Duration,
    ) {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        state.entry(key.endpoint).score.record_completion();
        if matches!(outcome, ExchangeOutcome::Answered { .. }) {
            state.slot_hold_time.observe(hold_time);
        }
        state.apply_outcome(&self.settings, key, outcome, now);
        state.add_to_free_list(Some(key));
        let has_waiters = !state.queue.is_empty();
        drop(state);
        self.slot_idle.notify_waiters();
        if has_waiters {
            self.assign_free_slots();
        }
    }

    /// Assigns free slots to waiting requests, in the order of the queue.
    pub(crate) fn assign_free_slots(self: &Arc<Self>) {
        while let Some((waiter, outcome)) = self.next_assignment() {
            let Err(Ok(lease)) = waiter.reply.send(outcome) else {
                continue;
            };
            // The waiter stopped waiting in this moment: the slot is returned unused.
            let key = lease.key();
            let connection = lease.into_connection();
            let mut state = self.lock();
            state.slot(key).connection = connection;
            state.release_unused(key);
        }
    }

    /// Returns for how long an abandoned exchange may receive nothing before its connection counts
    /// as silent.
    pub(crate) fn silence_timeout(&self) -> Duration {
        let typical_timeout = self.lock().latency.quantile() * SILENCE_LATENCY_MULTIPLE;
        typical_timeout.clamp(MIN_SILENCE_TIMEOUT, MAX_SILENCE_TIMEOUT)
    }

    /// Records that a connection received nothing since `sent_at`: connections that were idle for
    /// as long may be lost in the same way, and are replaced before they are used.
    pub(crate) fn mark_silent_connections(&self, sent_at: Duration) {
        let now = self.clock.monotonic();
        self.suspect_before
            .fetch_max(to_nanos(sent_at), Ordering::Relaxed);
        let mut state = self.lock();
        let may_warn = state
            .silence_warned_at
            .is_none_or(|at| now >= at + SILENCE_WARNING_INTERVAL);
        if may_warn {
            state.silence_warned_at = Some(now);
        }
        drop(state);
        counter!(SILENT_CONNECTIONS_METRIC, "service" => self.service.to_string()).increment(1);
        if may_warn {
            warn!("[gateway] A connection to {} went silent.", self.service);
        }
    }

    /// Takes a free slot for the next waiting request.
    fn next_assignment(self: &Arc<Self>) -> Option<(SlotWaiter, Result<SlotLease, Refusal>)> {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        if state.queue.is_empty() {
            return None;
        }
        let key = state.take_slot(now)?;
        let Some(waiter) = next_waiter(&mut state, now) else {
            state.release_unused(key);
            return None;
        };
        let lease = self.lease(&mut state, key);
        Some((waiter, Ok(lease)))
    }

    /// Takes a free slot, or adds the request to the queue.
    fn take_or_enqueue(self: &Arc<Self>, demand: SlotDemand) -> Result<SlotOffer, Refusal> {
        let now = self.clock.monotonic();
        let mut state = self.lock();
        if demand.avoid.is_none() {
            state.retry_budget.deposit();
        }
        if state.queue.is_empty()
            && let Some(key) = state.take_slot_avoiding(now, demand.avoid)
        {
            return Ok(SlotOffer::Taken(self.lease(&mut state, key)));
        }
        self.enqueue(&mut state, demand, now)
    }

    /// Adds the request to the queue, unless admission control refuses it.
    fn enqueue(
        &self,
        state: &mut PoolState,
        demand: SlotDemand,
        now: Duration,
    ) -> Result<SlotOffer, Refusal> {
        let admission = AdmissionControl {
            slot_count: state.serving_slots,
            queue_length: state.queue.len(),
            service_time: state.slot_hold_time.mean(),
        };
        if admission.slot_count == 0 && state.share_wait_deadline(now).is_none() {
            return Err(Refusal::NoEndpoint);
        }
        let remaining = demand.deadline.saturating_sub(now);
        if admission.slot_count > 0
            && let AdmissionDecision::Refuse { retry_after } = admission.decide(remaining)
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
                retry_after: admission.expected_wait(),
            })?;
        Ok(SlotOffer::Queued(key, receiver))
    }

    /// Creates the lease of a slot that was taken.
    fn lease(self: &Arc<Self>, state: &mut PoolState, key: SlotKey) -> SlotLease {
        let address = state.entry(key.endpoint).address;
        let slot = state.slot(key);
        let grant = (slot.share, slot.epoch);
        let connection = slot.connection.take();
        SlotLease::new(Arc::clone(self), key, address, grant, connection)
    }
}

/// Returns a time in nanoseconds; a `u64` covers 584 years.
fn to_nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// Removes and returns the next request that can still meet its target. Requests before it that
/// cannot are refused at once, so that the slot goes to one that it can help.
fn next_waiter(state: &mut PoolState, now: Duration) -> Option<SlotWaiter> {
    let expected_hold_time = state.slot_hold_time.mean();
    while let Some(waiter) = state.queue.pop(now) {
        if now + expected_hold_time <= waiter.deadline {
            return Some(waiter);
        }
        // Best effort: a waiter may have stopped waiting.
        waiter.reply.send(Err(Refusal::QueueTimeout)).ok();
    }
    None
}
