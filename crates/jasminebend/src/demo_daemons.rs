//! The demonstration's daemons, and the balancer in front of them.

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
    demo_operator::DemoOperator,
    demo_site::{
        DOMAINS,
        DemoSite, //
    },
};

const PEER_KEY: &str = "the demonstration's key; daemons in use read theirs from a file";
const SLOT_SHARES: u16 = 30;
const SHARDS: u16 = 3;
const SEATS: u8 = 3;
const BALANCER_PERIOD: Duration = Duration::from_millis(200);
const LONGEST_START: Duration = Duration::from_secs(30);

/// Where callers and operators reach a daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DaemonAddress {
    pub(crate) callers: SocketAddr,
    pub(crate) administration: SocketAddr,
    ready: bool,
}

/// The demonstration's daemons.
pub(crate) struct DemoDaemons {
    seed: u64,
    started: u64,
    running: Vec<(VmName, EntryDaemon)>,
    pub(crate) balancer: DemoBalancer,
}

impl DemoDaemons {
    pub(crate) async fn start(
        site: &DemoSite,
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
            daemons.start_one(site, &DomainName::from(domain)).await?;
        }
        tokio::spawn(daemons.balancer.clone().watch());
        daemons.balancer.wait_ready(DOMAINS.len()).await?;
        Ok(daemons)
    }

    /// Starts a daemon on a VM of its own.
    pub(crate) async fn start_one(
        &mut self,
        site: &DemoSite,
        domain: &DomainName,
    ) -> Result<(), DemoError> {
        let name = VmName::from(format!("entry-{}", self.started));
        let edges = site.edges(self.seed.wrapping_mul(1_000).wrapping_add(self.started));
        self.started += 1;
        site.add_entry(&name, domain);
        let daemon = EntryDaemon::start(settings(&name, domain), edges).await?;
        self.balancer.add(&daemon);
        self.running.push((name, daemon));
        Ok(())
    }

    /// Ends the last daemon at once, as when its VM is lost.
    pub(crate) fn kill_one(&mut self, site: &DemoSite) {
        let Some((name, daemon)) = self.running.pop() else {
            return;
        };
        self.balancer.remove(daemon.caller_address());
        daemon.kill();
        site.remove_entry(&name);
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
        .with_balancer_lag(2 * BALANCER_PERIOD)
}

/// The stand-in of the platform's balancer: it sends callers to daemons that say they are ready.
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

    /// Returns a ready daemon for the call of this number.
    pub(crate) fn pick(&self, number: u64) -> Option<DaemonAddress> {
        let ready = self.ready();
        // CAST: the remainder is below the length.
        let place = number.checked_rem(ready.len() as u64)? as usize;
        ready.get(place).copied()
    }

    fn add(&self, daemon: &EntryDaemon) {
        let address = DaemonAddress {
            callers: daemon.caller_address(),
            administration: daemon.admin_address(),
            ready: false,
        };
        self.change(|daemons| daemons.push(address));
    }

    fn remove(&self, callers: SocketAddr) {
        self.change(|daemons| daemons.retain(|daemon| daemon.callers != callers));
    }

    async fn watch(self) {
        loop {
            self.look().await;
            sleep(BALANCER_PERIOD).await;
        }
    }

    async fn look(&self) {
        let known = self
            .daemons
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        for daemon in known {
            let ready = self.operator.ready(daemon.administration).await;
            self.change(|daemons| {
                let same = |found: &&mut DaemonAddress| found.callers == daemon.callers;
                if let Some(found) = daemons.iter_mut().find(same) {
                    found.ready = ready;
                }
            });
        }
    }

    pub(crate) async fn wait_ready(&self, number: usize) -> Result<(), DemoError> {
        let attempts = LONGEST_START.as_millis() / BALANCER_PERIOD.as_millis();
        for _ in 0..attempts {
            if self.ready().len() >= number {
                return Ok(());
            }
            sleep(BALANCER_PERIOD).await;
        }
        Err(DemoError::NotReady)
    }

    fn change<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut Vec<DaemonAddress>),
    {
        change(&mut self.daemons.write().unwrap_or_else(PoisonError::into_inner));
    }
}
