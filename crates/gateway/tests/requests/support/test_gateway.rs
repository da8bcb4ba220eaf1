//! [`TestGateway`]: a gateway with scripted endpoints.

use std::{
    net::SocketAddr,
    ops::Range,
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    ClassKind,
    ClassTarget,
    Configuration,
    DomainState,
    EndpointRecord,
    FailureDomain,
    IdempotencyRule,
    OwnerEpoch,
    ResourceId,
    RouteRule,
    ServiceClass,
    VmRecord,
    VmSnapshot,
    VmState, //
};
use jasminebend_gateway::{
    Gateway,
    GatewayPorts,
    GatewaySettings, //
};
use jasminebend_ports::{
    ClockSource,
    OwnershipView,
    SystemClock, //
};
use jasminebend_standins::{
    FixedOwnership,
    TableStandIn, //
};
use tokio::{
    net::TcpListener,
    sync::watch,
    task::JoinHandle,
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    Reply,
    ScriptedEndpoint,
    caller::send_request, //
};

/// The number of slot shares into which the slots of an endpoint are divided.
pub(crate) const SHARE_COUNT: u16 = 16;

/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a condition may take to become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Builds the gateway of a daemon in the failure domain `east` that holds all shares.
pub(crate) struct GatewayBuilder {
    settings: GatewaySettings,
    vms: Vec<VmRecord>,
    shares: Range<u16>,
    target: Duration,
    rule: IdempotencyRule,
    table: TableStandIn,
    clock: Arc<dyn ClockSource>,
    /// Whether the address of the gateway is published to the other daemons.
    announces_peer_address: bool,
}

impl GatewayBuilder {
    pub(crate) fn new() -> Self {
        Self {
            settings: GatewaySettings::new("east".into(), SHARE_COUNT),
            vms: Vec::new(),
            shares: 0..SHARE_COUNT,
            target: Duration::from_secs(10),
            rule: IdempotencyRule::ByMethod,
            table: TableStandIn::new(),
            clock: Arc::new(SystemClock::new()),
            announces_peer_address: false,
        }
    }

    /// Publishes the address of the gateway to the other daemons.
    pub(crate) fn with_peer_address(mut self) -> Self {
        self.announces_peer_address = true;
        self
    }

    pub(crate) fn with_clock(mut self, clock: Arc<dyn ClockSource>) -> Self {
        self.clock = clock;
        self
    }

    /// Adds an endpoint with this many slots in the failure domain `east`.
    pub(crate) fn with_endpoint(self, endpoint: &ScriptedEndpoint, slots: u16) -> Self {
        self.with_endpoint_in(endpoint.address, slots, "east")
    }

    pub(crate) fn with_endpoint_in(
        mut self,
        address: SocketAddr,
        slots: u16,
        domain: &str,
    ) -> Self {
        self.vms.push(VmRecord {
            name: format!("vm-{}", self.vms.len()).as_str().into(),
            incarnation: 1,
            domain: domain.into(),
            state: VmState::Live,
            executor: Some(EndpointRecord {
                service: "booking".into(),
                address,
                slots,
                connections: slots * 8,
            }),
            worker: None,
        });
        self
    }

    pub(crate) fn with_settings<Change>(mut self, change: Change) -> Self
    where
        Change: FnOnce(GatewaySettings) -> GatewaySettings,
    {
        self.settings = change(self.settings);
        self
    }

    pub(crate) fn with_shares(mut self, shares: Range<u16>) -> Self {
        self.shares = shares;
        self
    }

    pub(crate) fn with_target(mut self, target: Duration) -> Self {
        self.target = target;
        self
    }

    pub(crate) fn with_idempotency_rule(mut self, rule: IdempotencyRule) -> Self {
        self.rule = rule;
        self
    }

    pub(crate) fn with_table(mut self, table: &TableStandIn) -> Self {
        self.table = table.clone();
        self
    }

