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
    rngs::StdRng, //
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

pub(crate) struct Process {
    pub(crate) machine: MemberMachine,
    pub(crate) address: u16,
    pub(crate) offset: Duration,
    pub(crate) rate: f64,
    pub(crate) alive: bool,
    pub(crate) paused_until: u64,
    pub(crate) polls: u8,
    pub(crate) poll_due: u64,
    pub(crate) installing: u64,
}

pub(crate) struct World {
    pub(crate) guards: GuardSet,
    pub(crate) random: StdRng,
    pub(crate) now: u64,
    pub(crate) order: u64,
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pub(crate) events: Vec<Option<Event>>,
    pub(crate) processes: Vec<Process>,
    /// By address: the process that listens there.
    pub(crate) listening: IndexMap<u16, usize>,
    pub(crate) rows: Rows,
    pub(crate) cut: IndexSet<(u16, u16)>,
    pub(crate) no_table: IndexSet<u16>,
    pub(crate) referee: Referee,
    pub(crate) next_address: u16,
    pub(crate) slow: bool,
    pub(crate) healed: bool,
    pub(crate) fast_drift: bool,
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

    pub(crate) fn schedule(&mut self, delay: u64, event: Event) {
        self.order += 1;
        self.events.push(Some(event));
        let key = (self.now + delay, self.order, self.events.len() - 1);
        self.queue.push(Reverse(key));
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
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

    pub(crate) fn local(&self, p: usize) -> Duration {
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
        settings.eviction_retry_delay = Duration::from_secs(5);
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

    pub(crate) fn tick(&mut self, p: usize) {
        self.fetch(p);
        let now = self.local(p);
        let actions = self.processes[p].machine.tick(now);
        self.carry_out(p, actions);
    }

    pub(crate) fn carry_out(&mut self, p: usize, actions: Vec<MemberAction>) {
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
        if (told || !self.guards.has(Guard::NotifyConfigurationMajority))
            && let Some((_, write)) = self.processes[p].machine.begin_change(now)
        {
            self.commit(p, write);
        }
    }
}

fn socket(address: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], address))
}
