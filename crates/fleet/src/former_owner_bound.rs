//! Decides when all former owners have certainly stopped acting.

use std::time::Duration;

use indexmap::IndexMap;
use jasminebend_dispatch::WorkerClock;

use crate::{
    MemberSet,
    SetMember,
    owner_quorum::{
        MEMBERS_ONLY_TIME,
        STORELESS_LIMIT, //
    }, //
};

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

    /// Records that at `now` a daemon is known to have been told of the successor, or to have ended.
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
        let half_told = self.half_reached_at(&self.told, self.set.members.len());
        let by_members = half_told.map(|at| at + grace);
        if !self.has_time_limits {
            return by_members.unwrap_or(Duration::MAX);
        }
        let members_only = self.claimed_at + WorkerClock::longest(MEMBERS_ONLY_TIME);
        let half_followed = self.half_reached_at(&self.followers, self.set.witnesses.len());
        let by_workers = half_followed.map(|at| members_only.max(at + grace));
        let limit = self.claimed_at + WorkerClock::longest(STORELESS_LIMIT);
        let bounds = [by_members, by_workers];
        bounds.into_iter().flatten().fold(limit, Duration::min)
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
