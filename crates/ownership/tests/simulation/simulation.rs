//! A discrete-event simulation around the state machine: daemons with drifting clocks that pause
//! and terminate, a network that delays, loses, duplicates and reorders messages, and a table whose
//! answers get lost. A seed determines the whole simulation.

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
    invariant_checker::{
        InvariantChecker,
        Violation, //
    },
    shared_table::SharedTable, //
};

pub(crate) const SEAT_COUNT: u8 = 5;
const SLOT_SHARE_COUNT: u16 = 4;
const SHARD_COUNT: u16 = 2;

/// The longest duration of a request to an endpoint.
pub(crate) const LONGEST_REQUEST_MS: u64 = 4_000;

/// How long the simulation injects failures.
const FAILURE_PHASE_MS: u64 = 60_000;

/// How long the simulation runs without failures at its end, until all daemons must have recovered.
const RECOVERY_PHASE_MS: u64 = 45_000;

/// An event of the simulation. Most carry the index of the process that they concern.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The periodic tick of a process.
    Tick(usize),
    /// A poll reads the next of its remaining rows into its snapshot.
    ReadNextRow(usize, Vec<u8>, TableSnapshot),
    /// A poll returns its snapshot, or fails.
    PollCompleted(usize, Option<TableSnapshot>),
    /// A write takes effect in the table.
    ApplyWrite(usize, SharedWrite),
    /// A process receives the answer to its write or gives up waiting; it then pauses its writes
    /// for this many milliseconds.
    CommitEnded(usize, u64),
    /// A message arrives at an address.
    DeliverMessage(SocketAddr, PeerMessage),
    /// A probe shows that a process has terminated.
    ProbeRefused(usize, HolderId),
    /// A process checks whether a resource that it releases has become idle.
    CheckRelease(usize, ResourceId),
    /// A process uses the resources that it may act on.
    UseResources(usize),
    /// A request for a resource, with its epoch and duration in milliseconds, reaches an endpoint.
    RequestArrival(usize, ResourceId, u64, u64),
    /// A process has fetched the document of a configuration version.
    InstallConfiguration(usize, u64),
    /// A process begins a configuration change.
    ProposeConfiguration,
    /// A failure begins or ends.
    InjectFailure,
    /// A new process starts at an address.
    StartProcess(u16),
}

impl Event {
    /// Returns the process that handles the event, which must be alive and not paused; `None` for
    /// events of the network, the table and the simulation itself.
    fn process(&self) -> Option<usize> {
        match self {
            Self::Tick(pid)
            | Self::PollCompleted(pid, _)
            | Self::CommitEnded(pid, _)
            | Self::ProbeRefused(pid, _)
            | Self::CheckRelease(pid, _)
            | Self::UseResources(pid)
            | Self::RequestArrival(pid, ..)
            | Self::InstallConfiguration(pid, _) => Some(*pid),
            _ => None,
        }
    }
}

pub(crate) struct Process {
    pub(crate) machine: MemberMachine,
    pub(crate) address: u16,
    /// The time on the process's clock at the start of the simulation.
    pub(crate) clock_offset: Duration,
    /// The speed of the process's clock; 1.0 is exact.
    pub(crate) clock_rate: f64,
    pub(crate) alive: bool,
    /// Until when the process handles no events, in milliseconds.
    pub(crate) paused_until_ms: u64,
    /// How many polls are in progress.
    pub(crate) polls_in_progress: u8,
    /// When the next regular poll starts, in milliseconds.
    pub(crate) next_poll_at_ms: u64,
    /// The configuration version that is being fetched; zero if none is.
    pub(crate) fetching_version: u64,
}

