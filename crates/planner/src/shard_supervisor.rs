//! The actors of the shards that this daemon holds.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};

use indexmap::IndexMap;
use jasminebend_base::{
    OwnerEpoch,
    ResourceId, //
};
use ractor::{
    Actor,
    ActorRef,
    ActorStatus, //
};
use spdlog::error;
use tokio::{
    sync::watch,
    time::{
        MissedTickBehavior,
        interval, //
    },
};

use crate::{
    PlannerEdges,
    PlannerSettings,
    flight_count::FlightCount,
    shard_actor::{
        ShardActor,
        ShardStart, //
    },
    shard_message::ShardMessage,
    shard_permit::ShardPermit, //
};

struct HeldShard {
    epoch: OwnerEpoch,
    actor: ActorRef<ShardMessage>,
}

/// The actors of the shards that this daemon holds.
pub(crate) struct ShardSupervisor {
    settings: PlannerSettings,
    edges: Arc<PlannerEdges>,
    held: Mutex<IndexMap<u16, HeldShard>>,
    flights: Vec<FlightCount>,
    begun: Mutex<IndexMap<u16, OwnerEpoch>>,
}

impl ShardSupervisor {
    pub(crate) fn new(settings: PlannerSettings, edges: Arc<PlannerEdges>) -> Self {
        let shards = usize::from(settings.shards);
        Self {
            settings,
            edges,
            held: Mutex::new(IndexMap::new()),
            begun: Mutex::new(IndexMap::new()),
            flights: std::iter::repeat_with(FlightCount::new)
                .take(shards)
                .collect(),
        }
    }

    /// Follows the ownership and wakes the actors, until `closed` is; then ends them.
    pub(crate) async fn run(self: Arc<Self>, mut closed: watch::Receiver<()>) {
        let mut ticks = interval(self.settings.tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                _ = closed.changed() => break,
            }
        }
        for held in self.lock().drain(..) {
            held.1.actor.kill();
        }
    }

    async fn tick(&self) {
        for shard in 0..self.settings.shards {
            let granted = self.edges.ownership.may_act(ResourceId::Shard(shard));
            self.end_other(shard, granted);
            if let Some(epoch) = granted
                && !self.lock().contains_key(&shard)
            {
                self.begin(shard, epoch).await;
            }
        }
        for held in self.lock().values() {
            // An actor that ended is replaced at the next tick.
            let _ = held.actor.cast(ShardMessage::Tick);
        }
    }

    fn end_other(&self, shard: u16, granted: Option<OwnerEpoch>) {
        let mut held = self.lock();
        let Some(known) = held.get(&shard) else {
            return;
        };
        let ended = known.actor.get_status() == ActorStatus::Stopped;
        if ended || granted.is_some_and(|epoch| epoch != known.epoch) {
            known.actor.stop(None);
            held.swap_remove(&shard);
        }
    }

    async fn begin(&self, shard: u16, epoch: OwnerEpoch) {
        let start = ShardStart {
            settings: self.settings,
            edges: Arc::clone(&self.edges),
            permit: ShardPermit {
                ownership: Arc::clone(&self.edges.ownership),
                shard,
                epoch,
            },
            flights: self.flights[usize::from(shard)].clone(),
            first_of_epoch: self.note_epoch(shard, epoch),
        };
        match Actor::spawn(None, ShardActor, start).await {
            Ok((actor, _)) => {
                self.lock().insert(shard, HeldShard { epoch, actor });
            }
            Err(error) => error!("[planner] Shard {} was not begun: {}.", shard, error),
        }
    }

    /// Notes an epoch as begun; tells whether it is so for the first time.
    fn note_epoch(&self, shard: u16, epoch: OwnerEpoch) -> bool {
        let mut begun = self.begun.lock().unwrap_or_else(PoisonError::into_inner);
        begun.insert(shard, epoch) != Some(epoch)
    }

    pub(crate) fn actor(&self, shard: u16) -> Option<ActorRef<ShardMessage>> {
        let held = self.lock();
        held.get(&shard).map(|known| known.actor.clone())
    }

    pub(crate) fn actors(&self) -> Vec<ActorRef<ShardMessage>> {
        let held = self.lock();
        held.values().map(|known| known.actor.clone()).collect()
    }

    /// Waits until no call of a shard is in progress.
    pub(crate) async fn wait_idle(&self, shard: u16) {
        if let Some(flights) = self.flights.get(usize::from(shard)) {
            flights.wait_idle().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<u16, HeldShard>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
