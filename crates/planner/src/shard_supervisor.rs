//! Starts and stops the actors of the shards that this daemon owns.

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
    PlannerPorts,
    PlannerSettings,
    in_flight_calls::InFlightCalls,
    shard_actor::{
        ShardActor,
        ShardArguments, //
    },
    shard_message::ShardMessage,
    shard_permit::ShardPermit, //
};

/// The actor of an owned shard, with the epoch under which it acts.
struct HeldShard {
    epoch: OwnerEpoch,
    actor: ActorRef<ShardMessage>,
}

/// Starts and stops the actors of the shards that this daemon owns.
pub(crate) struct ShardSupervisor {
    settings: PlannerSettings,
    ports: Arc<PlannerPorts>,
    held: Mutex<IndexMap<u16, HeldShard>>,
    /// Calls in progress, by shard.
    in_flight_calls: Vec<InFlightCalls>,
    /// The newest epoch under which an actor was started, by shard.
    started_epochs: Mutex<IndexMap<u16, OwnerEpoch>>,
}

impl ShardSupervisor {
    pub(crate) fn new(settings: PlannerSettings, ports: Arc<PlannerPorts>) -> Self {
        let shards = usize::from(settings.shards);
        Self {
            settings,
            ports,
            held: Mutex::new(IndexMap::new()),
            started_epochs: Mutex::new(IndexMap::new()),
            in_flight_calls: std::iter::repeat_with(InFlightCalls::new)
                .take(shards)
                .collect(),
        }
    }

    /// Starts and stops actors as the ownership changes and sends them ticks, until all planner
    /// handles are dropped; then ends the actors.
    pub(crate) async fn run(self: Arc<Self>, mut closed: watch::Receiver<()>) {
        let mut ticks = interval(self.settings.tick_interval);
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
            let granted = self.ports.ownership.may_act(ResourceId::Shard(shard));
            self.stop_outdated_actor(shard, granted);
            if let Some(epoch) = granted
                && !self.lock().contains_key(&shard)
            {
                self.start_actor(shard, epoch).await;
            }
        }
        for held in self.lock().values() {
            // An actor that has ended is replaced at the next tick.
            let _ = held.actor.cast(ShardMessage::Tick);
        }
    }

    /// Stops the actor of a shard if it has ended or acts under another epoch than the granted one.
    fn stop_outdated_actor(&self, shard: u16, granted: Option<OwnerEpoch>) {
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

    /// Starts the actor of a shard.
    async fn start_actor(&self, shard: u16, epoch: OwnerEpoch) {
        let start = ShardArguments {
            settings: self.settings,
            ports: Arc::clone(&self.ports),
            permit: ShardPermit {
                ownership: Arc::clone(&self.ports.ownership),
                shard,
                epoch,
            },
            in_flight_calls: self.in_flight_calls[usize::from(shard)].clone(),
            first_of_epoch: self.record_epoch(shard, epoch),
        };
        match Actor::spawn(None, ShardActor, start).await {
            Ok((actor, _)) => {
                self.lock().insert(shard, HeldShard { epoch, actor });
            }
            Err(error) => error!(
                "[planner] The actor of shard {} could not be started: {}.",
                shard, error
            ),
        }
    }

    /// Records that an actor is started under an epoch; returns whether it is the first one.
    fn record_epoch(&self, shard: u16, epoch: OwnerEpoch) -> bool {
        let mut started_epochs = self
            .started_epochs
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        started_epochs.insert(shard, epoch) != Some(epoch)
    }

    /// Returns the actor of a shard.
    pub(crate) fn actor(&self, shard: u16) -> Option<ActorRef<ShardMessage>> {
        let held = self.lock();
        held.get(&shard).map(|known| known.actor.clone())
    }

    /// Returns the actors of all owned shards.
    pub(crate) fn actors(&self) -> Vec<ActorRef<ShardMessage>> {
        let held = self.lock();
        held.values().map(|known| known.actor.clone()).collect()
    }

    /// Waits until no call of a shard is in progress.
    pub(crate) async fn wait_idle(&self, shard: u16) {
        if let Some(in_flight_calls) = self.in_flight_calls.get(usize::from(shard)) {
            in_flight_calls.wait_idle().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<u16, HeldShard>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
