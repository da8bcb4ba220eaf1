//! The actor that plans one shard.

use std::sync::Arc;

use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};

use crate::{
    PlannerPorts,
    PlannerSettings,
    in_flight_calls::InFlightCalls,
    shard_calls::ShardCalls,
    shard_message::ShardMessage,
    shard_permit::ShardPermit,
    shard_phase::ShardPhase,
    shard_state::ShardState, //
};

/// The actor that plans one shard; only it changes the shard's state. It never waits: its calls run
/// as separate tasks and send their results back as messages.
pub(crate) struct ShardActor;

/// The arguments with which a shard's actor is started.
pub(crate) struct ShardArguments {
    pub(crate) settings: PlannerSettings,
    pub(crate) ports: Arc<PlannerPorts>,
    /// Checks whether this daemon may still act as the shard's owner.
    pub(crate) permit: ShardPermit,
    /// Counts the actor's calls in progress; shared with later actors of the shard.
    pub(crate) in_flight_calls: InFlightCalls,
    /// Whether this is the first actor in this process with the shard's current epoch.
    pub(crate) first_of_epoch: bool,
}

impl Actor for ShardActor {
    type Msg = ShardMessage;
    type State = ShardState;
    type Arguments = ShardArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<ShardMessage>,
        start: ShardArguments,
    ) -> Result<ShardState, ActorProcessingErr> {
        let ports = Arc::clone(&start.ports);
        let calls = ShardCalls::new(start.permit, start.ports, myself, start.in_flight_calls);
        let first = start.first_of_epoch;
        Ok(ShardState::new(start.settings, ports, calls, first))
    }

    async fn handle(
        &self,
        _myself: ActorRef<ShardMessage>,
        message: ShardMessage,
        state: &mut ShardState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle_message(message);
        Ok(())
    }
}

impl ShardState {
    /// Handles a message; a shard that another owner took over only answers queries.
    fn handle_message(&mut self, message: ShardMessage) {
        if self.phase == ShardPhase::Deposed {
            return self.answer_query(message);
        }
        match message {
            ShardMessage::Tick => self.tick(),
            ShardMessage::Opened(opened) => self.on_opened(*opened),
            ShardMessage::Committed(result) => self.on_committed(result),
            ShardMessage::SnapshotStored {
                key,
                entries,
                result,
            } => self.on_snapshot_stored(key, entries, result),
            ShardMessage::ResultsStored { job, body, result } => {
                self.on_results_stored(job, body, result);
            }
            ShardMessage::InboxScanned {
                started,
                submissions,
                cancellations,
            } => self.on_inbox_scanned(started, submissions, cancellations),
            ShardMessage::JobRowsScanned(rows) => self.on_job_rows_scanned(rows),
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
            ShardMessage::OrphanStopped {
                worker,
                run,
                result,
            } => self.on_orphan_stopped(worker, run, result.is_ok()),
            ShardMessage::CallCompleted => {}
            ShardMessage::Status { .. } | ShardMessage::Statuses { .. } => {
                self.answer_query(message);
            }
        }
    }

    /// Answers a status query and ignores every other message.
    fn answer_query(&mut self, message: ShardMessage) {
        match message {
            // The caller may have stopped waiting.
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
