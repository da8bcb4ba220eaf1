//! The builder of the contract tests: a port, the stand-in behind it, and how it is reached.

use std::{
    sync::Arc,
    time::Duration, //
};

use jasminebend_ports::{
    HttpTable,
    TableService, //
};
use jasminebend_standins::{
    ServerGuard,
    TableStandIn, //
};

/// So long that no case ends by it.
pub(crate) const PATIENT: Duration = Duration::from_secs(60);
/// Long enough for a call on an open connection of the loopback interface.
pub(crate) const IMPATIENT: Duration = Duration::from_millis(500);
/// Longer than any test runs.
pub(crate) const FOREVER: Duration = Duration::from_secs(3600);

/// A port under test.
pub(crate) struct Harness<Port, StandIn>
where
    Port: ?Sized,
{
    pub(crate) port: Arc<Port>,
    pub(crate) stand_in: StandIn,
    pub(crate) guard: Option<ServerGuard>,
}

pub(crate) type TableHarness = Harness<dyn TableService, TableStandIn>;

pub(crate) async fn table_in_memory(_timeout: Duration) -> TableHarness {
    let stand_in = TableStandIn::new();
    Harness {
        port: Arc::new(stand_in.clone()),
        stand_in,
        guard: None,
    }
}

pub(crate) async fn table_over_http(timeout: Duration) -> TableHarness {
    let stand_in = TableStandIn::new();
    let (address, guard) = stand_in.start().await.unwrap();
    Harness {
        port: Arc::new(HttpTable::new(address).with_timeout(timeout)),
        stand_in,
        guard: Some(guard),
    }
}

/// Waits until something comes about that must.
pub(crate) async fn eventually<Check>(what: &str, check: Check)
where
    Check: Fn() -> bool,
{
    for _ in 0..20_000 {
        if check() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("never came about: {what}");
}
