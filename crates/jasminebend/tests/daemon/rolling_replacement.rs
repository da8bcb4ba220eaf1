//! Every entry VM is replaced, one after another, while callers order.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use indexmap::IndexMap;
use tokio::{
    task::{
        JoinSet,
        spawn_blocking, //
    },
    time::sleep, //
};

use crate::{
    caller::{
        CallerOutcome,
        configure,
        is_ready,
        order,
        until,
        wait_until_served, //
    },
    platform::{
        TestPlatform,
        configuration, //
    },
    program::RunningProgram, //
};

const DAEMONS: u8 = 3;
const ENDPOINTS: u32 = 6;
const CALLERS: usize = 6;
const LOOK: Duration = Duration::from_millis(50);
const LINES: &str = "drain:\n  balancer_lag: 400ms\n";

/// What a daemon logs when it takes another one for gone: never of one that runs, or that left.
const GONE: &str = "is gone";

/// A balancer that sends each request to the next daemon of those that were ready at its last look.
struct TestBalancer {
    listed: Mutex<Vec<(SocketAddr, SocketAddr)>>,
    ready: Mutex<Vec<SocketAddr>>,
    next: AtomicUsize,
}

impl TestBalancer {
    fn new() -> Self {
        Self {
            listed: Mutex::default(),
            ready: Mutex::default(),
            next: AtomicUsize::new(0),
        }
    }

    fn list(&self, programs: &[RunningProgram]) {
        let addresses = programs.iter().map(|one| (one.callers, one.admin));
        *self.listed.lock().expect("a list") = addresses.collect();
    }

    fn pick(&self) -> Option<SocketAddr> {
        let ready = self.ready.lock().expect("a list");
        let place = self.next.fetch_add(1, Ordering::Relaxed);
        ready.get(place % ready.len().max(1)).copied()
    }

    async fn look(&self) {
        let listed = self.listed.lock().expect("a list").clone();
        let mut ready = Vec::new();
        for (callers, admin) in listed {
            if is_ready(admin).await {
                ready.push(callers);
            }
        }
        *self.ready.lock().expect("a list") = ready;
    }
}

async fn look_again(balancer: Arc<TestBalancer>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        balancer.look().await;
        sleep(LOOK).await;
    }
}

async fn send_orders(
    balancer: Arc<TestBalancer>,
    caller: usize,
    stop: Arc<AtomicBool>,
) -> IndexMap<CallerOutcome, usize> {
    let mut counts = IndexMap::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        sleep(Duration::from_millis(5)).await;
        let Some(daemon) = balancer.pick() else {
            continue;
        };
        let outcome = order(daemon, &format!("order-{caller}-{number}")).await;
        *counts.entry(outcome).or_insert(0) += 1;
        number += 1;
    }
    counts
}

/// Operators roll out a new image: each entry VM is stopped and another started in its place, while
/// the balancer sends shoppers to those that are ready. No order may be cut off, lost or run twice,
/// and the slots must move from the old daemons to the new ones without ever being used twice.
#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_daemon_loses_no_order() {
    let platform = TestPlatform::start_with(Duration::from_millis(5), ENDPOINTS).await;
    let settings = platform.settings_file_of(DAEMONS, LINES);
    let mut programs = Vec::new();
    for _ in 0..DAEMONS {
        programs.push(RunningProgram::start(&settings));
    }
    configure(programs[0].admin, &configuration()).await;
    for program in &programs {
        wait_until_served(program.callers, "first").await;
    }
    let balancer = Arc::new(TestBalancer::new());
    balancer.list(&programs);
    balancer.look().await;
    let stop = Arc::new(AtomicBool::new(false));
    let looking = tokio::spawn(look_again(Arc::clone(&balancer), Arc::clone(&stop)));
    let mut load = JoinSet::new();
    for caller in 0..CALLERS {
        load.spawn(send_orders(
            Arc::clone(&balancer),
            caller,
            Arc::clone(&stop),
        ));
    }
    for _ in 0..DAEMONS {
        let old = programs.remove(0);
        old.terminate();
        let (code, log) = spawn_blocking(move || old.wait()).await.expect("an end");
        assert_eq!(code, Some(0), "{log:#?}");
        assert!(!log.iter().any(|line| line.contains(GONE)), "{log:#?}");
        programs.push(RunningProgram::start(&settings));
        balancer.list(&programs);
        let newest = programs.last().expect("a program").admin;
        until("a replaced daemon ready", async || is_ready(newest).await).await;
    }
    stop.store(true, Ordering::Relaxed);
    looking.await.expect("an end");
    let mut total: IndexMap<CallerOutcome, usize> = IndexMap::new();
    for counts in load.join_all().await {
        for (outcome, count) in counts {
            *total.entry(outcome).or_default() += count;
        }
    }
    println!("{total:?}");
    assert!(!programs.iter().any(|program| program.has_logged(GONE)));
    assert_eq!(total.get(&CallerOutcome::Lost), None, "{total:?}");
    assert_eq!(total.get(&CallerOutcome::NoConnection), None, "{total:?}");
    assert!(total[&CallerOutcome::Whole] > 100, "{total:?}");
    assert!(platform.ledger.repeated().is_empty());
    assert_eq!(platform.ledger.over_slots(), 0);
}
