//! A small world around the state machine: daemons with drifting clocks that pause and die, links
//! that delay, lose, double and reorder, and a table whose answers get lost. One seed, one course.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::SocketAddr,
    time::Duration, //
};

use indexmap::{
    IndexMap,
    IndexSet, //
};
use jasminebend_base::ResourceId;
use jasminebend_ownership::{
    DaemonRecord,
    Guard,
    GuardSet,
    HolderId,
    MemberAction,
    MemberMachine,
    OwnershipSettings,
    PeerMessage,
    SharedWrite,
    TableSnapshot, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng,
    seq::SliceRandom, //
};

use crate::{
    referee::{
        Fault,
        Referee, //
    },
    rows::Rows, //
};

pub(crate) const SEATS: u8 = 5;
const SLOTS: u16 = 4;
const SHARDS: u16 = 2;
pub(crate) const LONGEST_MS: u64 = 4_000;
const RUN_MS: u64 = 60_000;

/// How long all works at the end of a course, until all must have recovered.
const RECOVERY_MS: u64 = 45_000;

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Tick(usize),
    ReadRow(usize, Vec<u8>, TableSnapshot),
    Polled(usize, Option<TableSnapshot>),
    Apply(usize, SharedWrite),
    CommitEnded(usize, u64),
    Deliver(SocketAddr, PeerMessage),
    Gone(usize, HolderId),
    CheckIdle(usize, ResourceId),
    Look(usize),
    Arrive(usize, ResourceId, u64, u64),
    Install(usize, u64),
    Propose,
    Chaos,
    Start(u16),
}

impl Event {
    fn process(&self) -> Option<usize> {
        match self {
            Self::Tick(p)
            | Self::Polled(p, _)
            | Self::CommitEnded(p, _)
            | Self::Gone(p, _)
            | Self::CheckIdle(p, _)
            | Self::Look(p)
            | Self::Arrive(p, ..)
            | Self::Install(p, _) => Some(*p),
            _ => None,
        }
    }
}

struct Process {
    machine: MemberMachine,
    address: u16,
    offset: Duration,
    rate: f64,
    alive: bool,
    paused_until: u64,
    polls: u8,
    poll_due: u64,
    installing: u64,
}

pub(crate) struct World {
    guards: GuardSet,
    random: StdRng,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    processes: Vec<Process>,
    /// By address: the process that listens there.
    listening: IndexMap<u16, usize>,
    rows: Rows,
    cut: IndexSet<(u16, u16)>,
    no_table: IndexSet<u16>,
    pub(crate) referee: Referee,
    next_address: u16,
    slow: bool,
    healed: bool,
    fast_drift: bool,
}

/// Runs one course; the first fault that the referee sees ends it.
pub(crate) fn explore(seed: u64, guards: GuardSet) -> Result<Referee, Fault> {
    let mut world = World::new(seed, guards);
    world.run_until(RUN_MS)?;
    world.heal();
    world.run_until(RUN_MS + RECOVERY_MS)?;
    world.check_recovered()?;
    Ok(world.referee)
}

impl World {
    fn new(seed: u64, guards: GuardSet) -> Self {
        let mut world = Self {
            guards,
            random: StdRng::seed_from_u64(seed),
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            processes: Vec::new(),
            listening: IndexMap::new(),
            rows: Rows::default(),
            cut: IndexSet::new(),
            no_table: IndexSet::new(),
            referee: Referee::default(),
            next_address: u16::from(SEATS) + 1,
            slow: false,
            healed: false,
            fast_drift: seed % 2 == 1,
        };
        for address in 1..=u16::from(SEATS) {
            let at = world.random.random_range(0..1_500);
            world.schedule(at, Event::Start(address));
        }
        world.schedule(3_000, Event::Chaos);
        world.schedule(2_500, Event::Propose);
        world
    }

    fn run_until(&mut self, end: u64) -> Result<(), Fault> {
        while self.now < end {
            self.step();
            if let Some(fault) = self.referee.fault.take() {
                return Err(fault);
            }
        }
        Ok(())
    }

    fn heal(&mut self) {
        self.healed = true;
        self.slow = false;
        self.cut.clear();
        self.no_table.clear();
    }

