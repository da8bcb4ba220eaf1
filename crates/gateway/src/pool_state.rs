//! [`PoolState`]: the endpoints, free slots and waiting requests of one service.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_base::ResourceId;
use jasminebend_routing::{
    CandidateScores,
    EndpointScore,
    LatencyEstimate,
    LoadBalancingPolicy,
    QueueOrder,
    RequestQueue,
    RetryBudget, //
};
use rand::{
    SeedableRng,
    rngs::SmallRng, //
};
use tokio::sync::oneshot;

use crate::{
    endpoint_entry::{
        EndpointEntry,
        EndpointSlot,
        SlotPhase, //
    },
    refusal::Refusal,
    slot_key::{
        EndpointKey,
        SlotKey, //
    },
    slot_lease::SlotLease,
};

/// The quantile that the latency estimates of a pool track.
const LATENCY_QUANTILE: f64 = 0.95;
/// For how long requests wait after the daemon lost all shares of the service.
const SHARE_RETURN_GRACE_PERIOD: Duration = Duration::from_millis(500);
/// The most retries that the budget can accumulate.
const RETRY_BUDGET_BURST: f64 = 10.0;
/// In the benchmark `endpoint_pick`, p99 falls to 0.66 of that of a random choice with eight
/// samples, and to 0.80 with two; more than eight improve it little.
const LOAD_BALANCING_POLICY: LoadBalancingPolicy = LoadBalancingPolicy::LeastCost { samples: 8 };

/// A request that waits for a slot.
pub(crate) struct SlotWaiter {
    /// Receives the slot or the refusal.
    pub(crate) reply: oneshot::Sender<Result<SlotLease, Refusal>>,
    /// The time until which the request can meet its target.
    pub(crate) deadline: Duration,
}

/// The endpoints, free slots and waiting requests of one service.
pub(crate) struct PoolState {
    /// The endpoints, indexed by [`EndpointKey`]. Entries of retired endpoints are reused.
    pub(crate) endpoints: Vec<EndpointEntry>,
    /// The key of each endpoint by its address.
    pub(crate) by_address: IndexMap<SocketAddr, EndpointKey>,
    /// The slots that can be picked. Each is checked again when it is.
    pub(crate) free_slots: Vec<SlotKey>,
    /// The requests that wait for a slot.
    pub(crate) queue: RequestQueue<SlotWaiter>,
    /// How long requests occupy their slots.
    pub(crate) slot_hold_time: LatencyEstimate,
    /// The latency of successful responses.
    pub(crate) latency: LatencyEstimate,
    /// Limits retries and hedged attempts.
    pub(crate) retry_budget: RetryBudget,
    /// The number of slots that are held, usable and not of unknown outcome.
    pub(crate) serving_slots: usize,
    /// Since when none of its shares is held, if some were before.
    pub(crate) shares_lost_at: Option<Duration>,
    /// Whether any of its shares is held.
    pub(crate) holds_shares: bool,
    /// Whether endpoints that announced their shutdown are avoided.
    pub(crate) honor_leaving: bool,
    /// When a silent connection was last logged.
    pub(crate) silence_warned_at: Option<Duration>,
    /// When a refusal of a request with an incomplete body was last logged.
    pub(crate) incomplete_warned_at: Option<Duration>,
    retired_keys: Vec<EndpointKey>,
    rng: SmallRng,
    pick_count: u64,
}

/// The free slots of a pool as candidates of the load-balancing policy.
struct FreeSlots<'a> {
    endpoints: &'a [EndpointEntry],
    free_slots: &'a [SlotKey],
}

impl CandidateScores for FreeSlots<'_> {
    fn score(&self, index: usize) -> &EndpointScore {
        &self.endpoints[self.free_slots[index].endpoint.0].score
    }
}

