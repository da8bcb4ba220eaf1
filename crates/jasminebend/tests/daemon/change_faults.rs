//! What an operator is told of a change stays true, whatever the table service does.

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
        command,
        configure,
        operate,
        put,
        until, //
    },
    platform::{
        TestPlatform,
        configuration, //
    }, //
};

/// A fault of the table service, and whether it lasts until the operator has an answer.
type Fault = (&'static str, fn(&FaultPlan));

const FAULTS: &[Fault] = &[
    ("one answer is lost", |faults| {
        faults.once(CallKind::Commit, FaultKind::LoseAnswer);
    }),
    ("one answer is cut", |faults| {
        faults.once(CallKind::Commit, FaultKind::CutAnswer);
    }),
    ("one answer is malformed", |faults| {
        faults.once(CallKind::Commit, FaultKind::Malformed);
    }),
    ("one request is lost", |faults| {
        faults.once(CallKind::Commit, FaultKind::LoseRequest);
    }),
    ("one commit is refused", |faults| {
        faults.once(CallKind::Commit, FaultKind::Refuse);
    }),
    ("one effect comes late", |faults| {
        faults.once(
            CallKind::Commit,
            FaultKind::Slow(Duration::from_millis(700)),
        );
    }),
    ("all answers are lost", |faults| {
        faults.always(CallKind::Commit, FaultKind::LoseAnswer);
    }),
    ("all requests are lost", |faults| {
        faults.always(CallKind::Commit, FaultKind::LoseRequest);
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

fn domain(state: DomainState) -> OperatorCommand {
    OperatorCommand::Domain {
        name: "b".to_owned(),
        state,
        force: false,
    }
}

async fn state_of_b(admin: SocketAddr) -> String {
    let read = command(admin, OperatorCommand::ConfigGet).await;
    let json = read.json().expect("JSON");
    json["domains"][1]["state"]
        .as_str()
        .expect("a state")
        .to_owned()
}

async fn check((name, inject): Fault) {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let daemon = platform.daemon("a", 1).await;
    let admin = daemon.admin_address();
    configure(admin, &configuration()).await;
    let faults = platform.table.faults();
    inject(faults);
    let answer = command(admin, domain(DomainState::Out)).await;
    let outcome = answer.outcome().expect(name);
    faults.heal();
    // Another change, made after the table service is well again, comes after all that the first
    // one could still have done.
    let mut other = configuration();
    other.teams.clear();
    let replaced = async || {
        let read = command(admin, OperatorCommand::ConfigGet).await;
        other.version = read.json().expect("JSON")["version"]
            .as_u64()
            .expect("one")
            .into();
        other.domains[1].state = match state_of_b(admin).await.as_str() {
            "out" => DomainState::Out,
            _ => DomainState::In,
        };
        let call = put(&other);
        operate(admin, call).await.status == StatusCode::OK
    };
    until(name, replaced).await;
    let state = state_of_b(admin).await;
    match outcome {
        ChangeOutcome::Accepted { .. } => assert_eq!(state, "out", "{name}"),
        ChangeOutcome::NotAccepted { .. } => assert_eq!(state, "in", "{name}"),
        ChangeOutcome::Unknown { .. } => {}
    }
    println!("{name}: {outcome:?}, then {state}");
    daemon.stop().await;
}

/// An operator takes a failure domain out while the table service fails. If the answer is that the
/// change is accepted, it must be in force; if it is that it is not, it must never come; only the
/// answer that nobody knows may be followed by either.
#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_stays_true() {
    let local = LocalSet::new();
    let mut checks = JoinSet::new();
    for fault in FAULTS {
        checks.spawn_local_on(check(*fault), &local);
    }
    local.run_until(checks.join_all()).await;
}