    /// Everybody works again by the newest configuration, and every resource is held.
    fn check_recovered(&self) -> Result<(), Fault> {
        let version = self.rows.configuration.row.version;
        let mut held = 0;
        for (address, p) in &self.listening {
            let machine = &self.processes[*p].machine;
            let ready = machine.may_start(self.local(*p)) && machine.in_force() == version;
            if !ready {
                return Err(Fault::Stuck { address: *address });
            }
            held += machine.held(self.local(*p)).len();
        }
        match held == usize::from(SLOTS + SHARDS) {
            true => Ok(()),
            false => Err(Fault::Unheld { held }),
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.events.push(Some(event));
        let key = (self.now + delay, self.order, self.events.len() - 1);
        self.queue.push(Reverse(key));
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn step(&mut self) {
        let Some(Reverse((at, _, index))) = self.queue.pop() else {
            self.now = RUN_MS + RECOVERY_MS;
            return;
        };
        self.now = at;
        let Some(event) = self.events[index].take() else {
            return;
        };
        if let Some(p) = event.process() {
            if !self.processes[p].alive {
                return;
            }
            let resume = self.processes[p].paused_until;
            if resume > self.now {
                let delay = resume - self.now;
                self.schedule(delay, event);
                return;
            }
        }
        self.handle(event);
    }

    fn local(&self, p: usize) -> Duration {
        let process = &self.processes[p];
        process.offset + Duration::from_millis(self.now).mul_f64(process.rate)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start(address) => self.start(address),
            Event::Tick(p) => {
                self.schedule(100, Event::Tick(p));
                self.poll_if_due(p, false);
                self.tick(p);
                if self.processes[p].machine.has_left() {
                    self.end(p);
                }
            }
            Event::ReadRow(p, rows, snapshot) => self.read_row(p, rows, snapshot),
            Event::Polled(p, snapshot) => self.end_poll(p, snapshot),
            Event::Apply(p, write) => {
                let committed = self.rows.apply(&write);
                if let (true, Some(header)) = (committed, &write.configuration) {
                    self.referee.commit_version(self.now, header.row.version);
                }
                let _ = p;
            }
            Event::CommitEnded(p, pause) => {
                let now = self.local(p);
                let pause = Duration::from_millis(pause);
                self.processes[p].machine.end_commit(now, pause);
                self.tick(p);
            }
            Event::Deliver(to, message) => self.deliver(to, message),
            Event::Gone(p, holder) => self.processes[p].machine.observe_gone(holder),
            Event::CheckIdle(p, resource) => self.check_idle(p, resource),
            Event::Look(p) => self.look(p),
            Event::Arrive(p, resource, epoch, length) => {
                let now = self.now;
                self.referee.arrive(now, p, resource, epoch, now + length);
            }
            Event::Install(p, version) => {
                self.processes[p].machine.install_configuration(version);
                self.processes[p].installing = 0;
            }
            Event::Propose if !self.healed => self.propose(),
            Event::Chaos if !self.healed => self.chaos(),
            Event::Propose | Event::Chaos => (),
        }
    }

    fn start(&mut self, address: u16) {
        if self.listening.contains_key(&address) {
            return;
        }
        let p = self.processes.len();
        let mut settings = OwnershipSettings::new(SEATS, SLOTS, SHARDS).with_guards(self.guards);
        settings.longest_request = Duration::from_millis(LONGEST_MS);
        settings.defended_for = Duration::from_secs(5);
        let mut drift = 0.01;
        if self.fast_drift {
            drift = 0.1;
            settings.drift_permille = 220;
        }
        let daemon = DaemonRecord {
            nonce: 1_000 + p as u64,
            peer: socket(address),
            admin: None,
            domain: "east".into(),
            vm: None,
        };
        let process = Process {
            machine: MemberMachine::new(settings, daemon),
            address,
            offset: Duration::from_secs(self.random.random_range(0..1_000)),
            rate: self.random.random_range(1.0 - drift..1.0 + drift),
            alive: true,
            paused_until: 0,
            polls: 0,
            poll_due: 0,
            installing: 0,
        };
        self.processes.push(process);
        self.listening.insert(address, p);
        self.schedule(1, Event::Tick(p));
        self.schedule(50, Event::Look(p));
    }

    fn tick(&mut self, p: usize) {
        self.fetch(p);
        let now = self.local(p);
        let actions = self.processes[p].machine.tick(now);
        self.carry_out(p, actions);
    }

    fn carry_out(&mut self, p: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(p, to, message),
                MemberAction::Commit(write) => self.commit(p, write),
                MemberAction::Poll => self.poll_if_due(p, true),
                MemberAction::Probe { holder, address } => self.probe(p, holder, address),
                MemberAction::Release(resource) => self.schedule(1, Event::CheckIdle(p, resource)),
            }
        }
    }

    fn delay(&mut self) -> u64 {
        let kind = self.random.random_range(0..100);
        match kind {
            _ if self.slow && kind < 50 => self.random.random_range(400..3_500),
            0..90 => self.random.random_range(1..20),
            90..97 => self.random.random_range(20..400),
            _ => self.random.random_range(400..3_500),
        }
    }

    fn send(&mut self, p: usize, to: SocketAddr, message: PeerMessage) {
        let from = self.processes[p].address;
        if self.cut.contains(&(from, to.port())) || self.chance(3) {
            return;
        }
        let delay = self.delay();
        self.schedule(delay, Event::Deliver(to, message.clone()));
        if self.chance(3) {
            let delay = self.delay();
            self.schedule(delay, Event::Deliver(to, message));
        }
    }

    fn deliver(&mut self, to: SocketAddr, message: PeerMessage) {
        let Some(&p) = self.listening.get(&to.port()) else {
            return;
        };
        let resume = self.processes[p].paused_until;
        if resume > self.now {
            let delay = resume - self.now;
            self.schedule(delay, Event::Deliver(to, message));
            return;
        }
        let now = self.local(p);
        let actions = self.processes[p].machine.receive(now, message);
        self.carry_out(p, actions);
        if self.processes[p].machine.wants_tick() {
            self.tick(p);
        }
    }

    fn probe(&mut self, p: usize, holder: HolderId, address: SocketAddr) {
        let from = self.processes[p].address;
        let refused = !self.listening.contains_key(&address.port());
        if refused && !self.cut.contains(&(from, address.port())) {
            self.schedule(20, Event::Gone(p, holder));
        }
    }

    fn poll_if_due(&mut self, p: usize, urgent: bool) {
        let now = self.now;
        let asked = self.local(p);
        let process = &mut self.processes[p];
        if process.polls == 2 || !(urgent || now >= process.poll_due) {
            return;
        }
        process.polls += 1;
        process.poll_due = now + 1_000;
        if self.no_table.contains(&self.processes[p].address) {
            self.schedule(300, Event::Polled(p, None));
            return;
        }
        let snapshot = TableSnapshot {
            asked_at: asked,
            ..TableSnapshot::default()
        };
        let delay = self.delay();
        let mut rows = vec![0, 1, 2];
        rows.shuffle(&mut self.random);
        self.schedule(delay, Event::ReadRow(p, rows, snapshot));
    }

    /// A scan reads row after row, in any order, and others write in between.
    fn read_row(&mut self, p: usize, mut rows: Vec<u8>, mut snapshot: TableSnapshot) {
        match rows.pop() {
            Some(0) => snapshot.configuration = self.rows.configuration.clone(),
            Some(1) => snapshot.members = self.rows.members.clone(),
            _ => snapshot.ownership = self.rows.ownership.clone(),
        }
        let event = match rows.is_empty() {
            false => Event::ReadRow(p, rows, snapshot),
            true if self.chance(3) => Event::Polled(p, None),
            true => Event::Polled(p, Some(snapshot)),
        };
        let delay = self.delay();
        self.schedule(delay, event);
    }

    fn end_poll(&mut self, p: usize, snapshot: Option<TableSnapshot>) {
        self.processes[p].polls -= 1;
        if let Some(snapshot) = snapshot {
            let now = self.local(p);
            self.processes[p].machine.read_table(now, snapshot);
        }
        self.tick(p);
    }

    /// A write may take effect long after its maker gave up waiting for the answer.
    fn commit(&mut self, p: usize, write: SharedWrite) {
        if self.no_table.contains(&self.processes[p].address) {
            self.schedule(300, Event::CommitEnded(p, 500));
            return;
        }
        let effect = self.delay();
        self.schedule(effect, Event::Apply(p, write));
        let answer = match self.chance(5) {
            true => self.random.random_range(1..1_000),
            false => effect + self.delay(),
        };
        self.schedule(answer, Event::CommitEnded(p, 30));
    }

    fn check_idle(&mut self, p: usize, resource: ResourceId) {
        if self.referee.is_idle(self.now, p, resource) {
            self.processes[p].machine.end_release(resource);
            self.tick(p);
        } else {
            self.schedule(100, Event::CheckIdle(p, resource));
        }
    }

    /// A part of the daemon looks, may be paused, and then acts.
    fn look(&mut self, p: usize) {
        self.schedule(40, Event::Look(p));
        let now = self.local(p);
        let in_force = self.processes[p].machine.in_force();
        for (resource, epoch) in self.processes[p].machine.held(now) {
            self.referee.look(self.now, p, resource, epoch.0, in_force);
            if self.chance(10) {
                let pause = self.random.random_range(0..30);
                let length = self.random.random_range(1..LONGEST_MS * 9 / 10);
                self.referee.begin(p, resource);
                self.schedule(pause, Event::Arrive(p, resource, epoch.0, length));
            }
        }
    }

    /// The document of a committed version comes from the table or from a peer.
    fn fetch(&mut self, p: usize) {
        let now = self.local(p);
        let process = &self.processes[p];
        let version = process.machine.newest_committed();
        if version <= process.machine.in_force() || process.installing >= version {
            return;
        }
        let address = process.address;
        let from_peer = process
            .machine
            .peer_with(version, now)
            .is_some_and(|peer| !self.cut.contains(&(address, peer.peer.port())));
        if from_peer || !self.no_table.contains(&address) {
            self.processes[p].installing = version;
            let delay = self.delay();
            self.schedule(delay, Event::Install(p, version));
        }
    }

    fn propose(&mut self) {
        let again = self.random.random_range(1_000..6_000);
        self.schedule(again, Event::Propose);
        let Some(p) = self.any_alive() else {
            return;
        };
        let now = self.local(p);
        let told = self.processes[p].machine.may_change(now);
        if (told || !self.guards.has(Guard::TellConfiguration))
            && let Some((_, write)) = self.processes[p].machine.begin_change(now)
        {
            self.commit(p, write);
        }
    }

    fn any_alive(&mut self) -> Option<usize> {
        let alive: Vec<usize> = self.listening.values().copied().collect();
        let index = self.random.random_range(0..alive.len().max(1));
        alive.get(index).copied()
    }

    fn chaos(&mut self) {
        let again = self.random.random_range(300..4_000);
        self.schedule(again, Event::Chaos);
        self.slow = self.chance(25);
        match self.random.random_range(0..15) {
            0..3 => self.crash(),
            3 => (0..SEATS).for_each(|_| self.crash()),
            4..6 => self.pause(),
            6..8 => self.split(),
            8 => self.cut.clear(),
            9 => {
                let addresses: Vec<u16> = self.listening.keys().copied().collect();
                let kept = addresses
                    .into_iter()
                    .filter(|_| self.random.random_bool(0.6));
                self.no_table = kept.collect();
            }
            10 => self.no_table.clear(),
            11 => self.isolate(),
            12..14 => {
                if let Some(p) = self.any_alive() {
                    self.processes[p].machine.leave();
                }
            }
            _ => {
                self.cut.clear();
                self.no_table.clear();
            }
        }
    }

    fn crash(&mut self) {
        if let Some(p) = self.any_alive() {
            self.end(p);
        }
    }

    /// Ends a process; another one starts at its address or elsewhere, sooner or later.
    fn end(&mut self, p: usize) {
        self.processes[p].alive = false;
        let address = self.processes[p].address;
        self.listening.swap_remove(&address);
        self.referee.die(self.now, p);
        let mut back = address;
        if self.chance(40) {
            self.next_address += 1;
            back = self.next_address;
        }
        let delay = self.random.random_range(10..8_000);
        self.schedule(delay, Event::Start(back));
    }

    fn pause(&mut self) {
        if let Some(p) = self.any_alive() {
            let length = self.random.random_range(100..8_000);
            self.processes[p].paused_until = self.now + length;
        }
    }

    /// One daemon keeps the table and loses all peers, the others keep each other.
    fn isolate(&mut self) {
        let Some(p) = self.any_alive() else {
            return;
        };
        let alone = self.processes[p].address;
        self.cut.clear();
        self.no_table.clear();
        for other in 1..=self.next_address {
            if other != alone {
                self.cut.insert((alone, other));
                self.cut.insert((other, alone));
                self.no_table.insert(other);
            }
        }
    }

    fn split(&mut self) {
        let addresses: Vec<u16> = self.listening.keys().copied().collect();
        let side: Vec<bool> = addresses
            .iter()
            .map(|_| self.random.random_bool(0.5))
            .collect();
        let one_way = self.random.random_bool(0.2);
        for (index, one) in addresses.iter().enumerate() {
            for (other_index, other) in addresses.iter().enumerate() {
                if side[index] && !side[other_index] {
                    self.cut.insert((*one, *other));
                    if !one_way {
                        self.cut.insert((*other, *one));
                    }
                }
            }
        }
    }
}

fn socket(address: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], address))
}
