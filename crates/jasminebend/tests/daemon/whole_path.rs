//! One daemon in the test's process, from the first configuration to an answered request.

use std::{
    sync::Arc,
    time::Duration, //
};

use http::StatusCode;
use jasminebend::{
    DaemonEdges,
    DaemonSettings,
    EntryDaemon,
    ListenSettings,
    PeerKeySource,
    SecretText, //
};
use jasminebend_base::{
    DomainName,
    DomainState, //
};
use jasminebend_ports::{
    HttpWorkers,
    SystemClock, //
};
use jbctl::OperatorCommand;
use tokio::time::sleep;

use crate::{
    caller::{
        CallerOutcome,
        command,
        configure,
        order, //
    },
    platform::{
        TestPlatform,
        configuration, //
    },
};

async fn start(platform: &TestPlatform) -> EntryDaemon {
    let settings = DaemonSettings::new(
        ListenSettings::new(),
        DomainName::from("a"),
        PeerKeySource::Text(SecretText::new("a secret of the tests")),
    );
    let settings = settings
        .with_seats(1)
        .with_slot_shares(4)
        .with_shards(1)
        .with_balancer_lag(Duration::ZERO);
    let edges = DaemonEdges {
        table: Arc::new(platform.table.clone()),
        objects: Arc::new(platform.objects.clone()),
        vm_list: Arc::new(platform.vm_list.clone()),
        workers: Arc::new(HttpWorkers::new()),
        clock: Arc::new(SystemClock::new()),
        seed: 7,
    };
    EntryDaemon::start(settings, edges).await.expect("a daemon")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configured_daemon_answers_callers_and_operators() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let daemon = start(&platform).await;
    let admin = daemon.admin_address();
    configure(admin, &configuration()).await;
    while order(daemon.caller_address(), "order-1").await != CallerOutcome::Whole {
        sleep(Duration::from_millis(20)).await;
    }
    assert!(daemon.ready());
    let out = OperatorCommand::Domain {
        name: "b".to_owned(),
        state: DomainState::Out,
        force: false,
    };
    assert_eq!(command(admin, out).await.status, StatusCode::OK);
    let last = OperatorCommand::Domain {
        name: "a".to_owned(),
        state: DomainState::Out,
        force: false,
    };
    assert_eq!(command(admin, last).await.status, StatusCode::CONFLICT);
    let unknown = OperatorCommand::Domain {
        name: "c".to_owned(),
        state: DomainState::Out,
        force: false,
    };
    assert_eq!(command(admin, unknown).await.status, StatusCode::NOT_FOUND);
    let read = command(admin, OperatorCommand::ConfigGet).await;
    assert_eq!(read.json().unwrap()["domains"][1]["state"], "out");
    let status = command(admin, OperatorCommand::Status).await;
    assert_eq!(status.json().unwrap()["ready"], true);
    let jobs = command(admin, OperatorCommand::JobList).await;
    assert_eq!(jobs.json().unwrap(), serde_json::json!([]));
    daemon.stop().await;
    assert_eq!(platform.ledger.runs_of("order-1"), 1);
}
