//! Decides when a daemon takes over the ownership.

use std::time::Duration;

use serde::Serialize;

use crate::{
    MemberRecord,
    OwnerRecord,
    PeerHealth,
    fleet_log::whole_millis, //
};

/// How long an owner may be silent before it is replaced, from the sending of the first unanswered probe. Three probes
/// fit into this time.
const OWNER_SILENCE_LIMIT: Duration = Duration::from_millis(1300);
/// The time in which the judgement of the owner begins anew once at most: it must end also while the store is lost and
/// regained again and again.
const JUDGEMENT_TIME: Duration = OWNER_SILENCE_LIMIT.saturating_mul(3);
/// How long an owner may be without the store while this daemon has it. After an outage the store becomes available to
/// the daemons one by one.
const OWNER_WITHOUT_STORE_LIMIT: Duration = Duration::from_millis(1000);
/// The delay of a daemon's claim for each daemon that ranks before it.
const CLAIM_DELAY_PER_RANK: Duration = Duration::from_millis(120);

/// The result of a probe.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeResult {
    /// The daemon answered.
    Answered(PeerHealth),
    /// The connection was refused: nothing listens at the address, or a partition refuses connections.
    ConnectionRefused,
    /// No answer came.
    Unanswered,
}

/// Why a daemon takes over the ownership.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimCause {
    /// There is no owner, or it has given up the ownership.
    Vacant,
    /// The owner's row names this daemon, which does not act as the owner.
    Own,
    /// Another incarnation answers at the owner's address.
    Restarted,
    /// Connections to the owner are refused.
    Refused,
    /// The owner is silent, or does not act and gets no further.
    Silent,
    /// The owner is without the store.
    WithoutStore,
}

/// Decides when a daemon takes over the ownership, by what this daemon observes alone. If several claim it, the store
/// decides between them, and workers reject the orders of an owner that was replaced.
#[derive(Debug)]
pub struct Succession {
    /// This daemon's name.
    node: String,
    /// The owner's row, also if it is vacant; `None` if there is no row or it was not read yet.
    owner: Option<OwnerRecord>,
    /// When this row became known.
    owner_known_at: Duration,
    members: Vec<MemberRecord>,
    /// When the first probe was sent that the owner left unanswered, or answered without acting as the owner or having
    /// read on since the one before.
    silent_since: Option<Duration>,
    /// Since when the owner should be replaced, and why; `None` while it is healthy.
    unhealthy_since: Option<(Duration, ClaimCause)>,
    /// The number of pages that the owner had read when it last answered while it was reading its records.
    loading_pages: Option<u64>,
    /// Whether the owner was reading its records when it was last probed.
    is_loading: bool,
    /// Whether the processes that held the ownership, other than this one, are known to have ended.
    former_owner_gone: bool,
    /// How long the store has been available to this daemon.
    store_available_for: Duration,
    /// When this daemon last regained the store after it had lost it; zero if it never lost it. Until then it may have
    /// been partitioned, so that the owner's earlier silence proves nothing.
    store_regained_at: Duration,
    /// When the judgement of the owner began anew, if it has since the owner acted.
    judged_anew_at: Option<Duration>,
}

