//! The endpoints, free slots and waiting requests of one service.

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

const HEDGE_QUANTILE: f64 = 0.95;
const SHARE_GRACE: Duration = Duration::from_millis(500);
const RETRY_BURST: f64 = 10.0;
/// See the measurement `endpoint_pick`: p99 falls to 0.66 of random's where two give 0.80, and more
/// than eight bring little.
const PICK: LoadBalancingPolicy = LoadBalancingPolicy::LeastCost { samples: 8 };

/// A request that waits for a slot.
pub(crate) struct SlotWaiter {
    /// Where the slot or the refusal goes.
    pub(crate) reply: oneshot::Sender<Result<SlotLease, Refusal>>,
    /// Until when it can meet its target.
    pub(crate) deadline: Duration,
}

/// The endpoints, free slots and waiting requests of one service.
pub(crate) struct PoolState {
    /// The endpoints.
    pub(crate) endpoints: Vec<EndpointEntry>,
    /// Where in the arena an address lies.
    pub(crate) by_address: IndexMap<SocketAddr, EndpointKey>,
    /// The slots that can be picked; each is looked at again when it is.
    pub(crate) free: Vec<SlotKey>,
    /// The requests that wait.
    pub(crate) queue: RequestQueue<SlotWaiter>,
    /// How long requests hold their slots.
    pub(crate) holding: LatencyEstimate,
    /// How long good answers take.
    pub(crate) latency: LatencyEstimate,
    /// Bounds retries and hedges.
    pub(crate) budget: RetryBudget,
    /// The slots that serve: held and usable, and not of unknown fate.
    pub(crate) serving: usize,
    /// Since when none of its shares is held, if some were before.
    pub(crate) vanished_at: Option<Duration>,
    /// Whether some of its shares are held.
    pub(crate) holds_some: bool,
    /// Whether endpoints' own announcements of their end are heeded.
    pub(crate) heed_leaving: bool,
    /// When the log last told of a silent connection.
    pub(crate) warned_at: Option<Duration>,
    retired: Vec<EndpointKey>,
    source: SmallRng,
    picks: u64,
}

struct FreeSlots<'a> {
    endpoints: &'a [EndpointEntry],
    free: &'a [SlotKey],
}

impl CandidateScores for FreeSlots<'_> {
    fn score(&self, index: usize) -> &EndpointScore {
        &self.endpoints[self.free[index].endpoint.0].score
    }
}