    pub(crate) async fn start(self) -> TestGateway {
        let ownership = Arc::new(FixedOwnership::new());
        for share in self.shares {
            ownership.set_owned(ResourceId::Slots(share), OwnerEpoch(1), Duration::ZERO);
        }
        let configuration = watch::Sender::new(Arc::new(configuration(self.target, self.rule)));
        let vms = watch::Sender::new(Arc::new(VmSnapshot {
            revision: 1,
            vms: self.vms,
        }));
        let ports = GatewayPorts {
            ownership: ownership.clone(),
            configuration: configuration.subscribe(),
            vms: vms.subscribe(),
            table: Arc::new(self.table.clone()),
            clock: self.clock,
            seed: 7,
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let settings = match self.announces_peer_address {
            true => self.settings.with_peer_address(address),
            false => self.settings,
        };
        let gateway = Gateway::new(settings, ports);
        let serving = tokio::spawn(Arc::clone(&gateway).serve(listener));
        TestGateway {
            address,
            gateway,
            ownership,
            configuration,
            vms,
            table: self.table,
            serving,
        }
    }
}

fn configuration(target: Duration, idempotency: IdempotencyRule) -> Configuration {
    let domain = |name: &str| FailureDomain {
        name: name.into(),
        region: "coast".into(),
        state: DomainState::In,
    };
    Configuration {
        domains: vec![domain("east"), domain("west")],
        classes: vec![ServiceClass {
            name: "booking".into(),
            kind: ClassKind::Service,
            target: ClassTarget::AnswerWithin(target),
            service: Some("booking".into()),
            route: Some(RouteRule {
                host: None,
                path_prefix: "/".into(),
            }),
            idempotency,
        }],
        ..Configuration::default()
    }
}

/// A running gateway, and handles to what it depends on.
pub(crate) struct TestGateway {
    pub(crate) address: SocketAddr,
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) ownership: Arc<FixedOwnership>,
    pub(crate) configuration: watch::Sender<Arc<Configuration>>,
    pub(crate) vms: watch::Sender<Arc<VmSnapshot>>,
    pub(crate) table: TableStandIn,
    pub(crate) serving: JoinHandle<()>,
}

impl TestGateway {
    pub(crate) async fn get(&self, path: &str) -> Reply {
        send_request(self.address, &format!("GET {path}"), "", "").await
    }

    /// Sends a booking.
    pub(crate) async fn post(&self, id: &str) -> Reply {
        let headers = format!("x-request-id: {id}\r\n");
        send_request(self.address, "POST /bookings", &headers, "guitar").await
    }

    /// Sends a booking with an idempotency key.
    pub(crate) async fn post_keyed(&self, id: &str, key: &str) -> Reply {
        let headers = format!("x-request-id: {id}\r\nidempotency-key: {key}\r\n");
        send_request(self.address, "POST /bookings", &headers, "guitar").await
    }

    /// Sends a booking in a separate task.
    pub(crate) fn spawn_post(&self, id: &str) -> JoinHandle<Reply> {
        let address = self.address;
        let headers = format!("x-request-id: {id}\r\n");
        tokio::spawn(
            async move { send_request(address, "POST /bookings", &headers, "guitar").await },
        )
    }

    /// Makes the daemon hold these shares in a new epoch, unused for the time `idle`.
    pub(crate) fn hold_shares(&self, shares: Range<u16>, idle: Duration) {
        for share in shares {
            self.ownership
                .set_owned(ResourceId::Slots(share), OwnerEpoch(2), idle);
        }
    }

    /// Returns whether a share that the daemon holds must still stay idle.
    pub(crate) fn must_stay_idle(&self, share: u16) -> bool {
        let delay = self
            .ownership
            .remaining_takeover_delay(ResourceId::Slots(share));
        !delay.is_zero()
    }

    /// Makes the daemon lose these shares.
    pub(crate) fn release_shares(&self, shares: Range<u16>) {
        for share in shares {
            self.ownership.remove(ResourceId::Slots(share));
        }
    }

    /// Changes the VM list.
    pub(crate) fn update_vms<Change>(&self, change: Change)
    where
        Change: FnOnce(&mut VmSnapshot),
    {
        self.vms.send_modify(|vms| change(Arc::make_mut(vms)));
    }
}

/// Waits until a condition is true.
pub(crate) async fn wait_until<Condition>(condition: Condition)
where
    Condition: Fn() -> bool,
{
    let held = async {
        while !condition() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(WAIT_TIMEOUT, held)
        .await
        .expect("the condition did not become true in time");
}

/// Sends requests until one is answered with 200.
pub(crate) async fn wait_until_answered<Asking>(asking: Asking)
where
    Asking: AsyncFn() -> Reply,
{
    let answered = async {
        while asking().await.status != 200 {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(WAIT_TIMEOUT, answered)
        .await
        .expect("no request was answered with 200 in time");
}
