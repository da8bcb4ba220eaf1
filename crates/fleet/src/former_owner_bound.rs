//! Decides when all former owners have certainly stopped acting.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_dispatch::WorkerClock;
use serde::Serialize;

use crate::{
    MemberSet,
    OwnerRecord,
    ProbeResult,
    SetMember,
    owner_quorum::{
        MEMBERS_ONLY_TIME,
        STORELESS_LIMIT, //
    }, //
};

/// What shows that all former owners have stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopEvidence {
    /// The last owner has ended or knows its successor, and those before it had stopped.
    Owner,
    /// At least half of the members know the successor.
    Members,
    /// At least half of the witnesses follow the successor.
    Witnesses,
    /// No owner acts for longer without the store.
    TimeLimit,
}

/// The time by which all former owners have certainly stopped, from what a successor knows. The store confirmed none of them
/// after the successor's claim, and each of them counts by the set that the store held then. A member that was told of the
/// successor, or a worker that follows it, confirms no former owner any more.
#[derive(Debug)]
pub struct FormerOwnerBound {
    claimed_at: Duration,
    set: MemberSet,
    /// Whether former owners act by a majority for a limited time only, as daemons of earlier versions do not.
    has_time_limits: bool,
    /// When each member was known to have been told.
    told: IndexMap<String, Duration>,
    /// When each witness was known to follow the successor.
    followers: IndexMap<String, Duration>,
    /// When the last owner was known to have stopped, if those before it had.
    owner_stopped_at: Option<Duration>,
}

impl FormerOwnerBound {
    /// Creates the bound of a successor that claimed the ownership by a commit that was answered at
    /// `claimed_at` and has then read `set`.
    pub fn new(claimed_at: Duration, set: MemberSet) -> Self {
        Self {
            claimed_at,
            set,
            has_time_limits: true,
            told: IndexMap::new(),
            followers: IndexMap::new(),
            owner_stopped_at: None,
        }
    }

    /// Returns the bound of former owners that act for as long as a majority confirms them: daemons of earlier versions, which
    /// write no set of members.
    pub fn without_time_limits(self) -> Self {
        Self {
            has_time_limits: false,
            ..self
        }
    }

    /// Replaces the members by which former owners count: daemons of earlier versions count by the enrolled ones.
    pub fn set_members(&mut self, members: Vec<SetMember>) {
        self.set.members = members;
    }

    /// Returns the set by which former owners count.
    pub fn set(&self) -> &MemberSet {
        &self.set
    }

    /// Records at `now` the result of a probe of a member with the successor's token. A refused connection shows nothing: a
    /// partition between the daemons may refuse it, while the member still confirms a former owner.
    pub fn record_member_probe(
        &mut self,
        node: &str,
        probe: ProbeResult,
        token: u64,
        now: Duration,
    ) {
        match probe {
            ProbeResult::Answered(health) if health.known_token >= token => {
                self.record_told(node, now);
            }
            ProbeResult::Answered(_) | ProbeResult::ConnectionRefused | ProbeResult::Unanswered => {
            }
        }
    }

    /// Records at `now` the result of a probe of the last owner with the successor's token. An owner that knows the token
    /// has ended its term.
    pub fn record_owner_probe(
        &mut self,
        owner: &OwnerRecord,
        probe: ProbeResult,
        token: u64,
        now: Duration,
    ) {
        match probe {
            ProbeResult::Answered(health)
                if health.incarnation != owner.incarnation || health.known_token >= token =>
            {
                self.record_owner_stopped(owner.token, now);
            }
            ProbeResult::Answered(_) | ProbeResult::ConnectionRefused | ProbeResult::Unanswered => {
            }
        }
    }

    /// Records that the last owner, which had this token, is known at `now` to have stopped. It shows nothing of the owners
    /// before it unless that one knew them to have stopped.
    pub fn record_owner_stopped(&mut self, token: u64, now: Duration) {
        if self.set.settled_token == token {
            self.owner_stopped_at.get_or_insert(now);
        }
    }

    /// Returns when the last owner was known to have stopped, if those before it had.
    pub fn owner_stopped_at(&self) -> Option<Duration> {
        self.owner_stopped_at
    }

    /// Records that at `now` a daemon is known to have been told of the successor.
    pub fn record_told(&mut self, node: &str, now: Duration) {
        if self.set.contains(node) {
            self.told.entry(node.to_owned()).or_insert(now);
        }
    }

    /// Returns the members that are not known to have been told.
    pub fn untold_members(&self) -> impl Iterator<Item = &SetMember> {
        let members = self.set.members.iter();
        members.filter(|member| !self.told.contains_key(&member.node))
    }

    /// Returns how many members were told.
    pub fn told_count(&self) -> usize {
        self.told.len()
    }

    /// Returns whether at least half of the members were told, so that no majority can confirm a former owner.
    pub fn is_known_to_half(&self) -> bool {
        self.told.len() * 2 >= self.set.members.len()
    }

    /// Records that at `now` a worker is known to follow the successor.
    pub fn record_follower(&mut self, worker: &str, now: Duration) {
        if self
            .set
            .witnesses
            .iter()
            .any(|witness| witness.id == worker)
        {
            self.followers.entry(worker.to_owned()).or_insert(now);
        }
    }

    /// Returns when all former owners have certainly stopped, as far as is known yet; an owner acts for `grace` after a
    /// confirmation.
    pub fn stopped_at(&self, grace: Duration) -> Duration {
        self.evidence(grace).map_or(Duration::MAX, |(at, _)| at)
    }

    /// Returns when all former owners have certainly stopped, and what shows that; `None` if that is not known yet.
    pub fn evidence(&self, grace: Duration) -> Option<(Duration, StopEvidence)> {
        let by_owner = self.owner_stopped_at;
        let half_told = self.half_reached_at(&self.told, self.set.members.len());
        let by_members = half_told.map(|at| at + grace);
        let bounds = [
            (by_owner, StopEvidence::Owner),
            (by_members, StopEvidence::Members),
            (self.stopped_by_witnesses_at(grace), StopEvidence::Witnesses),
            (self.time_limit(), StopEvidence::TimeLimit),
        ];
        let known = bounds.into_iter().filter_map(|(at, by)| Some((at?, by)));
        known.min_by_key(|(at, _)| *at)
    }

    fn stopped_by_witnesses_at(&self, grace: Duration) -> Option<Duration> {
        if !self.has_time_limits {
            return None;
        }
        let members_only = self.claimed_at + WorkerClock::longest(MEMBERS_ONLY_TIME);
        let half_followed = self.half_reached_at(&self.followers, self.set.witnesses.len());
        half_followed.map(|at| members_only.max(at + grace))
    }

    fn time_limit(&self) -> Option<Duration> {
        let limit = self.claimed_at + WorkerClock::longest(STORELESS_LIMIT);
        self.has_time_limits.then_some(limit)
    }

    /// Returns when half of `count` were reached, from the times at which each was.
    fn half_reached_at(
        &self,
        reached: &IndexMap<String, Duration>,
        count: usize,
    ) -> Option<Duration> {
        let mut times: Vec<Duration> = reached.values().copied().collect();
        times.sort_unstable();
        match count.div_ceil(2) {
            0 => Some(self.claimed_at),
            half => times.get(half - 1).copied(),
        }
    }
}
