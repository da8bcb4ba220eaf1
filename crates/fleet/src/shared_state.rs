//! State that all tasks of a daemon share, and the names of rows in the store.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_base::DomainName;
use jasminebend_dispatch::{
    FleetConfiguration,
    JobKey, //
};
use jasminebend_ports::ClockSource;
use tokio::sync::watch;

use crate::{
    CallerAnswer,
    CallerRequest,
    FleetAdvice,
    FleetLog,
    FleetSettings,
    FleetVms,
    FleetWorkers,
    MaintenanceWave,
    MemberRecord,
    MemberSet,
    PeerClient,
    PeerOrder,
    Succession,
    monitored_store::MonitoredStore,
    owner_term::OwnerTerm,
    peer_client::PeerCallError, //
};

/// The store's part that holds the owner's row and the progress rows; all jobs form one shard.
pub(crate) const SHARD_PART: &str = "s0";
/// The number of parts that hold jobs' rows. A part executes its transactions one after another; while the store
/// is slow, each takes 60 times as long, and a single part would accept only six jobs a second.
pub(crate) const JOB_PART_COUNT: u8 = 16;
/// The part that holds the members' rows.
pub(crate) const MEMBERS_PART: &str = "members";
/// The key of the row with the set of members that count for majorities. It sorts before the owner's, so that a read from
/// the owner's row on does not include it.
pub(crate) const MEMBER_SET_KEY: &str = "member-set";
/// The key of the owner's row.
pub(crate) const OWNER_KEY: &str = "owner";
/// The key of the row with the learned interference between services and fillers.
pub(crate) const LEARNED_KEY: &str = "learned";
/// The prefix of the keys of rows that list the workers an owner has sent orders to.
pub(crate) const WORKERS_KEY_PREFIX: &str = "workers-";
/// The suffix that turns a job's key into the key of its cancellation.
pub(crate) const CANCELLATION_SUFFIX: &str = ".c";
/// The suffix that turns the key of a job's progress into that of the row with ends of its runs that an owner recorded which
/// could not read the job.
pub(crate) const ENDS_SUFFIX: &str = ".ends";
/// How long a watch of the store waits for a change. A silent connection is noticed only when the answer is
/// overdue, and a configuration must be in force within two seconds.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// The distance between the numbers of the parts that may hold a job's rows.
const JOB_PART_STRIDE: u8 = 5;

/// Returns the parts that may hold a job's rows, in the order in which a write tries them: each later part takes the
/// rows only while the earlier ones can't be written.
pub(crate) fn job_row_parts(key: JobKey) -> [String; 3] {
    let first = key.partition(JOB_PART_COUNT);
    [0, 1, 2].map(|turn| part_name((first + turn * JOB_PART_STRIDE) % JOB_PART_COUNT))
}

/// Returns all parts that hold jobs' rows.
pub(crate) fn all_job_parts() -> impl Iterator<Item = String> {
    (0..JOB_PART_COUNT).map(part_name)
}

fn part_name(number: u8) -> String {
    format!("j{number}")
}

/// The operator's configuration and requests, as last read from the store.
#[derive(Debug, Default)]
pub(crate) struct OperatorState {
    pub(crate) configuration: Option<Arc<FleetConfiguration>>,
    pub(crate) closed: BTreeSet<DomainName>,
    pub(crate) waves: IndexMap<u64, MaintenanceWave>,
    /// When the store last answered a read or a watch of the operator's rows, by the monotonic clock.
    pub(crate) confirmed_at: Option<Duration>,
}

/// State that all tasks of a daemon share. One thread runs them all.
pub(crate) struct SharedState {
    pub(crate) settings: FleetSettings,
    pub(crate) incarnation: u64,
    pub(crate) clock: Rc<dyn ClockSource>,
    pub(crate) store: MonitoredStore,
    pub(crate) workers: Rc<dyn FleetWorkers>,
    pub(crate) advice: Option<Rc<dyn FleetAdvice>>,
    pub(crate) vms: Option<Rc<dyn FleetVms>>,
    pub(crate) peers: PeerClient,
    pub(crate) peer_order: RefCell<PeerOrder>,
    pub(crate) log: FleetLog,
    pub(crate) operator: RefCell<OperatorState>,
    pub(crate) succession: RefCell<Succession>,
    pub(crate) members: RefCell<IndexMap<String, MemberRecord>>,
    /// The set of members that count for majorities as last read; empty before.
    pub(crate) member_set: RefCell<MemberSet>,
    /// The store's version of the owner's row as last read; 0 before the first read.
    pub(crate) owner_version: Cell<u64>,
    /// The highest fencing token seen in the store or reported by a peer.
    pub(crate) highest_token: Cell<u64>,
    pub(crate) term: RefCell<Option<Rc<OwnerTerm>>>,
    /// Becomes true when the daemon is to stop.
    pub(crate) stop: watch::Receiver<bool>,
}

