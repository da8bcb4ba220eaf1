//! Daemons of the demonstration, and the balancer in front of them.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        PoisonError, //
        RwLock,
    },
    time::Duration,
};

use jasminebend_base::{
    DomainName,
    VmName, //
};
use tokio::time::sleep;

use crate::{
    DaemonSettings, DemoError, EntryDaemon, ListenSettings, PeerKeySource, SecretText,
    demo_environment::{
        DOMAINS,
        DemoEnvironment, //
    },
    demo_operator::DemoOperator,
};

const PEER_KEY: &str = "the demonstration's key; daemons in use read theirs from a file";
const SLOT_SHARES: u16 = 30;
const SHARDS: u16 = 3;
const SEATS: u8 = 3;
/// The time between two readiness checks of the balancer.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(200);
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The addresses of a daemon, and its readiness at the last check.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DaemonAddress {
    pub(crate) callers: SocketAddr,
    pub(crate) administration: SocketAddr,
    ready: bool,
}

/// Daemons of the demonstration.
pub(crate) struct DemoDaemons {
    seed: u64,
    /// The number of daemons started so far, used to name their VMs.
    started: u64,
    running: Vec<(VmName, EntryDaemon)>,
    pub(crate) balancer: DemoBalancer,
}

impl DemoDaemons {
    /// Starts a daemon in each failure domain, and waits until all are ready.
    pub(crate) async fn start(
        environment: &DemoEnvironment,
        operator: DemoOperator,
        seed: u64,
    ) -> Result<Self, DemoError> {
        let mut daemons = Self {
            seed,
            started: 0,
            running: Vec::new(),
            balancer: DemoBalancer::new(operator),
        };
        for domain in DOMAINS {
            daemons
                .start_daemon(environment, &DomainName::from(domain))
                .await?;
        }
        tokio::spawn(daemons.balancer.clone().watch());
        daemons.balancer.wait_ready(DOMAINS.len()).await?;
        Ok(daemons)
    }

    /// Starts a daemon on a new VM.
    pub(crate) async fn start_daemon(
        &mut self,
        environment: &DemoEnvironment,
        domain: &DomainName,
    ) -> Result<(), DemoError> {
        let name = VmName::from(format!("entry-{}", self.started));
        let ports = environment.ports(self.seed.wrapping_mul(1_000).wrapping_add(self.started));
        self.started += 1;
        environment.add_entry(&name, domain);
        let daemon = EntryDaemon::start(settings(&name, domain), ports).await?;
        self.balancer.add(&daemon);
        self.running.push((name, daemon));
        Ok(())
    }

    /// Kills the daemon that was started last, as if its VM was lost.
    pub(crate) fn kill_newest(&mut self, environment: &DemoEnvironment) {
        let Some((name, daemon)) = self.running.pop() else {
            return;
        };
        self.balancer.remove(daemon.caller_address());
        daemon.kill();
        environment.remove_entry(&name);
    }

    /// Stops every daemon gracefully.
    pub(crate) async fn stop(self) {
        for (_, daemon) in self.running {
            daemon.stop().await;
        }
    }
}

fn settings(name: &VmName, domain: &DomainName) -> DaemonSettings {
    let key = PeerKeySource::Text(SecretText::new(PEER_KEY));
    DaemonSettings::new(ListenSettings::new(), domain.clone(), key)
        .with_vm(name.clone())
        .with_seats(SEATS)
        .with_slot_shares(SLOT_SHARES)
        .with_shards(SHARDS)
        .with_balancer_lag(2 * READINESS_CHECK_INTERVAL)
}

/// The stand-in of the platform's balancer, which selects among the daemons whose readiness check succeeds.
#[derive(Clone)]
pub(crate) struct DemoBalancer {
    operator: DemoOperator,
    daemons: Arc<RwLock<Vec<DaemonAddress>>>,
}

impl DemoBalancer {
    fn new(operator: DemoOperator) -> Self {
        Self {
            operator,
            daemons: Arc::default(),
        }
    }

    /// Returns the ready daemons.
    pub(crate) fn ready(&self) -> Vec<DaemonAddress> {
        let daemons = self.daemons.read().unwrap_or_else(PoisonError::into_inner);
        daemons
            .iter()
            .filter(|daemon| daemon.ready)
            .copied()
            .collect()
    }

    /// Returns the ready daemon for the request with this number, in round-robin order; `None` if no daemon is ready.
    pub(crate) fn pick(&self, number: u64) -> Option<DaemonAddress> {
        let ready = self.ready();
        // CAST: the remainder is below the length.
        let index = number.checked_rem(ready.len() as u64)? as usize;
        ready.get(index).copied()
    }

    fn add(&self, daemon: &EntryDaemon) {
        let address = DaemonAddress {
            callers: daemon.caller_address(),
            administration: daemon.admin_address(),
            ready: false,
        };
        self.update(|daemons| daemons.push(address));
    }

    fn remove(&self, callers: SocketAddr) {
        self.update(|daemons| daemons.retain(|daemon| daemon.callers != callers));
    }

    /// Checks the daemons' readiness periodically, for ever.
    async fn watch(self) {
        loop {
            self.check_readiness().await;
            sleep(READINESS_CHECK_INTERVAL).await;
        }
    }

    async fn check_readiness(&self) {
        let known = self
            .daemons
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for daemon in known {
            let ready = self.operator.is_ready(daemon.administration).await;
            self.update(|daemons| {
                let same = |found: &&mut DaemonAddress| found.callers == daemon.callers;
                if let Some(found) = daemons.iter_mut().find(same) {
                    found.ready = ready;
                }
            });
        }
    }

    /// Waits until at least `number` daemons are ready.
    pub(crate) async fn wait_ready(&self, number: usize) -> Result<(), DemoError> {
        let attempts = READY_TIMEOUT.as_millis() / READINESS_CHECK_INTERVAL.as_millis();
        for _ in 0..attempts {
            if self.ready().len() >= number {
                return Ok(());
            }
            sleep(READINESS_CHECK_INTERVAL).await;
        }
        Err(DemoError::NotReady)
    }

    fn update<Update>(&self, update: Update)
    where
        Update: FnOnce(&mut Vec<DaemonAddress>),
    {
        update(&mut self.daemons.write().unwrap_or_else(PoisonError::into_inner));
    }
}
