//! Daemons and workers that meet random troubles, several at a time. Time is simulated: it advances only while all tasks wait.

use std::{
    rc::Rc,
    time::Duration, //
};

use jasminebend_fleet::TOKENS_PER_TERM;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::{
    task::JoinHandle,
    time, //
};

use crate::test_fleet::{
    SuspendableMachine,
    TestDaemon,
    TestFleet,
    job,
    run_simulated,
    submit, //
};

const SEEDS: u64 = 40;
const WORKERS: usize = 4;
const ROUNDS: u64 = 12;
const STARTED_AFTER: Duration = Duration::from_secs(3);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Long enough for a second run of a task to be seen beside the first.
const RUN_TIME: Duration = Duration::from_millis(2500);
const ORDER_FAULT_PERCENT: u32 = 8;

/// The daemons of a fleet, with the machines that they run on.
struct TroubledFleet {
    fleet: Rc<TestFleet>,
    daemons: Vec<(TestDaemon, Rc<SuspendableMachine>)>,
    random: StdRng,
    suspensions: Vec<JoinHandle<()>>,
}

impl TroubledFleet {
    async fn start(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let fleet = Rc::new(TestFleet::with_runtime_clock(WORKERS));
        fleet.workers.run_time.set(RUN_TIME);
        let count = random.random_range(2..5);
        let daemons = (0..count).map(|_| fleet.suspendable_daemon()).collect();
        time::sleep(STARTED_AFTER).await;
        Self {
            fleet,
            daemons,
            random,
            suspensions: Vec::new(),
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    /// Returns the owner at most times, else any daemon.
    fn pick_daemon(&mut self) -> usize {
        let owner = self.fleet.store.owner().map(|owner| owner.node);
        let is_owner = |(daemon, _): &(TestDaemon, _)| owner.as_deref() == Some(daemon.node());
        let position = self.daemons.iter().position(is_owner);
        match position.filter(|_| self.chance(60)) {
            Some(position) => position,
            None => self.random.random_range(0..self.daemons.len()),
        }
    }

    /// Lets time pass, and checks that no task runs twice.
    async fn pass(&self, duration: Duration) {
        let end = time::Instant::now() + duration;
        while time::Instant::now() < end {
            self.fleet.workers.check_single_runs();
            time::sleep(CHECK_INTERVAL).await;
        }
    }

    async fn disturb(&mut self) {
        let daemon = self.pick_daemon();
        let worker = self.random.random_range(0..WORKERS);
        let id = format!("worker-{worker}");
        match self.random.random_range(0..9) {
            0 => self.suspend(daemon),
            1 => self.restart(daemon).await,
            2 => self.daemons[daemon].0.store_client.refuses_calls.set(true),
            3 => self.refuse_some_store_calls(),
            4 => self.cut_off_from_owner(&id),
            5 => self.fleet.workers.partition(&id),
            6 => self.unlist_some_workers(),
            7 => self.daemons[daemon].0.store_client.lost_answers.set(2),
            _ => self.fleet.workers.lose_connections(),
        }
    }

    fn suspend(&mut self, daemon: usize) {
        let machine = Rc::clone(&self.daemons[daemon].1);
        let duration = self.millis(300..9000);
        if machine.is_running() {
            self.suspensions.push(tokio::task::spawn_local(async move {
                machine.suspend_for(duration).await;
            }));
        }
    }

    /// Kills a daemon's process, and starts it again after a while.
    async fn restart(&mut self, daemon: usize) {
        if !self.daemons[daemon].1.is_running() {
            return;
        }
        let (daemon, _) = self.daemons.swap_remove(daemon);
        let killed = daemon.kill_process().await;
        let pause = self.millis(100..2500);
        self.pass(pause).await;
        let restarted = self.fleet.restart_suspendable(killed);
        self.daemons.push(restarted);
    }

    fn refuse_some_store_calls(&mut self) {
        for number in 0..self.daemons.len() {
            let is_refused = self.chance(33);
            let store_client = &self.daemons[number].0.store_client;
            store_client.refuses_calls.set(is_refused);
        }
    }

    /// Cuts a worker off from the owner, and from the next one at times.
    fn cut_off_from_owner(&mut self, id: &str) {
        let token = self.fleet.store.owner().map_or(0, |owner| owner.token);
        let ahead = self.random.random_range(0..2);
        self.fleet
            .workers
            .cut_off(id, token + ahead * TOKENS_PER_TERM);
    }

    fn unlist_some_workers(&mut self) {
        for worker in 0..WORKERS {
            let is_listed = !self.chance(40);
            self.fleet.store.set_listed(worker, is_listed);
        }
    }

    fn calm(&mut self) {
        for (daemon, _) in &self.daemons {
            daemon.store_client.refuses_calls.set(false);
        }
        for worker in 0..WORKERS {
            self.fleet.store.set_listed(worker, true);
        }
        self.fleet.workers.heal();
    }

    async fn submit(&mut self, number: u64) {
        let running = self
            .daemons
            .iter()
            .find(|(_, machine)| machine.is_running());
        let Some((daemon, _)) = running else {
            return;
        };
        let steps: [(u32, &[u16]); 2] = [(5, &[]), (3, &[0])];
        let graph = job(&steps);
        let submission = submit(&daemon.job_api, number, &graph);
        drop(time::timeout(Duration::from_secs(1), submission).await);
    }
}

/// Guards against tasks that run twice while troubles overlap: owners that are suspended, killed or without the store, workers that
/// some owners don't reach or that the registry drops, and orders that are lost or late.
#[test]
fn no_task_runs_twice_while_troubles_overlap() {
    let seeds = std::env::var("JASMINEBEND_TROUBLE_SEEDS").ok();
    let seeds = seeds.and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    for seed in 0..seeds {
        eprintln!("seed {seed}");
        run_simulated(async move {
            let mut fleet = TroubledFleet::start(seed).await;
            let percent = match fleet.chance(50) {
                true => ORDER_FAULT_PERCENT,
                false => 0,
            };
            fleet.fleet.workers.order_fault_percent.set(percent);
            for round in 0..ROUNDS {
                fleet.submit(round + 1).await;
                for _ in 0..fleet.random.random_range(1..4) {
                    fleet.disturb().await;
                    let pause = fleet.millis(50..2500);
                    fleet.pass(pause).await;
                }
                if fleet.chance(40) {
                    fleet.calm();
                    let pause = fleet.millis(100..4000);
                    fleet.pass(pause).await;
                }
            }
        });
    }
}