impl SharedState {
    pub(crate) fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Returns the wall-clock time since 1970.
    pub(crate) fn wall(&self) -> Duration {
        self.clock
            .wall()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stop.borrow()
    }

    pub(crate) fn configuration(&self) -> Option<Arc<FleetConfiguration>> {
        self.operator.borrow().configuration.clone()
    }

    /// Returns the time since the store last confirmed the configuration; `None` before the first read.
    pub(crate) fn configuration_age(&self) -> Option<Duration> {
        let confirmed_at = self.operator.borrow().confirmed_at?;
        Some(self.now().saturating_sub(confirmed_at))
    }

    /// Returns the owner's term if this daemon owns the jobs and has not been replaced.
    pub(crate) fn term(&self) -> Option<Rc<OwnerTerm>> {
        let term = self.term.borrow();
        term.as_ref().filter(|term| !term.is_over()).cloned()
    }

    /// Returns the owner's term once all records were read; before that it would report existing jobs as missing.
    pub(crate) fn loaded_term(&self) -> Option<Rc<OwnerTerm>> {
        self.term().filter(|term| term.loaded.get())
    }

    /// Returns the fencing token by which this daemon acts as the owner on all records.
    pub(crate) fn acting_token(&self) -> Option<u64> {
        let term = self.loaded_term().filter(|term| !term.holds_jobs.get());
        term.map(|term| term.token())
    }

    /// Returns the number of pages that this daemon has read while it reads its records as the owner.
    pub(crate) fn loading_page_count(&self) -> Option<u64> {
        let is_loading = |term: &Rc<OwnerTerm>| !term.loaded.get() || term.holds_jobs.get();
        let term = self.term().filter(is_loading);
        term.map(|term| term.page_count.get())
    }

    /// Returns whether the owner may send orders: its term was confirmed recently enough.
    pub(crate) fn may_send_orders(&self, term: &OwnerTerm) -> bool {
        !term.is_over()
            && term.time_since_confirmation(self.now()) < self.settings.dispatch.unconfirmed_grace
    }

    /// Returns the owner's address if the owner is another daemon.
    pub(crate) fn owner_address(&self) -> Option<String> {
        let succession = self.succession.borrow();
        let owner = succession.owner()?;
        (owner.node != self.settings.node).then(|| owner.address.clone())
    }

    /// Returns the addresses of the other daemons: the owner first, those that recently left a call unanswered last.
    pub(crate) fn peer_addresses(&self) -> Vec<String> {
        let mut addresses: Vec<String> = self.owner_address().into_iter().collect();
        for member in self.members.borrow().values() {
            if member.node != self.settings.node && !addresses.contains(&member.address) {
                addresses.push(member.address.clone());
            }
        }
        self.peer_order.borrow().sort(&mut addresses, self.now());
        addresses
    }

    /// Forwards a caller's request to another daemon and waits for its answer for `timeout` at most.
    pub(crate) async fn forward_to_peer(
        &self,
        address: &str,
        request: CallerRequest,
        timeout: Duration,
    ) -> Result<CallerAnswer, PeerCallError> {
        let answer = self.peers.forward_request(address, request, timeout).await;
        let mut order = self.peer_order.borrow_mut();
        match answer {
            Ok(_) => order.record_answer(address),
            Err(_) => order.record_silence(address, self.now()),
        }
        answer
    }

    /// Records a fencing token; ends this daemon's term as the owner if the token is newer.
    pub(crate) fn observe_token(&self, token: u64) {
        self.highest_token.set(self.highest_token.get().max(token));
        if let Some(term) = self.term()
            && term.token() < token
        {
            term.end();
        }
    }
}