impl PoolState {
    /// Creates a pool without endpoints.
    pub(crate) fn new(most_waiting: usize, retry_ratio: f64, seed: u64) -> Self {
        Self {
            endpoints: Vec::new(),
            by_address: IndexMap::new(),
            free: Vec::new(),
            queue: RequestQueue::new(QueueOrder::EarliestDeadlineFirst, most_waiting),
            holding: LatencyEstimate::new(HEDGE_QUANTILE),
            latency: LatencyEstimate::new(HEDGE_QUANTILE),
            budget: RetryBudget::new(retry_ratio, RETRY_BURST),
            serving: 0,
            vanished_at: None,
            holds_some: false,
            heed_leaving: true,
            warned_at: None,
            retired: Vec::new(),
            source: SmallRng::seed_from_u64(seed),
            picks: 0,
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

    /// Tells whether a slot may have one more connection at its endpoint, besides `giving_up` ones
    /// that are about to be given up.
    pub(crate) fn may_dial(&mut self, key: SlotKey, now: Duration, giving_up: usize) -> bool {
        let most = self.entry(key.endpoint).connections_per_slot;
        self.slot(key).may_dial(now, most, giving_up)
    }

    /// Takes a free slot, if there is one.
    pub(crate) fn take(&mut self, now: Duration) -> Option<SlotKey> {
        self.take_avoiding(now, None)
    }

    /// Puts a slot that was taken, and not used, back.
    pub(crate) fn put_back(&mut self, key: SlotKey) {
        self.entry(key.endpoint).score.record_completion();
        self.slot(key).phase = SlotPhase::Idle;
        self.list(Some(key));
    }

    /// Takes a free slot, if there is one, rather not at the endpoint to avoid.
    pub(crate) fn take_avoiding(
        &mut self,
        now: Duration,
        avoid: Option<SocketAddr>,
    ) -> Option<SlotKey> {
        let mut avoided = None;
        while let Some(key) = self.draw() {
            if !self.is_usable(key, now) {
                continue;
            }
            let unwanted = avoid == Some(self.entry(key.endpoint).address);
            if unwanted && avoided.is_none() {
                avoided = Some(key);
                continue;
            }
            self.list(avoided);
            return Some(self.occupy(key));
        }
        avoided.map(|key| self.occupy(key))
    }

    /// Notes whether some of its shares are held.
    pub(crate) fn note_held(&mut self, some: bool, now: Duration) {
        match (self.holds_some, some) {
            (_, true) => self.vanished_at = None,
            (true, false) => self.vanished_at = Some(now),
            (false, false) => {}
        }
        self.holds_some = some;
    }

    /// Returns until when requests may wait for the shares to come back, if they just went.
    ///
    /// While a newer epoch of another member is told, a daemon may hold nothing for a moment: all of
    /// them would refuse at the same time what any could answer a few milliseconds later.
    pub(crate) fn shares_awaited(&self, now: Duration) -> Option<Duration> {
        let end = self.vanished_at? + SHARE_GRACE;
        (now < end).then_some(end)
    }

    /// Adds an endpoint, in the place of one that was retired if there is any.
    pub(crate) fn add(&mut self, entry: EndpointEntry) -> EndpointKey {
        let address = entry.address;
        let key = match self.retired.pop() {
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

    /// Forgets the endpoints that are listed no more and on which nothing is in progress.
    pub(crate) fn retire_unlisted<Listed>(&mut self, listed: Listed)
    where
        Listed: Fn(&SocketAddr) -> bool,
    {
        let endpoints = &mut self.endpoints;
        let retired = &mut self.retired;
        self.by_address.retain(|address, key| {
            let keep = listed(address) || !endpoints[key.0].is_idle();
            if !keep {
                retired.push(*key);
                endpoints[key.0].slots.clear();
            }
            keep
        });
        self.free.retain(|key| !retired.contains(&key.endpoint));
    }

    /// Puts a slot into the list of free ones, if it can be picked.
    pub(crate) fn list(&mut self, key: Option<SlotKey>) {
        let Some(key) = key else {
            return;
        };
        let slot = self.slot(key);
        if slot.phase != SlotPhase::Idle || slot.listed || !slot.held {
            return;
        }
        slot.listed = true;
        self.free.push(key);
    }

    /// Heeds endpoints' announcements of their end only while at most half of the open ones make
    /// them: a service whose every endpoint closes each connection now and then would otherwise be
    /// left without endpoints.
    pub(crate) fn weigh_leaving(&mut self, now: Duration) {
        let open = self.endpoints.iter().filter(|entry| entry.open);
        let (all, leaving) = open.fold((0, 0), |(all, leaving), entry| {
            (all + 1, leaving + usize::from(entry.leaving.is_active(now)))
        });
        self.heed_leaving = leaving * 2 <= all;
    }

    /// Tells whether any slot of a share is in use.
    pub(crate) fn uses(&self, share: ResourceId) -> bool {
        self.endpoints
            .iter()
            .flat_map(|entry| &entry.slots)
            .any(|slot| slot.share == share && slot.phase != SlotPhase::Idle)
    }

    /// Closes the idle connections of a share's slots.
    pub(crate) fn close_idle(&mut self, share: ResourceId) {
        let slots = self.endpoints.iter_mut().flat_map(|entry| &mut entry.slots);
        for slot in slots.filter(|slot| slot.share == share) {
            slot.connection = None;
        }
    }

    fn draw(&mut self) -> Option<SlotKey> {
        let candidates = FreeSlots {
            endpoints: &self.endpoints,
            free: &self.free,
        };
        let mean = self.latency.mean();
        let count = self.free.len();
        let place = PICK.pick(&candidates, count, self.picks, mean, &mut self.source)?;
        self.picks = self.picks.wrapping_add(1);
        let key = self.free.swap_remove(place);
        self.slot(key).listed = false;
        Some(key)
    }

    fn is_usable(&mut self, key: SlotKey, now: Duration) -> bool {
        let heed = self.heed_leaving;
        let slot = self.slot(key);
        let idle = slot.held && slot.phase == SlotPhase::Idle;
        idle && self.entry(key.endpoint).is_usable(now, heed)
    }

    fn occupy(&mut self, key: SlotKey) -> SlotKey {
        self.slot(key).phase = SlotPhase::Busy;
        self.entry(key.endpoint).score.record_start();
        key
    }
}