pub(crate) struct Simulation {
    pub(crate) guards: GuardSet,
    pub(crate) rng: StdRng,
    /// The simulated time, in milliseconds.
    pub(crate) now_ms: u64,
    /// How many events were scheduled; orders events that are due at the same time.
    pub(crate) next_event_order: u64,
    /// The pending events: due time, order, and index in `events`.
    pub(crate) queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pub(crate) events: Vec<Option<Event>>,
    pub(crate) processes: Vec<Process>,
    /// The process that listens at each address.
    pub(crate) process_by_address: IndexMap<u16, usize>,
    pub(crate) table: SharedTable,
    /// The links that lose all messages: sender's and recipient's address.
    pub(crate) blocked_links: IndexSet<(u16, u16)>,
    /// The addresses from which the table is unreachable.
    pub(crate) without_table: IndexSet<u16>,
    pub(crate) invariant_checker: InvariantChecker,
    pub(crate) next_address: u16,
    /// Whether half of all delays are long.
    pub(crate) slow_network: bool,
    /// Whether the phase of failures is over.
    pub(crate) failures_ended: bool,
    /// Whether clocks drift by up to 10 % instead of 1 %, with a larger drift margin in the
    /// settings.
    pub(crate) high_clock_drift: bool,
}

/// Runs one simulation, and returns the first violation if there is one.
pub(crate) fn run_simulation(seed: u64, guards: GuardSet) -> Result<InvariantChecker, Violation> {
    let mut simulation = Simulation::new(seed, guards);
    simulation.run_until(FAILURE_PHASE_MS)?;
    simulation.end_failures();
    simulation.run_until(FAILURE_PHASE_MS + RECOVERY_PHASE_MS)?;
    simulation.check_recovered()?;
    Ok(simulation.invariant_checker)
}

impl Simulation {
    fn new(seed: u64, guards: GuardSet) -> Self {
        let mut simulation = Self {
            guards,
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            next_event_order: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            processes: Vec::new(),
            process_by_address: IndexMap::new(),
            table: SharedTable::default(),
            blocked_links: IndexSet::new(),
            without_table: IndexSet::new(),
            invariant_checker: InvariantChecker::default(),
            next_address: u16::from(SEAT_COUNT) + 1,
            slow_network: false,
            failures_ended: false,
            high_clock_drift: seed % 2 == 1,
        };
        for address in 1..=u16::from(SEAT_COUNT) {
            let at = simulation.rng.random_range(0..1_500);
            simulation.schedule(at, Event::StartProcess(address));
        }
        simulation.schedule(3_000, Event::InjectFailure);
        simulation.schedule(2_500, Event::ProposeConfiguration);
        simulation
    }

    fn run_until(&mut self, end: u64) -> Result<(), Violation> {
        while self.now_ms < end {
            self.handle_next_event();
            if let Some(violation) = self.invariant_checker.violation.take() {
                return Err(violation);
            }
        }
        Ok(())
    }

    /// Ends all failures and injects no further ones.
    fn end_failures(&mut self) {
        self.failures_ended = true;
        self.slow_network = false;
        self.blocked_links.clear();
        self.without_table.clear();
    }

    /// Checks that every daemon works again by the newest configuration, and that every resource is
    /// held.
    fn check_recovered(&self) -> Result<(), Violation> {
        let version = self.table.configuration.row.version;
        let mut held = 0;
        for (address, pid) in &self.process_by_address {
            let machine = &self.processes[*pid].machine;
            let ready = machine.may_start(self.local_time(*pid)) && machine.in_force() == version;
            if !ready {
                return Err(Violation::NotRecovered { address: *address });
            }
            held += machine.held(self.local_time(*pid)).len();
        }
        match held == usize::from(SLOT_SHARE_COUNT + SHARD_COUNT) {
            true => Ok(()),
            false => Err(Violation::ResourcesUnheld { held }),
        }
    }

    /// Schedules an event after a delay in milliseconds.
    pub(crate) fn schedule(&mut self, delay: u64, event: Event) {
        self.next_event_order += 1;
        self.events.push(Some(event));
        let key = (
            self.now_ms + delay,
            self.next_event_order,
            self.events.len() - 1,
        );
        self.queue.push(Reverse(key));
    }

