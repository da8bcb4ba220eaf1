//! Random exploration of the rules by which an owner acts without the store and a successor waits for it to stop. Nodes are lost
//! and added, workers restart, the links between them and to the store change, some are cut in one direction only or refuse
//! connections, and commits are applied late or without an answer.
//!
//! `JASMINEBEND_SET_SEEDS` selects the number of seeds.

use std::{
    collections::HashSet,
    time::Duration, //
};

use jasminebend_fleet::{
    FormerOwnerBound,
    MemberSet,
    OwnerQuorum,
    OwnerRecord,
    PeerHealth,
    ProbeResult,
    SetMember,
    Succession,
    TOKENS_PER_TERM,
    WitnessWorker, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};

const GRACE: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(100);
const TICKS: u32 = 400;
const SEEDS: u64 = 8000;
const NODES: usize = 4;
/// The nodes that may ever exist in a run.
const MOST_NODES: usize = 10;
const GROUPS: u8 = 3;
const WORKERS: usize = 5;
/// The number of kinds of changes.
const CHANGES: usize = 16;

/// How a commit of the set of members ends.
#[derive(Clone, Copy)]
enum CommitEnd {
    Applied,
    AppliedWithoutAnswer,
    AppliedLate,
    Lost,
}

/// A commit of the set of members with its preconditions.
#[derive(Clone)]
struct SetCommit {
    due: Duration,
    owner_token: u64,
    set_version: u64,
    set: MemberSet,
}

#[derive(Default)]
struct Store {
    owner: Option<OwnerRecord>,
    set: MemberSet,
    set_version: u64,
    takeovers: u64,
    late: Vec<SetCommit>,
}

impl Store {
    fn token(&self) -> u64 {
        self.owner.as_ref().map_or(0, |owner| owner.token)
    }

    /// Applies a commit if its preconditions hold.
    fn apply(&mut self, commit: SetCommit) -> bool {
        let holds = commit.owner_token == self.token() && commit.set_version == self.set_version;
        if holds {
            self.set = commit.set;
            self.set_version += 1;
        }
        holds
    }
}

struct Owner {
    token: u64,
    quorum: OwnerQuorum,
    bound: FormerOwnerBound,
    former: Option<OwnerRecord>,
    set_version: u64,
    store_confirmed: Duration,
    confirmed: Duration,
    /// The incarnation of each worker, and when the last call was sent that it answered.
    answered: [Option<(Duration, Duration)>; WORKERS],
}

impl Owner {
    fn acts(&self, now: Duration) -> bool {
        now < self.confirmed + GRACE
    }

    /// Returns when all former owners have stopped, as far as this one knows.
    fn former_owners_until(&self) -> Duration {
        self.bound.stopped_at(GRACE)
    }
}

#[derive(Default)]
struct Node {
    alive: bool,
    frozen: bool,
    /// Whether its calls arrive but no answer reaches it.
    deaf: bool,
    has_store: bool,
    incarnation: u64,
    group: u8,
    known_token: u64,
    has_read: bool,
    owner: Option<Owner>,
}

/// A worker, which does nothing for a lower token than the highest that its incarnation has seen.
#[derive(Clone, Copy, Default)]
struct Worker {
    down: bool,
    group: u8,
    token: u64,
    incarnation: Duration,
}

struct Model {
    random: StdRng,
    /// How often a node claims the ownership, and how often something changes, in percent of the steps.
    claim_percent: u32,
    change_percent: u32,
    /// How often each change is drawn, which differs from run to run so that some runs have much of a few changes.
    weights: [u32; CHANGES],
    now: Duration,
    store: Store,
    nodes: Vec<Node>,
    workers: [Worker; WORKERS],
}

fn name(node: usize) -> String {
    format!("node-{node}")
}

fn witness(worker: usize, incarnation: Duration) -> WitnessWorker {
    WitnessWorker {
        id: name(worker),
        incarnation,
    }
}

fn set_member(node: usize) -> SetMember {
    SetMember {
        node: name(node),
        address: name(node),
    }
}

