//! The actor of a shard.

use std::sync::Arc;

use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};

use crate::{
    PlannerEdges,
    PlannerSettings,
    flight_count::FlightCount,
    shard_calls::ShardCalls,
    shard_message::ShardMessage,
    shard_permit::ShardPermit,
    shard_phase::ShardPhase,
    shard_state::ShardState, //
};

/// The actor of a shard: the only one that changes the shard's state. It never waits; its calls run
/// beside it and answer with messages.
pub(crate) struct ShardActor;

/// What a shard's actor starts with.
pub(crate) struct ShardStart {
    pub(crate) settings: PlannerSettings,
    pub(crate) edges: Arc<PlannerEdges>,
    pub(crate) permit: ShardPermit,
    pub(crate) flights: FlightCount,
    /// Whether no other actor of this process ever acted under this epoch.
    pub(crate) first_of_epoch: bool,
}

impl Actor for ShardActor {
    type Msg = ShardMessage;
    type State = ShardState;
    type Arguments = ShardStart;

    async fn pre_start(
        &self,
        myself: ActorRef<ShardMessage>,
        start: ShardStart,
    ) -> Result<ShardState, ActorProcessingErr> {
        let edges = Arc::clone(&start.edges);
        let calls = ShardCalls::new(start.permit, start.edges, myself, start.flights);
        let first = start.first_of_epoch;
        Ok(ShardState::new(start.settings, edges, calls, first))
    }

    async fn handle(
        &self,
        _myself: ActorRef<ShardMessage>,
        message: ShardMessage,
        state: &mut ShardState,
    ) -> Result<(), ActorProcessingErr> {
        state.take(message);
        Ok(())
    }
}

impl ShardState {
    fn take(&mut self, message: ShardMessage) {
        if self.phase == ShardPhase::Deposed {
            return self.answer_only(message);
        }
        match message {
            ShardMessage::Tick => self.tick(),
            ShardMessage::Opened(opened) => self.on_opened(*opened),
            ShardMessage::Committed(result) => self.on_committed(result),
            ShardMessage::SnapshotKept {
                key,
                entries,
                result,
            } => self.on_snapshot(key, entries, result),
            ShardMessage::ResultsKept { job, body, result } => {
                self.on_results_kept(job, body, result);
            }
            ShardMessage::Scanned {
                started,
                submissions,
                cancels,
            } => self.on_scanned(started, submissions, cancels),
            ShardMessage::Swept(rows) => self.on_swept(rows),
            ShardMessage::Adopted {
                worker,
                sent,
                result,
            } => self.on_adopted(worker, sent, result),
            ShardMessage::Renewed {
                worker,
                sent,
                acknowledged,
                result,
            } => self.on_renewed(worker, sent, &acknowledged, result),
            ShardMessage::Started {
                task,
                attempt,
                result,
            } => self.on_started(task, attempt, result),
            ShardMessage::Checkpointed {
                task,
                attempt,
                result,
            } => self.on_checkpointed(task, attempt, result),
            ShardMessage::Stopped {
                task,
                attempt,
                result,
            } => self.on_stopped(task, attempt, result),
            ShardMessage::StrayStopped {
                worker,
                run,
                result,
            } => self.on_stray_stopped(worker, run, result.is_ok()),
            ShardMessage::Noted => {}
            ShardMessage::Status { .. } | ShardMessage::Statuses { .. } => {
                self.answer_only(message);
            }
        }
    }

    fn answer_only(&mut self, message: ShardMessage) {
        match message {
            // Whoever asked may have stopped waiting.
            ShardMessage::Status { job, reply } => {
                let _ = reply.send(self.status(job));
            }
            ShardMessage::Statuses { reply } => {
                let _ = reply.send(self.statuses());
            }
            _ => {}
        }
    }
}
