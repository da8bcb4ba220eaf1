//! The outcome of a change that is reported to an operator is correct despite faults of the table service.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use http::StatusCode;
use jasminebend_base::{
    ChangeOutcome,
    DomainState, //
};
use jasminebend_standins::{
    CallKind,
    FaultKind,
    FaultPlan,
    OutageState, //
};
use jbctl::OperatorCommand;
use tokio::task::{
    JoinSet,
    LocalSet, //
};

use crate::{
    caller::{
        configure,
        put_configuration,
        run_command,
        send_admin_request,
        wait_until, //
    },
    platform::{
        TestPlatform,
        configuration, //
    }, //
};

/// The name of a fault of the table service, and the function that injects it.
type Fault = (&'static str, fn(&FaultPlan));

const FAULTS: &[Fault] = &[
    ("one answer is lost", |faults| {
        faults.queue_fault(CallKind::Commit, FaultKind::LoseAnswer);
    }),
    ("one answer is cut", |faults| {
        faults.queue_fault(CallKind::Commit, FaultKind::CutAnswer);
    }),
    ("one answer is malformed", |faults| {
        faults.queue_fault(CallKind::Commit, FaultKind::Malformed);
    }),
    ("one request is lost", |faults| {
        faults.queue_fault(CallKind::Commit, FaultKind::LoseRequest);
    }),
    ("one commit is refused", |faults| {
        faults.queue_fault(CallKind::Commit, FaultKind::Refuse);
    }),
    ("one effect comes late", |faults| {
        faults.queue_fault(
            CallKind::Commit,
            FaultKind::Slow(Duration::from_millis(700)),
        );
    }),
    ("all answers are lost", |faults| {
        faults.set_fault(CallKind::Commit, FaultKind::LoseAnswer);
    }),
    ("all requests are lost", |faults| {
        faults.set_fault(CallKind::Commit, FaultKind::LoseRequest);
    }),
    ("writes are refused", |faults| {
        faults.set_outage(OutageState::ReadsOnly(FaultKind::Refuse));
    }),
    ("reads are refused", |faults| {
        faults.set_outage(OutageState::WritesOnly(FaultKind::Refuse));
    }),
    ("the service is not reached", |faults| {
        faults.set_outage(OutageState::Down(FaultKind::Unreachable));
    }),
];

fn set_domain_b(state: DomainState) -> OperatorCommand {
    OperatorCommand::Domain {
        name: "b".to_owned(),
        state,
        force: false,
    }
}

async fn state_of_b(admin: SocketAddr) -> String {
    let read = run_command(admin, OperatorCommand::ConfigGet).await;
    let json = read.json().expect("JSON");
    json["domains"][1]["state"]
        .as_str()
        .expect("a state")
        .to_owned()
}

async fn check_fault((name, inject): Fault) {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let daemon = platform.start_daemon("a", 1).await;
    let admin = daemon.admin_address();
    configure(admin, &configuration()).await;
    let faults = platform.table.faults();
    inject(faults);
    let answer = run_command(admin, set_domain_b(DomainState::Out)).await;
    let outcome = answer.outcome().expect(name);
    faults.clear_faults();
    // Another change that succeeds after the table service has recovered is ordered after every possible effect of the
    // first one.
    let mut other = configuration();
    other.teams.clear();
    let replaced = async || {
        let read = run_command(admin, OperatorCommand::ConfigGet).await;
        other.version = read.json().expect("JSON")["version"]
            .as_u64()
            .expect("one")
            .into();
        other.domains[1].state = match state_of_b(admin).await.as_str() {
            "out" => DomainState::Out,
            _ => DomainState::In,
        };
        let call = put_configuration(&other);
        send_admin_request(admin, call).await.status == StatusCode::OK
    };
    wait_until(name, replaced).await;
    let state = state_of_b(admin).await;
    match outcome {
        ChangeOutcome::Accepted { .. } => assert_eq!(state, "out", "{name}"),
        ChangeOutcome::NotAccepted { .. } => assert_eq!(state, "in", "{name}"),
        ChangeOutcome::Unknown { .. } => {}
    }
    println!("{name}: {outcome:?}, then {state}");
    daemon.stop().await;
}

/// An operator takes a failure domain out while the table service fails. If the response is `accepted`, the change must
/// take effect; if it is `not_accepted`, the change must never take effect; only after `unknown` may it do either.
#[tokio::test(flavor = "multi_thread")]
async fn a_reported_outcome_stays_true() {
    let local = LocalSet::new();
    let mut checks = JoinSet::new();
    for fault in FAULTS {
        checks.spawn_local_on(check_fault(*fault), &local);
    }
    local.run_until(checks.join_all()).await;
}