impl Model {
    fn new(seed: u64) -> Self {
        let nodes = (0..NODES).map(|_| Node {
            alive: true,
            has_store: true,
            ..Node::default()
        });
        let mut random = StdRng::seed_from_u64(seed);
        let mut weights = [0; CHANGES].map(|_: u32| [0, 1, 1, 6][random.random_range(0..4)]);
        weights[0] += 1;
        Self {
            claim_percent: random.random_range(1..8),
            change_percent: random.random_range(5..40),
            weights,
            random,
            now: Duration::from_secs(1),
            store: Store::default(),
            nodes: nodes.collect(),
            workers: [Worker::default(); WORKERS],
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn pick(&mut self) -> usize {
        self.random.random_range(0..self.nodes.len())
    }

    fn runs(&self, node: usize) -> bool {
        self.nodes[node].alive && !self.nodes[node].frozen
    }

    /// Returns whether the node's calls arrive at the store.
    fn calls_store(&self, node: usize) -> bool {
        self.runs(node) && self.nodes[node].has_store
    }

    /// Returns whether the store's answers reach the node.
    fn reaches_store(&self, node: usize) -> bool {
        self.calls_store(node) && !self.nodes[node].deaf
    }

    /// Returns the node with this name if `from` reaches it.
    fn reach(&self, from: usize, member: &SetMember) -> Option<usize> {
        let to = (0..self.nodes.len()).find(|node| name(*node) == member.node)?;
        let is_linked = self.nodes[from].group == self.nodes[to].group;
        (self.runs(to) && is_linked).then_some(to)
    }

    /// Probes `to` as the owner with `token`; returns the token that it reports.
    fn probe(&mut self, to: usize, token: u64) -> u64 {
        let node = &mut self.nodes[to];
        let may_report = node.has_read || node.known_token > token;
        node.known_token = node.known_token.max(token);
        if node.owner.as_ref().is_some_and(|owner| owner.token < token) {
            node.owner = None;
        }
        match may_report {
            true => node.known_token,
            false => 0,
        }
    }

    /// Probes the node with this name as `from` would, with the highest token that `from` knows.
    fn probe_from(&mut self, from: usize, member: &SetMember, token: u64) -> ProbeResult {
        let Some(to) = self.reach(from, member) else {
            // A partition and a lost process may refuse connections, or leave them unanswered.
            return match self.chance(50) {
                true => ProbeResult::ConnectionRefused,
                false => ProbeResult::Unanswered,
            };
        };
        let known_token = self.probe(to, token);
        let health = PeerHealth {
            incarnation: self.nodes[to].incarnation,
            acting: None,
            known_token,
            without_store_ms: 0,
            loading: None,
        };
        match self.nodes[from].deaf {
            true => ProbeResult::Unanswered,
            false => ProbeResult::Answered(health),
        }
    }

    /// Draws one of the changes, each as often as this run's weights say.
    fn change_world(&mut self) {
        let mut draw = self.random.random_range(0..self.weights.iter().sum());
        let change = self.weights.iter().position(|weight| {
            let is_drawn = draw < *weight;
            draw = draw.saturating_sub(*weight);
            is_drawn
        });
        let node = self.pick();
        let worker = self.random.random_range(0..WORKERS);
        let group = self.random.random_range(0..GROUPS);
        match change.unwrap_or_default() {
            0 => self.nodes[node].group = group,
            1 => self.nodes.iter_mut().for_each(|node| node.group = 0),
            2 => self.nodes[node].has_store = !self.nodes[node].has_store,
            3 => self.nodes.iter_mut().for_each(|node| node.has_store = true),
            4 => self
                .nodes
                .iter_mut()
                .for_each(|node| node.has_store = false),
            5 => self.nodes[node].frozen = !self.nodes[node].frozen,
            6 => self.lose(node),
            7 => self.restart(node),
            8 if self.nodes.len() < MOST_NODES => self.nodes.push(Node {
                alive: true,
                has_store: true,
                group,
                ..Node::default()
            }),
            9 => self.workers[worker].group = group,
            10 => self.workers.iter_mut().for_each(|worker| worker.group = 0),
            11 => self.workers[worker].down = !self.workers[worker].down,
            12 => {
                self.workers[worker].token = 0;
                self.workers[worker].incarnation = self.now;
            }
            13 => self.nodes[node].deaf = !self.nodes[node].deaf,
            14 => self.nodes.iter_mut().for_each(|node| node.deaf = false),
            15 => self.release(node),
            _ => {}
        }
    }

    fn lose(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.nodes[node].owner = None;
    }

    fn restart(&mut self, node: usize) {
        if self.nodes[node].alive {
            self.nodes[node].owner = None;
            self.nodes[node].known_token = 0;
            self.nodes[node].has_read = false;
            self.nodes[node].incarnation += 1;
        }
    }

    /// Lets a node that is the owner give up the ownership; its commit may be lost.
    fn release(&mut self, node: usize) {
        let Some(term) = self.nodes[node].owner.take() else {
            return;
        };
        let is_applied = self.calls_store(node) && self.chance(80);
        if let Some(owner) = self.store.owner.as_mut().filter(|_| is_applied) {
            owner.vacant |= owner.token == term.token;
        }
    }

    /// Returns whether a node that is about to claim the ownership takes the owner for gone.
    fn takes_for_gone(&mut self, node: usize, owner: &OwnerRecord) -> bool {
        if owner.node == name(node) {
            // Its own claim without an answer, or one of its former incarnation.
            return owner.incarnation != self.nodes[node].incarnation;
        }
        let mut succession = Succession::new(&name(node));
        succession.set_owner(Some(owner.clone()), self.now);
        let member = SetMember {
            node: owner.node.clone(),
            address: owner.address.clone(),
        };
        let known_token = self.nodes[node].known_token;
        let probe = self.probe_from(node, &member, known_token);
        succession.record_probe(probe, self.now, self.now);
        succession.is_former_owner_gone()
    }

    fn claim(&mut self, node: usize) {
        let former = self.store.owner.clone();
        let is_gone = match &former {
            Some(owner) => self.takes_for_gone(node, owner),
            None => true,
        };
        // Some daemons are of an earlier version, of which a term has a single token.
        let has_range = node % 2 == 1;
        let token = self.store.token() + if has_range { TOKENS_PER_TERM } else { 1 };
        self.store.takeovers += 1;
        self.store.owner = Some(OwnerRecord {
            node: name(node),
            incarnation: self.nodes[node].incarnation,
            address: name(node),
            token,
            vacant: false,
        });
        if self.nodes[node].deaf {
            return;
        }
        let is_recorded = self.store.set_version > 0;
        let set = match is_recorded {
            true => self.store.set.clone(),
            false => {
                let members = (0..self.nodes.len()).map(set_member).collect();
                MemberSet::of_enrolled(members, former.as_ref().map(|owner| owner.token))
            }
        };
        let mut bound = FormerOwnerBound::new(self.now, set.clone());
        if !is_recorded {
            bound = bound.without_time_limits();
        }
        if is_gone {
            let former_token = former.as_ref().map_or(0, |owner| owner.token);
            bound.record_owner_stopped(former_token, self.now);
        }
        bound.record_told(&name(node), self.now);
        let state = &mut self.nodes[node];
        state.known_token = token;
        state.has_read = true;
        state.owner = Some(Owner {
            token,
            quorum: OwnerQuorum::new(&name(node), set),
            bound,
            former,
            set_version: self.store.set_version,
            store_confirmed: self.now,
            confirmed: self.now,
            answered: [None; WORKERS],
        });
    }

    fn confirm(&mut self, node: usize) {
        let Some(owner) = &self.nodes[node].owner else {
            return;
        };
        let token = owner.token;
        if self.reaches_store(node) {
            match self.store.token() == token {
                true => {
                    let now = self.now;
                    let owner = self.nodes[node].owner.as_mut().expect("it is the owner");
                    owner.store_confirmed = now;
                    owner.confirmed = now;
                }
                false => self.nodes[node].owner = None,
            }
            return;
        }
        let peers = owner.quorum.peers();
        let mut confirming = HashSet::new();
        for member in peers {
            if let ProbeResult::Answered(health) = self.probe_from(node, &member, token)
                && health.known_token == token
            {
                confirming.insert(member.node);
            }
        }
        let now = self.now;
        let owner = self.nodes[node].owner.as_mut().expect("it is the owner");
        let as_of = owner.quorum.confirmed_as_of(
            &confirming,
            now,
            owner.store_confirmed,
            GRACE,
            |witness| {
                let worker = (0..WORKERS).find(|worker| name(*worker) == witness.id)?;
                let (incarnation, at) = owner.answered[worker]?;
                (incarnation == witness.incarnation).then_some(at)
            },
        );
        owner.confirmed = owner.confirmed.max(as_of.unwrap_or_default());
    }

    fn announce(&mut self, node: usize) {
        let Some(owner) = &self.nodes[node].owner else {
            return;
        };
        let token = owner.token;
        let untold: Vec<SetMember> = owner.bound.untold_members().cloned().collect();
        let former = owner.former.clone();
        for member in untold {
            let probe = self.probe_from(node, &member, token);
            self.record(node, |bound, now| {
                bound.record_member_probe(&member.node, probe, token, now);
            });
        }
        if let Some(former) = former {
            let member = SetMember {
                node: former.node.clone(),
                address: former.address.clone(),
            };
            let probe = self.probe_from(node, &member, token);
            self.record(node, |bound, now| {
                bound.record_owner_probe(&former, probe, token, now);
            });
        }
    }

    fn record(&mut self, node: usize, record: impl FnOnce(&mut FormerOwnerBound, Duration)) {
        if let Some(owner) = &mut self.nodes[node].owner {
            record(&mut owner.bound, self.now);
        }
    }

    /// Calls the workers that the owner reaches; one that follows a later owner ends its term.
    fn renew(&mut self, node: usize) {
        let Node { group, deaf, .. } = self.nodes[node];
        for number in 0..WORKERS {
            let Some(owner) = &mut self.nodes[node].owner else {
                return;
            };
            let worker = &mut self.workers[number];
            if worker.down || worker.group != group {
                continue;
            }
            if worker.token > owner.token && deaf {
                continue;
            }
            if worker.token > owner.token {
                self.nodes[node].owner = None;
                return;
            }
            worker.token = owner.token;
            if deaf {
                continue;
            }
            owner.answered[number] = Some((worker.incarnation, self.now));
            owner.bound.record_follower(&name(number), self.now);
        }
    }

    /// Lets a settled owner replace the set by any other, or repeat a change of which the outcome is unknown.
    fn change_set(&mut self, node: usize) {
        if !self.reaches_store(node) {
            return;
        }
        let members: Vec<usize> = (0..self.nodes.len())
            .filter(|_| self.random.random_range(0..2) == 0)
            .collect();
        let end = match self.random.random_range(0..8) {
            0 => CommitEnd::AppliedWithoutAnswer,
            1 => CommitEnd::AppliedLate,
            2 => CommitEnd::Lost,
            _ => CommitEnd::Applied,
        };
        let chosen = self.random.random_range(0..1 << WORKERS);
        let now = self.now;
        let Some(owner) = &mut self.nodes[node].owner else {
            return;
        };
        let witnesses = (0..WORKERS).filter(|worker| chosen >> worker & 1 == 1);
        let witnesses = witnesses.filter_map(|worker| {
            let (incarnation, _) = owner.answered[worker]?;
            Some(witness(worker, incarnation))
        });
        if now < owner.former_owners_until() {
            return;
        }
        let set = owner.quorum.pending().cloned().unwrap_or(MemberSet {
            members: members.into_iter().map(set_member).collect(),
            witnesses: witnesses.collect(),
            settled_token: owner.token,
        });
        owner.quorum.begin_change(set.clone());
        let commit = SetCommit {
            due: now + Duration::from_secs(4),
            owner_token: owner.token,
            set_version: owner.set_version,
            set,
        };
        match end {
            CommitEnd::Lost => {}
            CommitEnd::AppliedLate => self.store.late.push(commit),
            CommitEnd::AppliedWithoutAnswer => drop(self.store.apply(commit)),
            CommitEnd::Applied => {
                self.store.apply(commit.clone());
                let is_owner = self.store.token() == commit.owner_token;
                match is_owner {
                    // If an earlier attempt was applied, the conflict shows the row.
                    true => {
                        owner.set_version = self.store.set_version;
                        owner.quorum.finish_change(self.store.set.clone());
                    }
                    false => self.nodes[node].owner = None,
                }
            }
        }
    }

    fn step(&mut self) {
        self.now += TICK;
        let now = self.now;
        let (due, late) = self
            .store
            .late
            .drain(..)
            .partition(|commit| commit.due <= now);
        self.store.late = late;
        for commit in Vec::<SetCommit>::into_iter(due) {
            self.store.apply(commit);
        }
        if self.chance(self.change_percent) {
            self.change_world();
        }
        for node in 0..self.nodes.len() {
            if self.reaches_store(node) && self.chance(30) {
                let token = self.store.token();
                let state = &mut self.nodes[node];
                state.known_token = state.known_token.max(token);
                state.has_read = true;
                if state
                    .owner
                    .as_ref()
                    .is_some_and(|owner| owner.token < token)
                {
                    state.owner = None;
                }
            }
            if self.runs(node) && self.chance(70) {
                self.renew(node);
                self.confirm(node);
                self.announce(node);
            }
            if self.chance(10) {
                self.change_set(node);
            }
        }
        let node = self.pick();
        let is_owner = self.nodes[node].owner.is_some();
        if self.calls_store(node) && !is_owner && self.chance(self.claim_percent) {
            self.claim(node);
        }
    }

    /// Returns an owner that acts although a later one counts it as stopped.
    fn violation(&self) -> Option<String> {
        let owners = || self.nodes.iter().filter_map(|node| node.owner.as_ref());
        for later in owners().filter(|owner| owner.former_owners_until() <= self.now) {
            let acting = owners().find(|owner| owner.token < later.token && owner.acts(self.now));
            if let Some(acting) = acting {
                return Some(format!(
                    "at {:?} owner {} acts, which owner {} counts as stopped",
                    self.now, acting.token, later.token
                ));
            }
        }
        None
    }
}

/// Guards against two owners that act at the same time: one without the store, by the word of members that its successor did
/// not count.
#[test]
fn no_former_owner_acts_once_its_successor_counts_it_as_stopped() {
    let seeds = std::env::var("JASMINEBEND_SET_SEEDS").ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let mut takeovers = 0;
    let mut set_changes = 0;
    for seed in 0..seeds {
        let mut model = Model::new(seed);
        for _ in 0..TICKS {
            model.step();
            if let Some(violation) = model.violation() {
                panic!("seed {seed}: {violation}");
            }
        }
        takeovers += model.store.takeovers;
        set_changes += model.store.set_version;
    }
    println!("{seeds} seeds: {takeovers} takeovers, {set_changes} changes of the set");
}

/// Returns the set of these nodes, with three witnesses.
fn set_of(nodes: &[usize]) -> MemberSet {
    MemberSet {
        members: nodes.iter().copied().map(set_member).collect(),
        witnesses: (0..3)
            .map(|worker| witness(worker, Duration::ZERO))
            .collect(),
        settled_token: 1,
    }
}

const SENT: Duration = Duration::from_secs(100);
const EARLIER: Duration = Duration::from_secs(99);

/// Returns as of when a probe sent at [`SENT`] confirms the owner `age_s` after the store last has. The first `followers`
/// witnesses have answered calls sent at [`EARLIER`].
fn confirmed_as_of(
    quorum: &OwnerQuorum,
    confirming: &[usize],
    age_s: u64,
    followers: usize,
) -> Option<Duration> {
    let confirming = confirming.iter().copied().map(name).collect();
    let store_confirmed = SENT.saturating_sub(Duration::from_secs(age_s));
    let follows = |worker: &WitnessWorker| (0..followers).any(|known| name(known) == worker.id);
    let answered_call_at = |worker: &WitnessWorker| follows(worker).then_some(EARLIER);
    quorum.confirmed_as_of(&confirming, SENT, store_confirmed, GRACE, answered_call_at)
}

/// Guards against an owner that stops in an outage although most members and workers are with it.
#[test]
fn members_and_workers_confirm_an_owner_for_long() {
    let quorum = OwnerQuorum::new(&name(0), set_of(&[0, 1, 2]));
    assert_eq!(confirmed_as_of(&quorum, &[1], 1, 0), Some(SENT));
    assert_eq!(confirmed_as_of(&quorum, &[], 1, 3), None);
    assert_eq!(confirmed_as_of(&quorum, &[1], 60, 2), Some(EARLIER));
    let expired = confirmed_as_of(&quorum, &[1, 2], 60, 1).expect("a majority of the members");
    assert!(expired + GRACE < SENT);
}

/// Guards against two owners at a time: a change of the set was applied without an answer, and the owner counted by one of
/// the two sets alone.
#[test]
fn a_change_with_an_unknown_outcome_counts_both_sets() {
    let mut quorum = OwnerQuorum::new(&name(0), set_of(&[0, 1, 2]));
    quorum.begin_change(set_of(&[0, 3, 4]));
    assert_eq!(confirmed_as_of(&quorum, &[1, 2], 1, 3), None);
    assert_eq!(confirmed_as_of(&quorum, &[3, 4], 1, 3), None);
    assert!(confirmed_as_of(&quorum, &[1, 3], 1, 3).is_some());
    quorum.finish_change(set_of(&[0, 3, 4]));
    assert!(confirmed_as_of(&quorum, &[3], 1, 3).is_some());
}

/// Guards against a wait without end: all members are gone, and most workers follow the successor.
#[test]
fn a_successor_that_most_workers_follow_waits_for_a_bounded_time() {
    let claimed_at = Duration::from_secs(50);
    let mut bound = FormerOwnerBound::new(claimed_at, set_of(&[0, 1, 2]));
    bound.record_follower(&name(0), claimed_at);
    assert!(bound.stopped_at(GRACE) > claimed_at + Duration::from_secs(60));
    bound.record_follower(&name(1), claimed_at);
    assert!(bound.stopped_at(GRACE) <= claimed_at + Duration::from_secs(4));
}
