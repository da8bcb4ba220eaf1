//! Decides for how long the word of members and workers lets an owner act without the store.

use std::{
    collections::HashSet,
    time::Duration, //
};

use crate::{
    MemberSet,
    SetMember,
    WitnessWorker, //
};

/// How long after the store last confirmed its term an owner may act by the word of the members alone; for longer, workers
/// must still follow it too. Workers outnumber daemons, so that a successor reaches enough of them when most daemons are gone.
pub(crate) const MEMBERS_ONLY_TIME: Duration = Duration::from_millis(3500);
/// How long after the store last confirmed its term an owner may act at all.
pub(crate) const STORELESS_LIMIT: Duration = Duration::from_secs(2 * 60 * 60);

/// The sets of members by which an owner counts. While it is unknown whether a change of the set was applied, it counts by
/// both sets: the store holds one of them, and a successor counts by that one.
#[derive(Clone, Debug)]
pub struct OwnerQuorum {
    node: String,
    committed: MemberSet,
    /// The set that a commit without an answer may have written.
    pending: Option<MemberSet>,
}

impl OwnerQuorum {
    /// Creates the quorum of the owner `node`, with the set that the store held when its term had begun.
    pub fn new(node: &str, committed: MemberSet) -> Self {
        Self {
            node: node.to_owned(),
            committed,
            pending: None,
        }
    }

    /// Returns the set that the store is known to have held.
    pub fn committed(&self) -> &MemberSet {
        &self.committed
    }

    /// Returns the set that is being written, if there is one.
    pub fn pending(&self) -> Option<&MemberSet> {
        self.pending.as_ref()
    }

    /// Records that a commit of this set is sent. Until its outcome is known, no other set may be written.
    pub fn begin_change(&mut self, set: MemberSet) {
        self.pending = Some(set);
    }

    /// Records that the store holds this set, and that no earlier commit can change it any more.
    pub fn finish_change(&mut self, set: MemberSet) {
        self.committed = set;
        self.pending = None;
    }

    /// Returns the members of all sets by which the owner counts, except itself.
    pub fn peers(&self) -> Vec<SetMember> {
        let mut peers: Vec<SetMember> = Vec::new();
        for member in self.sets().flat_map(|set| &set.members) {
            if member.node != self.node && !peers.contains(member) {
                peers.push(member.clone());
            }
        }
        peers
    }

    /// Returns as of when the term is confirmed, if the daemons `confirming` have answered probes sent at `sent` that they
    /// know no newer owner; `None` if they do not suffice. The owner may act for `grace` from then on.
    ///
    /// `store_confirmed` is when the last call was sent by which the store confirmed the term; `answered_call_at` returns when
    /// the last call was sent that a worker has answered as a follower of this owner.
    pub fn confirmed_as_of<AnsweredCallAt>(
        &self,
        confirming: &HashSet<String>,
        sent: Duration,
        store_confirmed: Duration,
        grace: Duration,
        answered_call_at: AnsweredCallAt,
    ) -> Option<Duration>
    where
        AnsweredCallAt: Fn(&WitnessWorker) -> Option<Duration>,
    {
        let mut confirming = confirming.clone();
        confirming.insert(self.node.clone());
        if !self.sets().all(|set| set.has_majority(&confirming)) {
            return None;
        }
        let by_members = sent.min((store_confirmed + MEMBERS_ONLY_TIME).saturating_sub(grace));
        let followed_since = self
            .sets()
            .map(|set| set.followed_by_most_since(&answered_call_at))
            .min()
            .flatten();
        let by_workers = followed_since.map(|since| {
            let limit = (store_confirmed + STORELESS_LIMIT).saturating_sub(grace);
            sent.min(since).min(limit)
        });
        Some(by_workers.map_or(by_members, |as_of| as_of.max(by_members)))
    }

    fn sets(&self) -> impl Iterator<Item = &MemberSet> {
        std::iter::once(&self.committed).chain(&self.pending)
    }
}
