//! Daemons that are lost for good, and replaced by others. Time is simulated: it advances only while all tasks wait.

use std::{
    net::TcpListener,
    time::Duration, //
};

use jasminebend_dispatch::{
    JobOutcome,
    JobProgress, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::time;

use crate::test_fleet::{
    TestDaemon,
    TestFleet,
    job,
    run_simulated,
    submit,
    wait_for_progress, //
};

const COMPLETED: JobProgress = JobProgress::Ended(JobOutcome::Completed);
const LOST_WORKER: &str = "worker-0";
/// The pause between two losses.
const LOSS_INTERVAL: Duration = Duration::from_secs(6);
/// How long after a loss another daemon is started.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// Within this time a lost owner is replaced.
const TAKEN_OVER_AFTER: Duration = Duration::from_secs(4);

/// How long after its end a killed daemon is restarted.
const SOON_RESTARTED_AFTER: Duration = Duration::from_millis(200);

const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const RANDOM_SEEDS: u64 = 60;
const RANDOM_ROUNDS: u64 = 5;
/// Long enough for a second run of a task to be seen beside the first.
const LONG_RUN_TIME: Duration = Duration::from_millis(1200);
/// After this time the tasks of a lost worker run elsewhere.
const RESUMED_AFTER: Duration = Duration::from_secs(15);

/// The daemons of a fleet, and the addresses of those that were lost, at which connections hang.
struct LossyFleet {
    fleet: TestFleet,
    daemons: Vec<TestDaemon>,
    hanging: Vec<TcpListener>,
}

impl LossyFleet {
    async fn start(count: usize) -> Self {
        let fleet = TestFleet::with_runtime_clock(2);
        let daemons = (0..count).map(|_| fleet.daemon_on_vm()).collect();
        time::sleep(LOSS_INTERVAL).await;
        Self {
            fleet,
            daemons,
            hanging: Vec::new(),
        }
    }

    fn owner(&self) -> usize {
        let owner = self.fleet.store.owner().map(|owner| owner.node);
        let is_owner = |daemon: &TestDaemon| owner.as_deref() == Some(daemon.node());
        self.daemons.iter().position(is_owner).unwrap_or(0)
    }

    /// Loses the daemon with this number for good.
    async fn lose(&mut self, number: usize) {
        let daemon = self.daemons.swap_remove(number);
        self.hanging.push(daemon.lose_vm().await);
    }

    /// Loses the owner for good, and starts another daemon.
    async fn replace_owner(&mut self) {
        self.lose(self.owner()).await;
        time::sleep(REPLACED_AFTER).await;
        self.daemons.push(self.fleet.daemon_on_vm());
    }

    /// Kills the owner's process, and restarts it after `restarted_after`, if at all. A worker is lost at the same time, on which a
    /// task runs; returns how long it takes until that task runs elsewhere.
    async fn resumption_after_kill(&mut self, restarted_after: Option<Duration>) -> Duration {
        self.fleet.workers.run_time.set(Duration::MAX);
        self.submit(1).await;
        time::sleep(TAKEN_OVER_AFTER).await;
        let runs = self.fleet.workers.started_runs();
        self.fleet.workers.partition(LOST_WORKER);
        let killed_at = time::Instant::now();
        let owner = self.daemons.swap_remove(self.owner());
        let mut killed = Some(owner.kill_process().await);
        while self.fleet.workers.started_runs() == runs {
            time::sleep(CHECK_INTERVAL).await;
            let is_due = restarted_after.is_some_and(|after| killed_at.elapsed() >= after);
            if let Some(killed) = killed.take_if(|_| is_due) {
                self.daemons.push(self.fleet.restart(killed));
            }
        }
        killed_at.elapsed()
    }

    /// Lets time pass, and checks that no task runs twice.
    async fn pass(&self, duration: Duration) {
        let end = time::Instant::now() + duration;
        while time::Instant::now() < end {
            self.fleet.workers.check_single_runs();
            time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Loses some daemons for good, the owner among them, turns a daemon away from the store, and starts other daemons.
    async fn disturb(&mut self, random: &mut StdRng) {
        let count = random.random_range(1..=self.daemons.len());
        for _ in 0..count {
            let is_owner = random.random_range(0..4) > 0;
            let number = match is_owner {
                true => self.owner(),
                false => random.random_range(0..self.daemons.len()),
            };
            self.lose(number).await;
        }
        for daemon in &self.daemons {
            let is_refused = random.random_range(0..3) == 0;
            daemon.store_client.refuses_calls.set(is_refused);
        }
        let pause = Duration::from_millis(random.random_range(200..3000));
        self.pass(pause).await;
        for _ in 0..count {
            self.daemons.push(self.fleet.daemon_on_vm());
        }
    }

    /// Submits a job, with more tasks than a worker runs at a time, to the daemon that was started last.
    async fn submit(&self, number: u64) {
        let daemon = self.daemons.last().expect("a daemon");
        submit(&daemon.job_api, number, &job(&[(6, &[])])).await;
    }

    async fn wait_until_completed(&self, number: u64) {
        let daemon = self.daemons.last().expect("a daemon");
        wait_for_progress(&daemon.job_api, number, COMPLETED).await;
    }
}

/// Guards against jobs that stand still for good: more daemons had been replaced than there were, and the successor waited
/// for the answers of half of them before it gave up a worker that was lost with the owner.
#[test]
fn jobs_run_after_more_daemons_were_replaced_than_there_are() {
    run_simulated(async {
        let mut fleet = LossyFleet::start(3).await;
        for _ in 0..4 {
            fleet.replace_owner().await;
            time::sleep(LOSS_INTERVAL.saturating_sub(REPLACED_AFTER)).await;
        }
        fleet.fleet.workers.partition(LOST_WORKER);
        fleet.submit(1).await;
        fleet.replace_owner().await;
        fleet.submit(2).await;
        fleet.wait_until_completed(1).await;
        fleet.wait_until_completed(2).await;
    });
}

/// Guards against jobs that stand still for good, and tasks that run twice, after any series of daemons that were replaced.
#[test]
fn jobs_run_after_daemons_were_replaced_at_random() {
    for seed in 0..RANDOM_SEEDS {
        run_simulated(async move {
            let mut random = StdRng::seed_from_u64(seed);
            let mut fleet = LossyFleet::start(random.random_range(2..5)).await;
            fleet.fleet.workers.run_time.set(LONG_RUN_TIME);
            for number in 1..RANDOM_ROUNDS {
                fleet.disturb(&mut random).await;
                let pause = Duration::from_millis(random.random_range(0..5000));
                fleet.pass(pause).await;
                fleet.submit(number).await;
            }
            fleet.fleet.workers.partition(LOST_WORKER);
            fleet.disturb(&mut random).await;
            for daemon in &fleet.daemons {
                daemon.store_client.refuses_calls.set(false);
            }
            fleet.pass(RESUMED_AFTER).await;
            for number in 1..RANDOM_ROUNDS {
                eprintln!("seed {seed}: waiting for job {number}");
                fleet.wait_until_completed(number).await;
            }
        });
    }
}

/// Guards against jobs that stand still for good: the owner and most other daemons were lost at once, together with a worker.
#[test]
fn jobs_run_after_most_daemons_were_lost_at_once() {
    run_simulated(async {
        let mut fleet = LossyFleet::start(5).await;
        fleet.fleet.workers.partition(LOST_WORKER);
        fleet.submit(1).await;
        for _ in 0..4 {
            fleet.lose(fleet.owner()).await;
        }
        time::sleep(TAKEN_OVER_AFTER).await;
        fleet.submit(2).await;
        fleet.wait_until_completed(1).await;
        fleet.wait_until_completed(2).await;
    });
}

/// Guards against jobs that stand still for good: all daemons were lost at once, so that their successor can tell none of
/// those by which the former owner counts.
#[test]
fn jobs_run_after_all_daemons_were_lost_at_once() {
    run_simulated(async {
        let mut fleet = LossyFleet::start(3).await;
        fleet.fleet.workers.partition(LOST_WORKER);
        fleet.submit(1).await;
        for _ in 0..3 {
            fleet.lose(fleet.owner()).await;
        }
        fleet.daemons.push(fleet.fleet.daemon_on_vm());
        time::sleep(TAKEN_OVER_AFTER).await;
        fleet.submit(2).await;
        fleet.wait_until_completed(1).await;
        fleet.wait_until_completed(2).await;
    });
}

/// Guards against a wait that is longer than it has to be: a killed owner that answers as another incarnation has ended, although
/// the refusal of connections before that did not show it.
#[test]
fn a_restarted_owner_ends_the_wait_for_its_orders() {
    run_simulated(async {
        let mut resumed_after = Vec::new();
        for restarted_after in [Some(SOON_RESTARTED_AFTER), None] {
            let mut fleet = LossyFleet::start(3).await;
            resumed_after.push(fleet.resumption_after_kill(restarted_after).await);
        }
        let saved = resumed_after[1].saturating_sub(resumed_after[0]);
        assert!(saved > Duration::from_secs(1), "{resumed_after:?}");
    });
}