    /// Returns true with a probability in percent.
    pub(crate) fn chance_percent(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Handles the next event. An event of a paused process is postponed, one of a terminated
    /// process dropped.
    fn handle_next_event(&mut self) {
        let Some(Reverse((at, _, index))) = self.queue.pop() else {
            self.now_ms = FAILURE_PHASE_MS + RECOVERY_PHASE_MS;
            return;
        };
        self.now_ms = at;
        let Some(event) = self.events[index].take() else {
            return;
        };
        if let Some(pid) = event.process() {
            if !self.processes[pid].alive {
                return;
            }
            let resume_at_ms = self.processes[pid].paused_until_ms;
            if resume_at_ms > self.now_ms {
                let delay = resume_at_ms - self.now_ms;
                self.schedule(delay, event);
                return;
            }
        }
        self.handle(event);
    }

    /// Returns the time on a process's clock.
    pub(crate) fn local_time(&self, pid: usize) -> Duration {
        let process = &self.processes[pid];
        process.clock_offset + Duration::from_millis(self.now_ms).mul_f64(process.clock_rate)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StartProcess(address) => self.start_process(address),
            Event::Tick(pid) => {
                self.schedule(100, Event::Tick(pid));
                self.start_poll_if_due(pid, false);
                self.tick_process(pid);
                if self.processes[pid].machine.has_left() {
                    self.end_process(pid);
                }
            }
            Event::ReadNextRow(pid, rows, snapshot) => self.read_next_row(pid, rows, snapshot),
            Event::PollCompleted(pid, snapshot) => self.complete_poll(pid, snapshot),
            Event::ApplyWrite(pid, write) => {
                let committed = self.table.apply(&write);
                if let (true, Some(header)) = (committed, &write.configuration) {
                    self.invariant_checker
                        .record_commit(self.now_ms, header.row.version);
                }
                let _ = pid;
            }
            Event::CommitEnded(pid, pause) => {
                let now = self.local_time(pid);
                let pause = Duration::from_millis(pause);
                self.processes[pid].machine.end_commit(now, pause);
                self.tick_process(pid);
            }
            Event::DeliverMessage(to, message) => self.deliver_message(to, message),
            Event::ProbeRefused(pid, holder) => self.processes[pid].machine.observe_gone(holder),
            Event::CheckRelease(pid, resource) => self.check_release(pid, resource),
            Event::UseResources(pid) => self.use_resources(pid),
            Event::RequestArrival(pid, resource, epoch, length) => {
                let now = self.now_ms;
                self.invariant_checker.record_request_arrival(
                    now,
                    pid,
                    resource,
                    epoch,
                    now + length,
                );
            }
            Event::InstallConfiguration(pid, version) => {
                self.processes[pid].machine.install_configuration(version);
                self.processes[pid].fetching_version = 0;
            }
            Event::ProposeConfiguration if !self.failures_ended => self.propose_configuration(),
            Event::InjectFailure if !self.failures_ended => self.inject_failure(),
            Event::ProposeConfiguration | Event::InjectFailure => (),
        }
    }

    fn start_process(&mut self, address: u16) {
        if self.process_by_address.contains_key(&address) {
            return;
        }
        let pid = self.processes.len();
        let mut settings = OwnershipSettings::new(SEAT_COUNT, SLOT_SHARE_COUNT, SHARD_COUNT)
            .with_guards(self.guards);
        settings.longest_request = Duration::from_millis(LONGEST_REQUEST_MS);
        settings.eviction_retry_delay = Duration::from_secs(5);
        let mut drift = 0.01;
        if self.high_clock_drift {
            drift = 0.1;
            settings.drift_permille = 220;
        }
        let daemon = DaemonRecord {
            nonce: 1_000 + pid as u64,
            peer: socket_address(address),
            admin: None,
            domain: "east".into(),
            vm: None,
        };
        let process = Process {
            machine: MemberMachine::new(settings, daemon),
            address,
            clock_offset: Duration::from_secs(self.rng.random_range(0..1_000)),
            clock_rate: self.rng.random_range(1.0 - drift..1.0 + drift),
            alive: true,
            paused_until_ms: 0,
            polls_in_progress: 0,
            next_poll_at_ms: 0,
            fetching_version: 0,
        };
        self.processes.push(process);
        self.process_by_address.insert(address, pid);
        self.schedule(1, Event::Tick(pid));
        self.schedule(50, Event::UseResources(pid));
    }