impl PoolState {
    /// Creates a pool without endpoints.
    pub(crate) fn new(max_waiting_requests: usize, retry_ratio: f64, seed: u64) -> Self {
        Self {
            endpoints: Vec::new(),
            by_address: IndexMap::new(),
            free_slots: Vec::new(),
            queue: RequestQueue::new(QueueOrder::EarliestDeadlineFirst, max_waiting_requests),
            slot_hold_time: LatencyEstimate::new(LATENCY_QUANTILE),
            latency: LatencyEstimate::new(LATENCY_QUANTILE),
            retry_budget: RetryBudget::new(retry_ratio, RETRY_BUDGET_BURST),
            serving_slots: 0,
            shares_lost_at: None,
            holds_shares: false,
            honor_leaving: true,
            silence_warned_at: None,
            incomplete_warned_at: None,
            retired_keys: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            pick_count: 0,
        }
    }

    /// Returns an endpoint.
    pub(crate) fn entry(&mut self, key: EndpointKey) -> &mut EndpointEntry {
        &mut self.endpoints[key.0]
    }

    /// Returns a slot.
    pub(crate) fn slot(&mut self, key: SlotKey) -> &mut EndpointSlot {
        &mut self.endpoints[key.endpoint.0].slots[usize::from(key.slot)]
    }

    /// Returns whether a slot may open one more connection to its endpoint, in addition to
    /// `to_abandon` connections that are about to be abandoned.
    pub(crate) fn may_connect(&mut self, key: SlotKey, now: Duration, to_abandon: usize) -> bool {
        let max_connections = self.entry(key.endpoint).connections_per_slot;
        self.slot(key).may_connect(now, max_connections, to_abandon)
    }

    /// Takes a free slot, if there is one.
    pub(crate) fn take_slot(&mut self, now: Duration) -> Option<SlotKey> {
        self.take_slot_avoiding(now, None)
    }

    /// Returns a slot that was taken and not used.
    pub(crate) fn release_unused(&mut self, key: SlotKey) {
        self.entry(key.endpoint).score.record_completion();
        self.slot(key).set_idle();
        self.add_to_free_list(Some(key));
    }

    /// Takes a free slot, if there is one, preferably not of the endpoint `avoid`: if the first
    /// usable pick is a slot of it, the next one is taken instead, whatever its endpoint.
    pub(crate) fn take_slot_avoiding(
        &mut self,
        now: Duration,
        avoid: Option<SocketAddr>,
    ) -> Option<SlotKey> {
        let mut fallback = None;
        while let Some(key) = self.pick_free_slot() {
            if !self.is_usable(key, now) {
                continue;
            }
            let is_avoided = avoid == Some(self.entry(key.endpoint).address);
            if is_avoided && fallback.is_none() {
                fallback = Some(key);
                continue;
            }
            self.add_to_free_list(fallback);
            return Some(self.mark_busy(key));
        }
        fallback.map(|key| self.mark_busy(key))
    }

    /// Records whether any of its shares is held.
    pub(crate) fn record_held_shares(&mut self, holds_shares: bool, now: Duration) {
        match (self.holds_shares, holds_shares) {
            (_, true) => self.shares_lost_at = None,
            (true, false) => self.shares_lost_at = Some(now),
            (false, false) => {}
        }
        self.holds_shares = holds_shares;
    }

    /// Returns until when requests may wait for the shares to return, if they were lost recently.
    ///
    /// While a member is informed of a newer epoch, all daemons may briefly hold no share: without
    /// a wait, each of them would refuse requests that any of them could answer a few milliseconds
    /// later.
    pub(crate) fn share_wait_deadline(&self, now: Duration) -> Option<Duration> {
        let end = self.shares_lost_at? + SHARE_RETURN_GRACE_PERIOD;
        (now < end).then_some(end)
    }

    /// Adds an endpoint, and reuses the entry of a retired one if there is any.
    pub(crate) fn add(&mut self, entry: EndpointEntry) -> EndpointKey {
        let address = entry.address;
        let key = match self.retired_keys.pop() {
            Some(key) => {
                self.endpoints[key.0] = entry;
                key
            }
            None => {
                self.endpoints.push(entry);
                EndpointKey(self.endpoints.len() - 1)
            }
        };
        self.by_address.insert(address, key);
        key
    }

