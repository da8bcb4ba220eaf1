//! The set of members whose word lets an owner act without the store.

use std::{
    collections::HashSet,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::TOKENS_PER_TERM;

/// The fencing token of the first owner, which has no predecessors, if its daemon is of an earlier version.
const FIRST_TOKEN: u64 = 1;

/// A member as the set counts it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SetMember {
    /// The daemon's name.
    pub node: String,
    /// The daemon's address for other daemons.
    pub address: String,
}

/// A worker that witnesses which owner it follows. One that has restarted has forgotten it, and witnesses nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WitnessWorker {
    /// The worker's identity.
    pub id: String,
    /// When the worker's incarnation began, since 1970.
    pub incarnation: Duration,
}

/// The members that count for majorities, and the workers that witness the owner, as the store holds them. Only the owner
/// writes the set, guarded by its own row: a successor that has replaced that row reads the set by which the former owner
/// counts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberSet {
    /// The members, by their names.
    pub members: Vec<SetMember>,
    /// The witnesses.
    pub witnesses: Vec<WitnessWorker>,
    /// The fencing token of the last owner that knew all its predecessors to have stopped.
    pub settled_token: u64,
}

impl MemberSet {
    /// Returns the set by which owners count while the store holds none: all daemons that have enrolled. Only the first owner is
    /// known to have been settled. `former` is the token of the owner before the one that counts; `None` if that is the first.
    pub fn of_enrolled(members: Vec<SetMember>, former: Option<u64>) -> Self {
        let Some(former) = former else {
            return Self::default();
        };
        Self {
            members,
            witnesses: Vec::new(),
            settled_token: match former {
                TOKENS_PER_TERM => TOKENS_PER_TERM,
                _ => FIRST_TOKEN,
            },
        }
    }

    /// Returns whether a daemon is in the set.
    pub fn contains(&self, node: &str) -> bool {
        self.members.iter().any(|member| member.node == node)
    }

    /// Returns whether more than half of the members are among `nodes`.
    pub fn has_majority(&self, nodes: &HashSet<String>) -> bool {
        let among = self
            .members
            .iter()
            .filter(|member| nodes.contains(&member.node));
        among.count() * 2 > self.members.len()
    }

    /// Returns since when more than half of the witnesses have answered, by when the last call was sent that each has
    /// answered; `None` if fewer have.
    pub fn followed_by_most_since<AnsweredCallAt>(
        &self,
        answered_call_at: AnsweredCallAt,
    ) -> Option<Duration>
    where
        AnsweredCallAt: Fn(&WitnessWorker) -> Option<Duration>,
    {
        let mut answered: Vec<Duration> =
            self.witnesses.iter().filter_map(answered_call_at).collect();
        answered.sort_unstable();
        let majority = self.witnesses.len() / 2 + 1;
        let earliest = answered.len().checked_sub(majority)?;
        answered.get(earliest).copied()
    }
}
