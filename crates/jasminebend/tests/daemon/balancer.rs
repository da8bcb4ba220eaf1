//! A test balancer, and callers that use it.

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
        send_order, //
    },
    program::RunningProgram, //
};

const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The delay of a caller before each request.
const REQUEST_DELAY: Duration = Duration::from_millis(5);

/// The number of orders by outcome.
pub(crate) type OrderCounts = IndexMap<CallerOutcome, usize>;

/// A round-robin balancer over the daemons that were ready at its last check.
pub(crate) struct TestBalancer {
    /// The caller and administration addresses of all daemons.
    daemons: Mutex<Vec<(SocketAddr, SocketAddr)>>,
    /// The caller addresses of the ready daemons.
    ready: Mutex<Vec<SocketAddr>>,
    next: AtomicUsize,
}

impl TestBalancer {
    pub(crate) fn new() -> Self {
        Self {
            daemons: Mutex::default(),
            ready: Mutex::default(),
            next: AtomicUsize::new(0),
        }
    }

    /// Sets the daemons.
    pub(crate) fn set_daemons(&self, programs: &[RunningProgram]) {
        let addresses = programs.iter().map(|one| (one.callers, one.admin));
        *self.daemons.lock().expect("a list") = addresses.collect();
    }

    /// Returns the caller address of the next ready daemon; `None` if none is ready.
    fn pick(&self) -> Option<SocketAddr> {
        let ready = self.ready.lock().expect("a list");
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        ready.get(index % ready.len().max(1)).copied()
    }

    /// Checks which daemons are ready.
    pub(crate) async fn check_readiness(&self) {
        let daemons = self.daemons.lock().expect("a list").clone();
        let mut ready = Vec::new();
        for (callers, admin) in daemons {
            if is_ready(admin).await {
                ready.push(callers);
            }
        }
        *self.ready.lock().expect("a list") = ready;
    }
}

/// Concurrent callers that send orders one after another through a balancer.
pub(crate) struct TestLoad {
    stop: Arc<AtomicBool>,
    readiness_checks: JoinHandle<()>,
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
            readiness_checks: tokio::spawn(check_readiness_until_stopped(
                balancer,
                Arc::clone(&stop),
            )),
            callers: orders,
            stop,
        }
    }

    /// Stops the callers after their current orders, and returns the counts of all.
    pub(crate) async fn finish(self) -> OrderCounts {
        self.stop.store(true, Ordering::Relaxed);
        self.readiness_checks.await.expect("an end");
        let mut total = OrderCounts::new();
        for counts in self.callers.join_all().await {
            for (outcome, count) in counts {
                *total.entry(outcome).or_default() += count;
            }
        }
        total
    }
}

async fn check_readiness_until_stopped(balancer: Arc<TestBalancer>, stop: Arc<AtomicBool>) {
    while !stop.load(Ordering::Relaxed) {
        balancer.check_readiness().await;
        sleep(READINESS_CHECK_INTERVAL).await;
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
        sleep(REQUEST_DELAY).await;
        let Some(daemon) = balancer.pick() else {
            continue;
        };
        let outcome = send_order(daemon, &format!("order-{caller}-{number}")).await;
        *counts.entry(outcome).or_default() += 1;
        number += 1;
    }
    counts
}
