//! A balancer, and callers behind it.

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
        JoinHandle,
        JoinSet, //
    },
    time::sleep, //
};

use crate::{
    caller::{
        CallerOutcome,
        is_ready,
        order, //
    },
    program::RunningProgram, //
};

const LOOK: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_millis(5);

/// What became of the orders, and how many of each.
pub(crate) type OrderCounts = IndexMap<CallerOutcome, usize>;

/// A balancer that sends each request to the next daemon of those that were ready at its last look.
pub(crate) struct TestBalancer {
    listed: Mutex<Vec<(SocketAddr, SocketAddr)>>,
    ready: Mutex<Vec<SocketAddr>>,
    next: AtomicUsize,
}

impl TestBalancer {
    pub(crate) fn new() -> Self {
        Self {
            listed: Mutex::default(),
            ready: Mutex::default(),
            next: AtomicUsize::new(0),
        }
    }

    /// Lists the daemons that there are.
    pub(crate) fn list(&self, programs: &[RunningProgram]) {
        let addresses = programs.iter().map(|one| (one.callers, one.admin));
        *self.listed.lock().expect("a list") = addresses.collect();
    }

    fn pick(&self) -> Option<SocketAddr> {
        let ready = self.ready.lock().expect("a list");
        let place = self.next.fetch_add(1, Ordering::Relaxed);
        ready.get(place % ready.len().max(1)).copied()
    }

    /// Looks at which are ready.
    pub(crate) async fn look(&self) {
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

/// Callers that send orders one after another through a balancer.
pub(crate) struct TestLoad {
    stop: Arc<AtomicBool>,
    looking: JoinHandle<()>,
    callers: JoinSet<OrderCounts>,
}

impl TestLoad {
    pub(crate) fn start(balancer: Arc<TestBalancer>, callers: usize) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let mut orders = JoinSet::new();
        for caller in 0..callers {
            orders.spawn(send_orders(
                Arc::clone(&balancer),
                caller,
                Arc::clone(&stop),
            ));
        }
        Self {
            looking: tokio::spawn(look_again(balancer, Arc::clone(&stop))),
            callers: orders,
            stop,
        }
    }

    /// Lets every caller end its last order, and counts what became of all.
    pub(crate) async fn finish(self) -> OrderCounts {
        self.stop.store(true, Ordering::Relaxed);
        self.looking.await.expect("an end");
        let mut total = OrderCounts::new();
        for counts in self.callers.join_all().await {
            for (outcome, count) in counts {
                *total.entry(outcome).or_default() += count;
            }
        }
        total
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
) -> OrderCounts {
    let mut counts = OrderCounts::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        sleep(PAUSE).await;
        let Some(daemon) = balancer.pick() else {
            continue;
        };
        let outcome = order(daemon, &format!("order-{caller}-{number}")).await;
        *counts.entry(outcome).or_default() += 1;
        number += 1;
    }
    counts
}