    pub(crate) fn tick_process(&mut self, pid: usize) {
        self.fetch_configuration(pid);
        let now = self.local_time(pid);
        let actions = self.processes[pid].machine.tick(now);
        self.execute_actions(pid, actions);
    }

    pub(crate) fn execute_actions(&mut self, pid: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send_message(pid, to, message),
                MemberAction::Commit(write) => self.start_commit(pid, write),
                MemberAction::Poll => self.start_poll_if_due(pid, true),
                MemberAction::Probe { holder, address } => self.probe_process(pid, holder, address),
                MemberAction::Release(resource) => {
                    self.schedule(1, Event::CheckRelease(pid, resource))
                }
            }
        }
    }

    /// Completes a release once the process has no request on the resource in progress; checks
    /// again later otherwise.
    fn check_release(&mut self, pid: usize, resource: ResourceId) {
        if self
            .invariant_checker
            .has_no_request(self.now_ms, pid, resource)
        {
            self.processes[pid].machine.end_release(resource);
            self.tick_process(pid);
        } else {
            self.schedule(100, Event::CheckRelease(pid, resource));
        }
    }

    /// Uses the resources that the daemon may act on. A request begins after this check, and may be
    /// sent later because the daemon is paused in between.
    fn use_resources(&mut self, pid: usize) {
        self.schedule(40, Event::UseResources(pid));
        let now = self.local_time(pid);
        let in_force = self.processes[pid].machine.in_force();
        for (resource, epoch) in self.processes[pid].machine.held(now) {
            self.invariant_checker
                .check_use(self.now_ms, pid, resource, epoch.0, in_force);
            if self.chance_percent(10) {
                let pause = self.rng.random_range(0..30);
                let length = self.rng.random_range(1..LONGEST_REQUEST_MS * 9 / 10);
                self.invariant_checker.record_request_begun(pid, resource);
                self.schedule(pause, Event::RequestArrival(pid, resource, epoch.0, length));
            }
        }
    }

    /// Fetches the document of a committed configuration version from a peer or from the table, if
    /// there is a newer one.
    fn fetch_configuration(&mut self, pid: usize) {
        let now = self.local_time(pid);
        let process = &self.processes[pid];
        let version = process.machine.newest_committed();
        if version <= process.machine.in_force() || process.fetching_version >= version {
            return;
        }
        let address = process.address;
        let from_peer = process
            .machine
            .peer_with(version, now)
            .is_some_and(|peer| !self.blocked_links.contains(&(address, peer.peer.port())));
        if from_peer || !self.without_table.contains(&address) {
            self.processes[pid].fetching_version = version;
            let delay = self.random_delay_ms();
            self.schedule(delay, Event::InstallConfiguration(pid, version));
        }
    }

    /// Lets a random daemon begin a configuration change, and schedules the next one.
    fn propose_configuration(&mut self) {
        let again = self.rng.random_range(1_000..6_000);
        self.schedule(again, Event::ProposeConfiguration);
        let Some(pid) = self.random_alive_process() else {
            return;
        };
        let now = self.local_time(pid);
        let majority_reachable = self.processes[pid].machine.may_change(now);
        if (majority_reachable || !self.guards.is_enabled(Guard::NotifyConfigurationMajority))
            && let Some((_, write)) = self.processes[pid].machine.begin_change(now)
        {
            self.start_commit(pid, write);
        }
    }
}

fn socket_address(address: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], address))
}
