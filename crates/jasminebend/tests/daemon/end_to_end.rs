//! A single daemon in the test's process, from its first configuration to answered requests.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use http::{
    Method,
    StatusCode, //
};
use jasminebend::SLOT_READY_DELAY;
use jasminebend_base::DomainState;
use jasminebend_standins::{
    FaultKind,
    OutageState, //
};
use jbctl::{
    AdminRequest,
    JobListQuery,
    OperatorCommand, //
};

use tokio::time::sleep;

use crate::{
    caller::{
        CallerOutcome,
        configure,
        run_command,
        send_admin_request,
        send_order,
        wait_until,
        wait_until_served, //
    },
    platform::{
        TestPlatform,
        configuration, //
    }, //
};

async fn get_text(admin: SocketAddr, path: &str) -> String {
    let request = AdminRequest {
        method: Method::GET,
        path: path.to_owned(),
        expected_version: None,
        body: Default::default(),
    };
    String::from_utf8(send_admin_request(admin, request).await.body.to_vec()).expect("text")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configured_daemon_answers_callers_and_operators() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let daemon = platform.start_daemon("a", 1).await;
    let admin = daemon.admin_address();
    configure(admin, &configuration()).await;
    wait_until_served(daemon.caller_address(), "first").await;
    let outcome = send_order(daemon.caller_address(), "order-1").await;
    assert_eq!(outcome, CallerOutcome::Whole);
    wait_until("ready", async || daemon.ready()).await;
    let out = OperatorCommand::Domain {
        name: "b".to_owned(),
        state: DomainState::Out,
        force: false,
    };
    assert_eq!(run_command(admin, out).await.status, StatusCode::OK);
    let last = OperatorCommand::Domain {
        name: "a".to_owned(),
        state: DomainState::Out,
        force: false,
    };
    assert_eq!(run_command(admin, last).await.status, StatusCode::CONFLICT);
    let unknown = OperatorCommand::Domain {
        name: "c".to_owned(),
        state: DomainState::Out,
        force: false,
    };
    assert_eq!(
        run_command(admin, unknown).await.status,
        StatusCode::NOT_FOUND
    );
    let read = run_command(admin, OperatorCommand::ConfigGet).await;
    assert_eq!(read.json().unwrap()["domains"][1]["state"], "out");
    let status = run_command(admin, OperatorCommand::Status).await;
    assert_eq!(status.json().unwrap()["ready"], true);
    let metrics = get_text(admin, "/metrics").await;
    assert!(metrics.contains("jasminebend_daemon_ready{"), "{metrics}");
    assert!(metrics.contains("jasminebend_administration_requests_total{"));
    let jobs = run_command(admin, OperatorCommand::JobList(JobListQuery::default())).await;
    assert_eq!(
        jobs.json().unwrap(),
        serde_json::json!({"jobs": [], "after": null})
    );
    daemon.stop().await;
    assert_eq!(platform.ledger.runs_of("order-1"), 1);
}

/// A daemon starts while the VM list is down. It gets its seat and its slots but knows no endpoint, so it would refuse
/// every caller that the balancer sends to it.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_a_vm_list_is_not_ready() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let faults = platform.vm_list.faults();
    faults.set_outage(OutageState::Down(FaultKind::Unreachable));
    let daemon = platform.start_daemon("a", 1).await;
    configure(daemon.admin_address(), &configuration()).await;
    let refused =
        async || send_order(daemon.caller_address(), "order-1").await == CallerOutcome::NotRun;
    wait_until("a refused caller", refused).await;
    for _ in 0..3 {
        assert!(!daemon.ready());
        sleep(SLOT_READY_DELAY).await;
    }
    faults.clear_faults();
    wait_until("ready", async || daemon.ready()).await;
    daemon.stop().await;
}
