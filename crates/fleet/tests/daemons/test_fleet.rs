//! Daemons in one process, with an in-memory store and in-memory workers into which tests inject faults.

#![expect(
    clippy::unwrap_used,
    reason = "a test's helpers panic as the test does"
)]

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    future::{
        self,
        Future, //
    },
    net::{
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
    sync::{
        LazyLock,
        Mutex, //
    },
    task::{
        Context,
        Poll,
        Waker, //
    },
    time::{
        Duration,
        SystemTime, //
    }, //
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{
    Request,
    Response, //
};
use http_body_util::Full;
use jasminebend_base::{
    DomainName,
    ResourceAmount, //
};
use jasminebend_dispatch::{
    DispatchSettings,
    JobGraph,
    JobKey,
    JobProgress,
    LeaseRenewal,
    OrderOutcome,
    OrderRefusal,
    RenewalReport,
    RunNumber,
    StartOrder,
    StepSpec,
    TaskKey, //
};
use jasminebend_fleet::{
    CallerAnswer,
    CallerRequest,
    CallerVerb,
    FleetDaemon,
    FleetLog,
    FleetPorts,
    FleetSettings,
    FleetStore,
    FleetVms,
    FleetWorkers,
    HttpHandler,
    HttpPool,
    IngressSettings,
    JobApi,
    MemberRecord,
    MemberSet,
    OrderReply,
    OwnerRecord,
    PeerAnswer,
    PeerRequest,
    RequestBody,
    SetMember,
    StoreRow,
    StoreTable,
    TOKENS_PER_TERM,
    WorkerAddress, //
};
use jasminebend_ingress::DescriptorShortage;
use jasminebend_ports::{
    ClockSource,
    SuspensionMeter,
    SystemClock, //
};
use jasminebend_standins::{
    CrashRule,
    PortBlock,
    SimulatedWorker,
    TaskWork, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use serde::Serialize;
use tokio::{
    runtime::Builder,
    sync::watch,
    task::{
        JoinHandle,
        LocalSet, //
    },
    time, //
};

use crate::memory_store::{
    MemoryStore,
    StoreClient, //
};

/// Runs a test on a runtime with simulated time, which advances only while all tasks wait.
pub(crate) fn run_simulated<Test>(test: Test)
where
    Test: Future<Output = ()>,
{
    let runtime = Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build();
    LocalSet::new().block_on(&runtime.unwrap(), test);
}

/// An order that a worker executes long after it was sent.
struct LateOrder {
    due: Duration,
    worker: String,
    act: Box<OrderAction>,
}

type OrderAction = dyn FnOnce(&mut SimulatedWorker, Duration) -> OrderOutcome;

/// In-memory workers, and the calls to them.
pub(crate) struct MemoryWorkers {
    clock: Rc<dyn ClockSource>,
    workers: RefCell<BTreeMap<String, SimulatedWorker>>,
    /// How long a run takes.
    pub(crate) run_time: Cell<Duration>,
    /// How many times all open connections went silent for good.
    connection_losses: Cell<u32>,
    /// The workers that no daemon can reach.
    partitioned: RefCell<BTreeSet<String>>,
    /// The workers that an owner can't reach, each with that owner's token.
    cut_off: RefCell<BTreeSet<(String, u64)>>,
    /// When each worker that has crashed restarts.
    restarts: RefCell<BTreeMap<String, Duration>>,
    /// How long an order is under way.
    pub(crate) order_latency: Cell<Duration>,
    /// The share of orders that are lost, late, or without an answer, in percent each.
    pub(crate) order_fault_percent: Cell<u32>,
    late_orders: RefCell<Vec<LateOrder>>,
    /// Decides which orders are affected.
    random: RefCell<StdRng>,
}

impl MemoryWorkers {
    /// Executes an order on a worker; the order or its answer may be lost, or the order may be late.
    async fn deliver_order(
        &self,
        worker: &WorkerAddress,
        act: impl FnOnce(&mut SimulatedWorker, Duration) -> OrderOutcome + 'static,
    ) -> OrderOutcome {
        if self.has_restarted(worker) {
            return RESTARTED;
        }
        time::sleep(self.order_latency.get()).await;
        let is_lost = self.is_affected();
        let is_late = self.is_affected();
        let is_unanswered = self.is_affected();
        let has_seen_token = |state: &mut SimulatedWorker, _| state.has_seen_token();
        if self.has_restarted(worker)
            && self.with_reachable_worker(worker, has_seen_token) != Some(true)
        {
            return UNANSWERED;
        }
        let mut answer = None;
        if is_late {
            let delay = self.random.borrow_mut().random_range(LATE_ORDER_DELAY_MS);
            self.late_orders.borrow_mut().push(LateOrder {
                due: self.now() + Duration::from_millis(delay),
                worker: worker.id.to_string(),
                act: Box::new(act),
            });
        } else if !is_lost {
            answer = self.with_reachable_worker(worker, act);
        }
        if is_lost || is_late || is_unanswered {
            time::sleep(ORDER_TIMEOUT).await;
            return UNANSWERED;
        }
        answer.unwrap_or(UNANSWERED)
    }

    /// Executes the late orders that are due, also on an incarnation for which they were not meant.
    fn deliver_late_orders(&self) {
        let now = self.now();
        let is_due = |order: &mut LateOrder| order.due <= now;
        let due: Vec<LateOrder> = self
            .late_orders
            .borrow_mut()
            .extract_if(.., is_due)
            .collect();
        for order in due {
            if !self.is_down(&order.worker) {
                self.with_worker(&order.worker, order.act);
            }
        }
    }

    fn is_affected(&self) -> bool {
        let percent = self.order_fault_percent.get();
        percent > 0 && self.random.borrow_mut().random_range(0..100) < percent
    }

    fn now(&self) -> Duration {
        self.clock.monotonic() + WORKER_HEAD_START
    }

    fn with_reachable_worker<Answer>(
        &self,
        address: &WorkerAddress,
        act: impl FnOnce(&mut SimulatedWorker, Duration) -> Answer,
    ) -> Option<Answer> {
        let id = address.id.as_ref();
        let is_cut_off = self.cut_off.borrow().iter().any(|(worker, owner_token)| {
            let tokens = owner_token.saturating_sub(TOKENS_PER_TERM) + 1..=*owner_token;
            worker == id && tokens.contains(&address.token)
        });
        match is_cut_off || self.partitioned.borrow().contains(id) || self.is_down(id) {
            true => None,
            false => self.with_worker(id, act),
        }
    }

    /// Returns whether a call reaches another incarnation than the one that it is meant for.
    fn has_restarted(&self, address: &WorkerAddress) -> bool {
        self.with_reachable_worker(address, |state, _| state.record().incarnation)
            .is_some_and(|incarnation| incarnation != address.incarnation)
    }

    /// Returns a worker's present incarnation.
    fn incarnation(&self, id: &str) -> Option<Duration> {
        self.with_worker(id, |state, _| state.record().incarnation)?
    }

    /// Returns whether a worker is down after a crash; restarts it once it was down for long enough.
    fn is_down(&self, id: &str) -> bool {
        let is_down = self.with_worker(id, |worker, now| {
            worker.advance_to(now);
            let mut restarts = self.restarts.borrow_mut();
            if worker.is_down() && now >= *restarts.entry(id.to_owned()).or_insert(now + DOWNTIME) {
                restarts.remove(id);
                worker.restart(now);
            }
            worker.is_down()
        });
        is_down == Some(true)
    }

    /// Lets some tasks crash the workers that execute them.
    pub(crate) fn set_crash_rule(&self, rule: CrashRule) {
        for worker in self.workers.borrow_mut().values_mut() {
            worker.set_crash_rule(rule);
        }
    }

    /// Calls `act` with a worker, also with one that no daemon can reach.
    pub(crate) fn with_worker<Answer>(
        &self,
        id: &str,
        act: impl FnOnce(&mut SimulatedWorker, Duration) -> Answer,
    ) -> Option<Answer> {
        let now = self.now();
        let mut workers = self.workers.borrow_mut();
        Some(act(workers.get_mut(id)?, now))
    }

    /// Returns how much longer a worker's lease lasts.
    pub(crate) fn lease(&self, id: &str) -> Duration {
        let lease = self.with_worker(id, |worker, now| {
            worker.lease_lapses_at().saturating_sub(now)
        });
        lease.unwrap_or_default()
    }

    /// Partitions a worker from all daemons.
    pub(crate) fn partition(&self, id: &str) {
        self.partitioned.borrow_mut().insert(id.to_owned());
    }

    /// Cuts a worker off from the owner with this token, the highest of its term, only.
    pub(crate) fn cut_off(&self, id: &str, owner_token: u64) {
        (self.cut_off.borrow_mut()).insert((id.to_owned(), owner_token));
    }

    /// Renews a worker's lease as the owner with this token would.
    pub(crate) fn renew(&self, id: &str, token: u64) {
        self.with_worker(id, |worker, now| {
            let order = LeaseRenewal {
                deadline: Some(now + Duration::from_secs(5)),
                acknowledged: 0,
                max_wait: Duration::ZERO,
            };
            worker.renew_lease(now, token, order).unwrap();
        });
    }

    /// Lets daemons reach all workers again.
    pub(crate) fn heal(&self) {
        self.partitioned.borrow_mut().clear();
        self.cut_off.borrow_mut().clear();
    }

    /// Lets all open connections go silent for good; new ones work.
    pub(crate) fn lose_connections(&self) {
        self.connection_losses.set(self.connection_losses.get() + 1);
    }

    fn renew_now(
        &self,
        worker: &WorkerAddress,
        order: LeaseRenewal,
    ) -> Result<RenewalReport, OrderOutcome> {
        let report = self.with_reachable_worker(worker, |state, now| {
            state.renew_lease(now, worker.token, order)
        });
        report.unwrap_or(Err(UNANSWERED))
    }

    async fn wait_for_end(&self, worker: &WorkerAddress, order: &LeaseRenewal) {
        // Without a deadline the order reads the report and renews nothing.
        let report_request = LeaseRenewal {
            deadline: None,
            ..*order
        };
        let until = time::Instant::now() + order.max_wait;
        let nothing_ended = || {
            self.renew_now(worker, report_request)
                .is_ok_and(|seen| seen.completions.is_empty())
        };
        while time::Instant::now() < until && nothing_ended() {
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the tasks that are executed, each with its worker.
    pub(crate) fn running_tasks(&self) -> Vec<(String, TaskKey)> {
        self.deliver_late_orders();
        let now = self.now();
        let mut workers = self.workers.borrow_mut();
        let running = workers.iter_mut().flat_map(|(id, worker)| {
            worker.advance_to(now);
            let tasks = worker.running_tasks().into_iter();
            tasks.map(|task| (id.clone(), task))
        });
        running.collect()
    }

    /// Returns whether a worker executes nothing.
    pub(crate) fn is_idle(&self, id: &str) -> bool {
        self.running_tasks().iter().all(|(worker, _)| worker != id)
    }

    /// Checks that no task is executed on two workers.
    pub(crate) fn check_single_runs(&self) {
        let mut tasks: Vec<TaskKey> = Vec::new();
        for (worker, task) in self.running_tasks() {
            assert!(
                !tasks.contains(&task),
                "{task} runs twice, also on {worker}"
            );
            tasks.push(task);
        }
    }

    /// Returns how many runs all workers have started.
    pub(crate) fn started_runs(&self) -> usize {
        let workers = self.workers.borrow();
        let events = workers.values().flat_map(|worker| worker.events());
        events
            .filter(|(_, event)| matches!(event, jasminebend_standins::WorkerEvent::Started(..)))
            .count()
    }
}

/// How long a worker is down after a crash.
const DOWNTIME: Duration = Duration::from_secs(2);
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// The network latency of a lease renewal.
const RENEWAL_LATENCY: Duration = Duration::from_millis(20);
/// The interval at which a worker that is to answer a renewal checks for a run that has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a daemon waits for the answer to a renewal, beyond the renewal's own wait.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(700);
/// By how much an order may be late, in milliseconds.
const LATE_ORDER_DELAY_MS: std::ops::Range<u64> = 500..9000;
/// How long a daemon waits for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// The outcome of a call to a worker that is partitioned or does not exist.
const UNANSWERED: OrderOutcome = OrderOutcome::Unknown;
/// The outcome of a call that was not sent, as another incarnation listens.
const RESTARTED: OrderOutcome = OrderOutcome::Refused(OrderRefusal::Restarted);

#[async_trait(?Send)]
impl FleetWorkers for MemoryWorkers {
    async fn renew_lease(
        &self,
        worker: &WorkerAddress,
        order: LeaseRenewal,
    ) -> Result<RenewalReport, OrderOutcome> {
        let connection_losses = self.connection_losses.get();
        let timeout = time::Instant::now() + order.max_wait + RENEWAL_TIMEOUT;
        time::sleep(RENEWAL_LATENCY).await;
        let mut answer = Err(OrderOutcome::Unknown);
        if self.connection_losses.get() == connection_losses {
            if !order.is_read_only() && self.has_restarted(worker) {
                return Err(RESTARTED);
            }
            // The lease is renewed before the wait.
            drop(self.renew_now(worker, order));
            let incarnation = self.incarnation(&worker.id);
            self.wait_for_end(worker, &order).await;
            if self.incarnation(&worker.id) != incarnation {
                // The connection ended with the incarnation.
                return Err(UNANSWERED);
            }
            answer = self.renew_now(worker, order);
        }
        if self.connection_losses.get() != connection_losses {
            time::sleep_until(timeout).await;
            return Err(OrderOutcome::Unknown);
        }
        answer
    }

    async fn start(
        &self,
        worker: &WorkerAddress,
        order: &StartOrder,
        deadline: Duration,
    ) -> OrderReply {
        time::sleep(Duration::from_millis(1)).await;
        let work = TaskWork {
            run_time: self.run_time.get(),
            fails: false,
            size: ResourceAmount::new(1000, 100),
        };
        let (token, order) = (worker.token, order.clone());
        self.deliver_order(worker, move |state, now| {
            state.start(now, token, &order, deadline, work)
        })
        .await
        .into()
    }

    async fn stop(&self, worker: &WorkerAddress, task: TaskKey, run: RunNumber) -> OrderReply {
        let token = worker.token;
        self.deliver_order(worker, move |state, now| state.stop(now, token, task, run))
            .await
            .into()
    }

    async fn throttle(
        &self,
        worker: &WorkerAddress,
        _task: TaskKey,
        _run: RunNumber,
        _percent: u32,
    ) -> OrderReply {
        match self.has_restarted(worker) {
            true => RESTARTED.into(),
            false => OrderOutcome::Taken.into(),
        }
    }

    fn close_idle_connections(&self, _address: &str) {}
}

/// A running daemon.
pub(crate) struct TestDaemon {
    pub(crate) job_api: Rc<JobApi>,
    pub(crate) store_client: Rc<StoreClient>,
    node: String,
    peers: SocketAddr,
    stop: watch::Sender<bool>,
    running: JoinHandle<()>,
    /// Runs all tasks of a daemon that can be lost with its VM.
    process: Option<JoinHandle<()>>,
}

impl TestDaemon {
    /// Ends the daemon as a loss of power would.
    pub(crate) fn kill(&self) {
        self.store_client.refuses_calls.set(true);
        self.running.abort();
    }

    /// Ends the daemon as the loss of its VM would: it neither acts nor answers any more, and connections to it hang for as
    /// long as the returned listener exists.
    pub(crate) async fn lose_vm(self) -> TcpListener {
        let process = self.process.expect("it can be lost");
        process.abort();
        drop(process.await);
        TcpListener::bind(self.peers).unwrap()
    }

    /// Ends the daemon as the end of its process would: connections to it are refused.
    pub(crate) async fn kill_process(self) -> KilledDaemon {
        let process = self.process.expect("it can be lost");
        process.abort();
        drop(process.await);
        KilledDaemon {
            node: self.node,
            peers: self.peers,
        }
    }

    /// Returns the daemon's name.
    pub(crate) fn node(&self) -> &str {
        &self.node
    }

    /// Returns the daemon's address for other daemons.
    pub(crate) fn peer_address(&self) -> SocketAddr {
        self.peers
    }

    /// Probes the daemon as the owner with this token would, and returns the token that it reports.
    pub(crate) async fn known_token(&self, token: u64) -> u64 {
        let body = postcard::to_stdvec(&PeerRequest::Probe { token }).unwrap();
        let request = Request::post("/peer").header("host", "daemon");
        let request = request.body(Full::new(Bytes::from(body))).unwrap();
        let address = self.peers.to_string();
        let pool = HttpPool::new();
        let reply = pool.call(&address, request, PROBE_TIMEOUT).await.unwrap();
        match postcard::from_bytes(&reply.body).unwrap() {
            PeerAnswer::Health(health) => health.known_token,
            answer => panic!("{answer:?}"),
        }
    }

    pub(crate) async fn stop(self) {
        self.stop.send_replace(true);
        self.running.await.unwrap();
    }
}

/// A daemon whose process was killed.
pub(crate) struct KilledDaemon {
    node: String,
    peers: SocketAddr,
}

/// Daemons that share a store and workers.
pub(crate) struct TestFleet {
    pub(crate) store: Rc<MemoryStore>,
    pub(crate) workers: Rc<MemoryWorkers>,
    /// The platform's VMs for the daemons started from now on.
    pub(crate) vms: RefCell<Option<Rc<dyn FleetVms>>>,
    /// The log of the daemons started from now on.
    pub(crate) log: RefCell<FleetLog>,
    clock: Rc<dyn ClockSource>,
    count: Cell<u32>,
    started_at: time::Instant,
}

impl TestFleet {
    pub(crate) fn new(workers: usize) -> Self {
        Self::with_clock(workers, Rc::new(SystemClock::new()))
    }

    /// Creates a fleet with the runtime's clock, which may be simulated.
    pub(crate) fn with_runtime_clock(workers: usize) -> Self {
        Self::with_clock(workers, Rc::new(RuntimeClock(time::Instant::now())))
    }

    fn with_clock(workers: usize, clock: Rc<dyn ClockSource>) -> Self {
        let run_time = Duration::from_millis(150);
        let wall = clock.wall().duration_since(SystemTime::UNIX_EPOCH);
        let wall_origin = wall.unwrap() - clock.monotonic() - WORKER_HEAD_START;
        let mut all = BTreeMap::new();
        for number in 0..workers {
            let id = format!("worker-{number}");
            let capacity = ResourceAmount::new(4000, 4000);
            let mut worker = SimulatedWorker::new(&id, capacity, 98, Duration::from_secs(1));
            worker.set_wall_origin(wall_origin);
            all.insert(id.clone(), worker);
        }
        let listed = all.values().map(|worker| worker.record().clone()).collect();
        Self {
            store: Rc::new(MemoryStore::new(listed)),
            workers: Rc::new(MemoryWorkers {
                clock: Rc::clone(&clock),
                workers: RefCell::new(all),
                run_time: Cell::new(run_time),
                connection_losses: Cell::new(0),
                partitioned: RefCell::default(),
                cut_off: RefCell::default(),
                order_latency: Cell::default(),
                restarts: RefCell::default(),
                order_fault_percent: Cell::new(0),
                late_orders: RefCell::default(),
                random: RefCell::new(StdRng::seed_from_u64(0)),
            }),
            vms: RefCell::default(),
            log: RefCell::new(FleetLog::discarding("test")),
            clock,
            count: Cell::new(0),
            started_at: time::Instant::now(),
        }
    }

    /// Makes an unreachable daemon the owner, with so many members that no daemon of the test takes over soon.
    pub(crate) fn set_unreachable_owner(&self) {
        let address = free_address();
        self.set_owner(address, EARLIER_CLAIMANTS);
        let members = (0..EARLIER_CLAIMANTS).map(|number| SetMember {
            node: format!("member-{number}"),
            address: address.to_string(),
        });
        let set = MemberSet {
            members: members.collect(),
            witnesses: Vec::new(),
            settled_token: 1,
        };
        self.store
            .write(vec![row(StoreTable::Fleet, "s0", "member-set", &set)]);
    }

    /// Makes a daemon at `address` the owner, with `members` members that claim the ownership before a daemon of the
    /// test.
    pub(crate) fn set_owner(&self, address: SocketAddr, members: u32) {
        let owner = OwnerRecord {
            node: "elsewhere".to_owned(),
            incarnation: 1,
            address: address.to_string(),
            token: 1,
            vacant: false,
        };
        self.store
            .write(vec![row(StoreTable::Fleet, "s0", "owner", &owner)]);
        self.enroll(address, members);
    }

    /// Lets an owner with this token have given up the ownership before it wrote a set of members.
    pub(crate) fn set_vacant_owner(&self, token: u64) {
        let owner = OwnerRecord {
            node: "elsewhere".to_owned(),
            incarnation: 1,
            address: free_address().to_string(),
            token,
            vacant: true,
        };
        self.store
            .write(vec![row(StoreTable::Fleet, "s0", "owner", &owner)]);
    }

    /// Enrolls members that all have the same address.
    pub(crate) fn enroll(&self, address: SocketAddr, members: u32) {
        let rows = (0..members).map(|number| {
            let member = MemberRecord {
                node: format!("member-{number}"),
                incarnation: 1,
                address: address.to_string(),
                cpu_millis: 1000,
            };
            row(StoreTable::Fleet, "members", &member.node, &member)
        });
        self.store.write(rows.collect());
    }

    /// Writes the row of a member's former incarnation, which had another address.
    pub(crate) fn enroll_former_incarnation(&self, node: &str) {
        self.enroll_as(node, free_address());
    }

    /// Writes the row of a member with this name and address.
    pub(crate) fn enroll_as(&self, node: &str, address: SocketAddr) {
        let member = MemberRecord {
            node: node.to_owned(),
            incarnation: 1,
            address: address.to_string(),
            cpu_millis: 1000,
        };
        self.store
            .write(vec![row(StoreTable::Fleet, "members", node, &member)]);
    }

    /// Starts a daemon.
    pub(crate) fn daemon(&self) -> TestDaemon {
        self.start_daemon(None, None, None)
    }

    /// Starts a daemon that can be lost with its VM.
    pub(crate) fn daemon_on_vm(&self) -> TestDaemon {
        self.start_daemon(Some(LocalSet::new()), None, None)
    }

    /// Starts a killed daemon again.
    pub(crate) fn restart(&self, killed: KilledDaemon) -> TestDaemon {
        self.start_daemon(Some(LocalSet::new()), Some(killed), None)
    }

    /// Starts a daemon whose machine can be suspended.
    pub(crate) fn suspendable_daemon(&self) -> (TestDaemon, Rc<SuspendableMachine>) {
        self.start_on_suspendable_machine(None)
    }

    /// Starts a killed daemon again, on a machine that can be suspended.
    pub(crate) fn restart_suspendable(
        &self,
        killed: KilledDaemon,
    ) -> (TestDaemon, Rc<SuspendableMachine>) {
        self.start_on_suspendable_machine(Some(killed))
    }

    fn start_on_suspendable_machine(
        &self,
        killed: Option<KilledDaemon>,
    ) -> (TestDaemon, Rc<SuspendableMachine>) {
        let machine = Rc::new(SuspendableMachine::new(self.started_at));
        let tasks = Some(LocalSet::new());
        let daemon = self.start_daemon(tasks, killed, Some(Rc::clone(&machine)));
        (daemon, machine)
    }

    fn start_daemon(
        &self,
        tasks: Option<LocalSet>,
        killed: Option<KilledDaemon>,
        machine: Option<Rc<SuspendableMachine>>,
    ) -> TestDaemon {
        self.count.set(self.count.get() + 1);
        let killed = killed.unwrap_or_else(|| KilledDaemon {
            node: format!("daemon-{}", self.count.get()),
            peers: free_address(),
        });
        let settings = FleetSettings {
            node: killed.node,
            domain: DomainName::from("domain-a"),
            caller_address: free_address(),
            readiness_address: free_address(),
            peer_address: killed.peers,
            metrics_address: free_address(),
            cpu_millis: 100,
            stop_timeout: Duration::from_secs(4),
            maintenance_lease: Duration::from_secs(1),
            ingress: IngressSettings::for_process(256 << 20, 4096),
            dispatch: DispatchSettings::default(),
        };
        let node = settings.node.clone();
        let peers = settings.peer_address;
        let store_client = Rc::new(StoreClient::new(Rc::clone(&self.store)));
        let ports = FleetPorts {
            clock: match &machine {
                Some(machine) => Rc::clone(machine) as Rc<dyn ClockSource>,
                None => Rc::clone(&self.clock),
            },
            store: Rc::clone(&store_client) as Rc<dyn FleetStore>,
            workers: Rc::clone(&self.workers) as Rc<dyn FleetWorkers>,
            advice: None,
            vms: self.vms.borrow().clone(),
            pool: Rc::new(HttpPool::new()),
            shortage: DescriptorShortage::default(),
            log: self.log.borrow().clone(),
        };
        let (stop, stopping) = watch::channel(false);
        let daemon = FleetDaemon::new(settings, ports, stopping);
        let job_api = daemon.job_api();
        let running = async move {
            daemon
                .run(Rc::new(EmptyResponder), Rc::new(EmptyResponder))
                .await
                .unwrap();
        };
        let running = match &tasks {
            Some(tasks) => tasks.spawn_local(running),
            None => tokio::task::spawn_local(running),
        };
        TestDaemon {
            job_api,
            store_client,
            node,
            peers,
            stop,
            running,
            process: tasks.map(|tasks| match machine {
                Some(machine) => tokio::task::spawn_local(run_on(machine, tasks)),
                None => tokio::task::spawn_local(tasks),
            }),
        }
    }
}

/// How long before the daemons the workers booted.
const WORKER_HEAD_START: Duration = Duration::from_secs(10);
/// The number of members that claim the ownership before a daemon of the test.
const EARLIER_CLAIMANTS: u32 = 500;

/// The runtime's clock, which is simulated on a runtime that was started paused.
struct RuntimeClock(time::Instant);

impl ClockSource for RuntimeClock {
    fn monotonic(&self) -> Duration {
        self.0.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000_000) + self.0.elapsed()
    }
}

/// A machine that can be suspended. Its steady clock stops meanwhile.
pub(crate) struct SuspendableMachine {
    booted_at: time::Instant,
    suspensions: SuspensionMeter,
    state: Mutex<SuspensionState>,
}

#[derive(Default)]
struct SuspensionState {
    suspended_at: Option<time::Instant>,
    suspended_for: Duration,
    waker: Option<Waker>,
}

impl SuspendableMachine {
    fn new(booted_at: time::Instant) -> Self {
        Self {
            booted_at,
            suspensions: SuspensionMeter::new(Duration::ZERO, Duration::ZERO),
            state: Mutex::default(),
        }
    }

    /// Suspends the machine for this long.
    pub(crate) async fn suspend_for(&self, duration: Duration) {
        self.state.lock().unwrap().suspended_at = Some(time::Instant::now());
        time::sleep(duration).await;
        let mut state = self.state.lock().unwrap();
        state.suspended_at = None;
        state.suspended_for += duration;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Returns whether the machine is not suspended.
    pub(crate) fn is_running(&self) -> bool {
        self.state.lock().unwrap().suspended_at.is_none()
    }

    /// Returns whether the machine is suspended; wakes the caller when it resumes.
    fn is_suspended(&self, context: &Context<'_>) -> bool {
        let mut state = self.state.lock().unwrap();
        state.waker = Some(context.waker().clone());
        state.suspended_at.is_some()
    }
}

impl ClockSource for SuspendableMachine {
    fn monotonic(&self) -> Duration {
        let since_boot = self.booted_at.elapsed();
        let steady = since_boot.saturating_sub(self.state.lock().unwrap().suspended_for);
        steady + self.suspensions.suspended_time(since_boot, steady)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000_000) + self.booted_at.elapsed()
    }
}

/// Runs a daemon's tasks while its machine is not suspended.
async fn run_on(machine: Rc<SuspendableMachine>, tasks: LocalSet) {
    let mut tasks = Box::pin(tasks);
    future::poll_fn(|context| match machine.is_suspended(context) {
        true => Poll::Pending,
        false => tasks.as_mut().poll(context),
    })
    .await;
}

fn row<Record>(table: StoreTable, part: &str, key: &str, record: &Record) -> StoreRow
where
    Record: Serialize,
{
    StoreRow::new(table, part, key, postcard::to_stdvec(record).unwrap())
}

/// Answers every request with an empty body; the tests call the daemon's caller API directly.
struct EmptyResponder;

#[async_trait(?Send)]
impl HttpHandler for EmptyResponder {
    async fn handle(&self, _request: Request<RequestBody>) -> Response<Full<Bytes>> {
        Response::new(Full::new(Bytes::new()))
    }
}

/// Returns a job with these steps: the number of tasks, and the indices of the steps that come before.
pub(crate) fn job(steps: &[(u32, &[u16])]) -> JobGraph {
    let steps = steps.iter().map(|(count, after)| StepSpec {
        count: *count,
        size: ResourceAmount::new(1000, 100),
        estimate: Duration::from_millis(150),
        dependencies: after.to_vec(),
        ..StepSpec::default()
    });
    JobGraph {
        payload: "payload".into(),
        steps: steps.collect(),
        schedule: None,
    }
}

pub(crate) async fn send_request(job_api: &JobApi, number: u64, verb: CallerVerb) -> CallerAnswer {
    let call = CallerRequest {
        host: "host".to_owned(),
        path: format!("/queue/{}", JobKey::new(number)),
        verb,
    };
    job_api.answer(call).await
}

pub(crate) async fn count_waiting(job_api: &JobApi, path: &str) -> CallerAnswer {
    let call = CallerRequest {
        host: "host".to_owned(),
        path: path.to_owned(),
        verb: CallerVerb::Read,
    };
    job_api.answer(call).await
}

/// Submits a job, with retries until it is accepted.
pub(crate) async fn submit(job_api: &JobApi, number: u64, graph: &JobGraph) {
    for _ in 0..200 {
        let verb = CallerVerb::Submit(graph.clone());
        if send_request(job_api, number, verb).await == CallerAnswer::Done {
            return;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the job was never taken");
}

/// Reads a job's progress until it is the expected one.
pub(crate) async fn wait_for_progress(job_api: &JobApi, number: u64, wanted: JobProgress) {
    let mut last = CallerAnswer::NoJob;
    for _ in 0..400 {
        last = send_request(job_api, number, CallerVerb::Read).await;
        if last == CallerAnswer::Progress(wanted) {
            return;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    panic!("job {number} is at {last:?}, not at {wanted:?}");
}

/// Returns an address that nothing listens on, a different one for each call in the process.
pub(crate) fn free_address() -> SocketAddr {
    static PORTS: LazyLock<PortBlock> = LazyLock::new(|| PortBlock::new().unwrap());
    PORTS.address().unwrap()
}