impl Succession {
    /// Creates the state of the daemon with this name, before it has read the owner's row.
    pub fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            owner: None,
            owner_known_at: Duration::ZERO,
            members: Vec::new(),
            silent_since: None,
            unhealthy_since: None,
            loading_pages: None,
            is_loading: false,
            former_owner_gone: false,
            store_available_for: Duration::MAX,
            store_regained_at: Duration::ZERO,
            judged_anew_at: None,
        }
    }

    /// Records when this daemon last regained the store after it had lost it.
    pub fn set_store_regained_at(&mut self, regained_at: Duration) {
        if self.store_regained_at == regained_at {
            return;
        }
        self.store_regained_at = regained_at;
        let is_judged = self.silent_since.is_some() || self.unhealthy_since.is_some();
        let began_lately = self
            .judged_anew_at
            .is_some_and(|began| regained_at < began + JUDGEMENT_TIME);
        if self.owner().is_some() && is_judged && !began_lately {
            self.silent_since = None;
            self.unhealthy_since = None;
            self.judged_anew_at = Some(regained_at);
        }
    }

    /// Records how long the store has been available to this daemon.
    pub fn set_store_available_for(&mut self, store_available_for: Duration) {
        self.store_available_for = store_available_for;
    }

    /// Records the owner's row, or that there is none.
    pub fn set_owner(&mut self, owner: Option<OwnerRecord>, now: Duration) {
        if self.owner == owner && self.owner.is_some() {
            return;
        }
        let vacant = owner.as_ref().is_none_or(|owner| owner.vacant);
        // A claim of this daemon that is applied without an answer does not end the owner before it.
        let is_own = owner.as_ref().is_some_and(|owner| owner.node == self.node);
        self.former_owner_gone = is_own && self.is_former_owner_gone();
        self.owner = owner;
        self.owner_known_at = now;
        self.loading_pages = None;
        self.is_loading = false;
        self.silent_since = None;
        self.judged_anew_at = None;
        self.unhealthy_since = vacant.then_some((now, ClaimCause::Vacant));
    }

    /// Records the daemons that may become the owner.
    pub fn set_members(&mut self, members: Vec<MemberRecord>) {
        self.members = members;
    }

    /// Returns the owner, or `None` if there is none or it has given up the ownership.
    pub fn owner(&self) -> Option<&OwnerRecord> {
        self.owner.as_ref().filter(|owner| !owner.vacant)
    }

    /// Returns the owner's row, also if it is vacant.
    pub fn owner_row(&self) -> Option<&OwnerRecord> {
        self.owner.as_ref()
    }

    /// Returns whether the former owner certainly no longer acts.
    pub fn is_former_owner_gone(&self) -> bool {
        let is_vacant = self.owner.as_ref().is_none_or(|owner| owner.vacant);
        is_vacant || self.former_owner_gone
    }

    /// Records the result of a probe of the owner that was sent at `sent`.
    pub fn record_probe(&mut self, probe: ProbeResult, sent: Duration, now: Duration) {
        let Some(owner) = &self.owner else {
            return;
        };
        // A former incarnation may have answered, which held the ownership at the same address.
        if sent < self.owner_known_at {
            return;
        }
        self.is_loading = false;
        match probe {
            ProbeResult::Answered(health) => {
                let restarted = health.incarnation != owner.incarnation;
                let acts = health.acting == Some(owner.token);
                let lacks_store = health.without_store_ms
                    >= whole_millis(OWNER_WITHOUT_STORE_LIMIT)
                    && self.store_available_for >= OWNER_WITHOUT_STORE_LIMIT;
                self.former_owner_gone = restarted;
                let reads_on = health.loading.is_some() && health.loading != self.loading_pages;
                self.is_loading = health.loading.is_some();
                self.loading_pages = health.loading.or(self.loading_pages);
                // An owner needs time to read its records, but has to get on with it.
                match (acts, reads_on) {
                    (true, _) => {
                        self.silent_since = None;
                        self.judged_anew_at = None;
                    }
                    (false, true) => self.silent_since = Some(sent),
                    (false, false) => {}
                }
                let silent_too_long = !acts && self.record_silence(sent, now);
                let cause = match () {
                    () if restarted => Some(ClaimCause::Restarted),
                    () if silent_too_long => Some(ClaimCause::Silent),
                    () if lacks_store => Some(ClaimCause::WithoutStore),
                    () => None,
                };
                self.set_unhealthy(cause, now);
            }
            // A partition may refuse connections too: the owner is replaced at once, but may still act.
            ProbeResult::ConnectionRefused => self.set_unhealthy(Some(ClaimCause::Refused), now),
            ProbeResult::Unanswered => {
                let silent_too_long = self.record_silence(sent, now);
                self.set_unhealthy(silent_too_long.then_some(ClaimCause::Silent), now);
            }
        }
    }

    /// Returns whether this daemon, which does not act as the owner, should take over at `now`. If the owner's row
    /// names it, either a former incarnation wrote the row, or its own claim was applied without an answer.
    pub fn should_claim(&self, now: Duration) -> bool {
        self.claim_cause(now).is_some()
    }

    /// Returns why this daemon should take over at `now`, or `None` if it should not.
    pub fn claim_cause(&self, now: Duration) -> Option<ClaimCause> {
        let owner = self.owner.as_ref();
        if owner.is_some_and(|owner| owner.node == self.node) {
            return Some(ClaimCause::Own);
        }
        let (since, cause) = self.unhealthy_since?;
        (now >= since + CLAIM_DELAY_PER_RANK * self.rank()).then_some(cause)
    }

    /// Returns whether a daemon must have read all records before it claims the ownership: the owner reads them too, and
    /// while they can't be read, another owner would get no further.
    pub fn must_read_before_claim(&self) -> bool {
        self.is_loading
    }

    /// Returns whether the owner may have to be replaced soon.
    pub fn may_need_replacement(&self) -> bool {
        let is_silent = self.silent_since.is_some() && !self.is_loading;
        is_silent || self.unhealthy_since.is_some()
    }

    /// Records at `now` that the owner did not act when a probe was sent at `sent`; returns whether it has not acted for
    /// too long.
    fn record_silence(&mut self, sent: Duration, now: Duration) -> bool {
        let since = *self
            .silent_since
            .get_or_insert(sent.max(self.store_regained_at));
        now >= since + OWNER_SILENCE_LIMIT
    }

    fn set_unhealthy(&mut self, cause: Option<ClaimCause>, now: Duration) {
        let since = self.unhealthy_since.map_or(now, |(since, _)| since);
        self.unhealthy_since = cause.map(|cause| (since, cause));
    }

    /// Returns the number of daemons that should claim before this one: those with a larger CPU share, and those with
    /// an equal share and a smaller name. The owner to be replaced is not counted.
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
