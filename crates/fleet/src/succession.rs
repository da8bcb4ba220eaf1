//! When a daemon takes the ownership over.

use std::time::Duration;

use crate::{
    MemberRecord,
    OwnerRecord,
    PeerHealth,
    fleet_log::whole_millis, //
};

/// How long an owner may be silent until it is replaced, from the first probe that got no answer. Three get none in
/// this time.
const SILENCE: Duration = Duration::from_millis(1300);
/// How long an owner may be without the store while another daemon has it. The store comes back to daemons one by one.
const WITHOUT_STORE: Duration = Duration::from_millis(1000);
/// By how much each daemon lets the ones before it in rank go first.
const RANK_STEP: Duration = Duration::from_millis(120);

/// What a probe of the owner showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerProbe {
    /// It answered.
    Answered(PeerHealth),
    /// Its VM refused the connection: nothing listens there.
    Gone,
    /// No answer came.
    Silent,
}

/// When a daemon takes the ownership over. It judges by what it sees itself; the store decides between
/// several, and the workers refuse whoever was replaced.
#[derive(Debug)]
pub struct Succession {
    node: String,
    owner: Option<OwnerRecord>,
    members: Vec<MemberRecord>,
    silent_since: Option<Duration>,
    unfit_since: Option<Duration>,
    gone: bool,
    with_store: Duration,
}

impl Succession {
    /// Creates the succession as the daemon with this name sees it.
    pub fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            owner: None,
            members: Vec::new(),
            silent_since: None,
            unfit_since: None,
            gone: false,
            with_store: Duration::MAX,
        }
    }

    /// Takes note for how long this daemon has had the store.
    pub fn note_store(&mut self, with_store: Duration) {
        self.with_store = with_store;
    }

    /// Takes note of the owner's row.
    pub fn note_owner(&mut self, owner: Option<OwnerRecord>, now: Duration) {
        if self.owner == owner && self.owner.is_some() {
            return;
        }
        let vacant = owner.as_ref().is_none_or(|owner| owner.vacant);
        self.owner = owner;
        self.gone = false;
        self.silent_since = None;
        self.unfit_since = vacant.then_some(now);
    }

    /// Takes note of who may own.
    pub fn note_members(&mut self, members: Vec<MemberRecord>) {
        self.members = members;
    }

    /// Returns the owner, if there is one.
    pub fn owner(&self) -> Option<&OwnerRecord> {
        self.owner.as_ref().filter(|owner| !owner.vacant)
    }

    /// Returns the owner's row as it is known, also if it is vacant.
    pub fn known_record(&self) -> Option<&OwnerRecord> {
        self.owner.as_ref()
    }

    /// Tells whether the former owner surely acts no more.
    pub fn former_is_gone(&self) -> bool {
        let own = self
            .owner
            .as_ref()
            .is_none_or(|owner| owner.vacant || owner.node == self.node);
        own || self.gone
    }

    /// Takes note of what a probe of the owner showed that was sent at `sent`.
    pub fn note_probe(&mut self, probe: OwnerProbe, sent: Duration, now: Duration) {
        let Some(owner) = &self.owner else {
            return;
        };
        match probe {
            OwnerProbe::Answered(health) => {
                let other_life = health.incarnation != owner.incarnation;
                let acts = health.acting == Some(owner.token);
                let cut_off = health.without_store_ms >= whole_millis(WITHOUT_STORE)
                    && self.with_store >= WITHOUT_STORE;
                self.gone = other_life;
                // An owner that has just won its row needs a moment until it acts.
                match acts {
                    true => self.silent_since = None,
                    false => drop(self.silent_since.get_or_insert(sent)),
                }
                let idle = self
                    .silent_since
                    .is_some_and(|since| now >= since + SILENCE);
                self.doubt(other_life || idle || cut_off, now);
            }
            OwnerProbe::Gone => {
                self.gone = true;
                self.doubt(true, now);
            }
            OwnerProbe::Silent => {
                let since = *self.silent_since.get_or_insert(sent);
                self.doubt(now >= since + SILENCE, now);
            }
        }
    }

    /// Tells whether to take over at `now`, where this daemon does not act as the owner: if the row names it, its former
    /// life wrote it, or its own claim was done without an answer.
    pub fn should_claim(&self, now: Duration) -> bool {
        let owner = self.owner.as_ref();
        if owner.is_some_and(|owner| owner.node == self.node) {
            return true;
        }
        self.unfit_since
            .is_some_and(|since| now >= since + RANK_STEP * self.rank())
    }

    /// Tells whether the owner may have to be replaced soon.
    pub fn is_in_doubt(&self) -> bool {
        self.silent_since.is_some() || self.unfit_since.is_some()
    }

    fn doubt(&mut self, unfit: bool, now: Duration) {
        match unfit {
            true => drop(self.unfit_since.get_or_insert(now)),
            false => self.unfit_since = None,
        }
    }

    /// Counts the daemons that go first: those with a larger share of a processor, then by name.
    fn rank(&self) -> u32 {
        let own = self.members.iter().find(|member| member.node == self.node);
        let own = own.map_or(0, |member| member.cpu_millis);
        let former = self.owner.as_ref().map(|owner| owner.node.as_str());
        let before = self.members.iter().filter(|member| {
            let first = (own, member.node.as_str()) < (member.cpu_millis, self.node.as_str());
            member.node != self.node && first && former != Some(member.node.as_str())
        });
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }
}