    /// Retires the endpoints that are no longer listed and on which no request is in progress.
    pub(crate) fn retire_unlisted<Listed>(&mut self, is_listed: Listed)
    where
        Listed: Fn(&SocketAddr) -> bool,
    {
        let endpoints = &mut self.endpoints;
        let retired_keys = &mut self.retired_keys;
        self.by_address.retain(|address, key| {
            let keep = is_listed(address) || !endpoints[key.0].is_idle();
            if !keep {
                retired_keys.push(*key);
                endpoints[key.0].slots.clear();
            }
            keep
        });
        self.free_slots
            .retain(|key| !retired_keys.contains(&key.endpoint));
    }

    /// Adds a slot to the list of free slots, if it can be picked.
    pub(crate) fn add_to_free_list(&mut self, key: Option<SlotKey>) {
        let Some(key) = key else {
            return;
        };
        let slot = self.slot(key);
        if slot.phase != SlotPhase::Idle || slot.in_free_list || !slot.held {
            return;
        }
        slot.in_free_list = true;
        self.free_slots.push(key);
    }

    /// Updates `honor_leaving`: shutdown announcements of endpoints are honored only while at most
    /// half of the open ones make them. Otherwise a service whose endpoints all close connections
    /// now and then would have no endpoint left.
    pub(crate) fn update_honor_leaving(&mut self, now: Duration) {
        let open = self.endpoints.iter().filter(|entry| entry.open);
        let (open_count, leaving_count) =
            open.fold((0, 0), |(open_count, leaving_count), entry| {
                (
                    open_count + 1,
                    leaving_count + usize::from(entry.leaving_backoff.is_active(now)),
                )
            });
        self.honor_leaving = leaving_count * 2 <= open_count;
    }

    /// Returns whether any slot of a share is in use.
    pub(crate) fn is_share_in_use(&self, share: ResourceId) -> bool {
        self.endpoints
            .iter()
            .flat_map(|entry| &entry.slots)
            .any(|slot| slot.share == share && slot.phase != SlotPhase::Idle)
    }

    /// Closes the idle connections of the slots of a share.
    pub(crate) fn close_idle(&mut self, share: ResourceId) {
        let slots = self.endpoints.iter_mut().flat_map(|entry| &mut entry.slots);
        for slot in slots.filter(|slot| slot.share == share) {
            slot.connection = None;
        }
    }

    /// Removes the best free slot from the list, according to the load-balancing policy.
    fn pick_free_slot(&mut self) -> Option<SlotKey> {
        let candidates = FreeSlots {
            endpoints: &self.endpoints,
            free_slots: &self.free_slots,
        };
        let mean_latency = self.latency.mean();
        let count = self.free_slots.len();
        let index = LOAD_BALANCING_POLICY.pick(
            &candidates,
            count,
            self.pick_count,
            mean_latency,
            &mut self.rng,
        )?;
        self.pick_count = self.pick_count.wrapping_add(1);
        let key = self.free_slots.swap_remove(index);
        self.slot(key).in_free_list = false;
        Some(key)
    }

    /// Returns whether a slot is held and idle, and its endpoint usable.
    fn is_usable(&mut self, key: SlotKey, now: Duration) -> bool {
        let honor_leaving = self.honor_leaving;
        let slot = self.slot(key);
        let idle = slot.held && slot.phase == SlotPhase::Idle;
        idle && self.entry(key.endpoint).is_usable(now, honor_leaving)
    }

    /// Marks a slot as used by a request.
    fn mark_busy(&mut self, key: SlotKey) -> SlotKey {
        self.slot(key).phase = SlotPhase::Busy;
        self.entry(key.endpoint).score.record_start();
        key
    }
}
