//! Starts the gateway to be measured.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use jasminebend_base::{
    ClassKind,
    ClassTarget,
    Configuration,
    EndpointRecord,
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
use jasminebend_ports::SystemClock;
use jasminebend_standins::{
    FixedOwnership,
    TableStandIn, //
};
use tokio::{
    net::TcpListener,
    sync::watch, //
};

const SHARE_COUNT: u16 = 70;

/// Starts a gateway that holds all slots of these endpoints, for one class with this target, and
/// returns its address.
pub(crate) async fn start_gateway(
    endpoints: &[SocketAddr],
    slots: u16,
    target: Duration,
) -> SocketAddr {
    let ownership = FixedOwnership::new();
    for share in 0..SHARE_COUNT {
        ownership.set_owned(ResourceId::Slots(share), OwnerEpoch(1), Duration::ZERO);
    }
    let configuration = watch::Sender::new(Arc::new(configuration(target)));
    let vms = watch::Sender::new(Arc::new(VmSnapshot {
        revision: 1,
        vms: endpoints.iter().map(|address| vm(address, slots)).collect(),
    }));
    let ports = GatewayPorts {
        ownership: Arc::new(ownership),
        configuration: configuration.subscribe(),
        vms: vms.subscribe(),
        table: Arc::new(TableStandIn::new()),
        clock: Arc::new(SystemClock::new()),
        seed: 1,
    };
    let gateway = Gateway::new(GatewaySettings::new("east".into(), SHARE_COUNT), ports);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        gateway.serve(listener).await;
        drop((configuration, vms));
    });
    address
}

fn vm(address: &SocketAddr, slots: u16) -> VmRecord {
    VmRecord {
        name: address.to_string().as_str().into(),
        incarnation: 1,
        domain: "east".into(),
        state: VmState::Live,
        executor: Some(EndpointRecord {
            service: "booking".into(),
            address: *address,
            slots,
            connections: 64,
        }),
        worker: None,
    }
}

fn configuration(target: Duration) -> Configuration {
    Configuration {
        classes: vec![ServiceClass {
            name: "booking".into(),
            kind: ClassKind::Service,
            target: ClassTarget::AnswerWithin(target),
            service: Some("booking".into()),
            route: Some(RouteRule {
                host: None,
                path_prefix: "/".into(),
            }),
            idempotency: Default::default(),
        }],
        ..Configuration::default()
    }
}
