//! What the parts of a daemon share.

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
    CallerCall,
    FleetAdvice,
    FleetLog,
    FleetSettings,
    FleetVms,
    FleetWorkers,
    MemberRecord,
    PeerClient,
    PeerOrder,
    Succession,
    WaveRequest,
    owner_seat::OwnerSeat,
    peer_client::PeerFault,
    store_link::StoreLink, //
};

/// The part of the store in which the rows of the one shard lie.
pub(crate) const SHARD_PART: &str = "s0";
/// In how many parts the jobs' rows lie. A part carries its transactions out one after another; while the store
/// is slow, each takes 60 times as long, and one part would take six jobs a second.
pub(crate) const JOB_PARTS: u8 = 16;
/// The part in which the members' rows lie.
pub(crate) const MEMBERS_PART: &str = "members";
/// The key of the owner's row.
pub(crate) const OWNER_KEY: &str = "owner";
/// The key of what was learned of services and fillers.
pub(crate) const LEARNED_KEY: &str = "learned";
/// What the keys of the rows begin with that list the workers that an owner has given orders to.
pub(crate) const WORKERS_KEY: &str = "workers-";
/// What follows a job's key in the key of its cancellation.
pub(crate) const CANCEL_SUFFIX: &str = ".c";
/// How long a watch of the store waits. A connection that went silent shows only when the answer stays
/// away, and a configuration must be in force within two seconds.
pub(crate) const WATCH_WAIT: Duration = Duration::from_millis(1000);

/// How far apart the parts are in which a job's rows may lie.
const PART_STRIDE: u8 = 5;

/// Returns the parts in which a job's rows may lie: the first, and those that take them while the ones before can't be
/// written.
pub(crate) fn parts_of_job(key: JobKey) -> [String; 3] {
    let first = key.spread(JOB_PARTS);
    [0, 1, 2].map(|turn| part_name((first + turn * PART_STRIDE) % JOB_PARTS))
}

/// Returns the parts in which jobs' rows lie.
pub(crate) fn job_parts() -> impl Iterator<Item = String> {
    (0..JOB_PARTS).map(part_name)
}

fn part_name(number: u8) -> String {
    format!("j{number}")
}

/// What the operator asks for, as far as it is known.
#[derive(Debug, Default)]
pub(crate) struct OperatorView {
    pub(crate) configuration: Option<Arc<FleetConfiguration>>,
    pub(crate) closed: BTreeSet<DomainName>,
    pub(crate) waves: IndexMap<u64, WaveRequest>,
    /// When the store last told of changes, or that there are none.
    pub(crate) known_at: Option<Duration>,
}

/// What the parts of a daemon share. One thread runs them all.
pub(crate) struct FleetShared {
    pub(crate) settings: FleetSettings,
    pub(crate) incarnation: u64,
    pub(crate) clock: Rc<dyn ClockSource>,
    pub(crate) store: StoreLink,
    pub(crate) workers: Rc<dyn FleetWorkers>,
    pub(crate) advice: Option<Rc<dyn FleetAdvice>>,
    pub(crate) vms: Option<Rc<dyn FleetVms>>,
    pub(crate) peers: PeerClient,
    pub(crate) peer_order: RefCell<PeerOrder>,
    pub(crate) log: FleetLog,
    pub(crate) operator: RefCell<OperatorView>,
    pub(crate) succession: RefCell<Succession>,
    pub(crate) members: RefCell<IndexMap<String, MemberRecord>>,
    pub(crate) owner_version: Cell<u64>,
    pub(crate) highest_token: Cell<u64>,
    pub(crate) seat: RefCell<Option<Rc<OwnerSeat>>>,
    /// Whether the daemon is to stop.
    pub(crate) stop: watch::Receiver<bool>,
}

impl FleetShared {
    pub(crate) fn now(&self) -> Duration {
        self.clock.monotonic()
    }

    /// Returns the time since 1970.
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

    /// Returns for how long the store has not told whether the configuration has changed.
    pub(crate) fn configuration_age(&self) -> Option<Duration> {
        let known_at = self.operator.borrow().known_at?;
        Some(self.now().saturating_sub(known_at))
    }

    /// Returns the seat, if this daemon owns the jobs and has not been replaced.
    pub(crate) fn seat(&self) -> Option<Rc<OwnerSeat>> {
        let seat = self.seat.borrow();
        seat.as_ref().filter(|seat| !seat.is_over()).cloned()
    }

    /// Returns the seat once it knows what is on record: before that it would tell callers of nothing.
    pub(crate) fn knowing_seat(&self) -> Option<Rc<OwnerSeat>> {
        self.seat().filter(|seat| seat.loaded.get())
    }

    /// Tells whether a seat may give orders: it was confirmed a moment ago.
    pub(crate) fn may_order(&self, seat: &OwnerSeat) -> bool {
        !seat.is_over() && seat.unconfirmed(self.now()) < self.settings.dispatch.unconfirmed
    }

    /// Returns where the owner is reached, if it is another daemon.
    pub(crate) fn owner_address(&self) -> Option<String> {
        let succession = self.succession.borrow();
        let owner = succession.owner()?;
        (owner.node != self.settings.node).then(|| owner.address.clone())
    }

    /// Returns where other daemons are reached, the owner first, those that did not answer lately last.
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

    /// Has another daemon answer a caller in this one's place, within `patience`.
    pub(crate) async fn ask_peer(
        &self,
        address: &str,
        call: CallerCall,
        patience: Duration,
    ) -> Result<CallerAnswer, PeerFault> {
        let answer = self.peers.serve(address, call, patience).await;
        let mut order = self.peer_order.borrow_mut();
        match answer {
            Ok(_) => order.note_answer(address),
            Err(_) => order.note_silence(address, self.now()),
        }
        answer
    }

    pub(crate) fn note_token(&self, token: u64) {
        self.highest_token.set(self.highest_token.get().max(token));
        if let Some(seat) = self.seat()
            && seat.token() < token
        {
            seat.depose();
        }
    }
}
