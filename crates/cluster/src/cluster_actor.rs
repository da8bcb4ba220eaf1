//! The actor that runs the ownership protocol.

use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};

use crate::{
    cluster_message::ClusterMessage,
    cluster_state::ClusterState, //
};

/// The actor that runs the ownership protocol of this daemon. Everything slow runs in separate tasks,
/// which send their results back to the actor.
pub(crate) struct ClusterActor;

impl Actor for ClusterActor {
    type Msg = ClusterMessage;
    type State = ClusterState;
    type Arguments = ClusterState;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        mut state: ClusterState,
    ) -> Result<Self::State, ActorProcessingErr> {
        state.start(&myself);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: ClusterMessage,
        state: &mut ClusterState,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(&myself, message);
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: &mut ClusterState,
    ) -> Result<(), ActorProcessingErr> {
        state.stop();
        Ok(())
    }
}
