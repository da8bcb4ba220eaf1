//! Three daemons in three failure domains share one configuration.

use std::time::Duration;

use http::StatusCode;
use jasminebend::EntryDaemon;
use jasminebend_base::DomainState;
use jbctl::OperatorCommand;
use serde_json::Value;

use crate::{
    caller::{
        configure,
        run_command,
        wait_until,
        wait_until_served, //
    },
    platform::{
        TestPlatform,
        configuration, //
    }, //
};

async fn status(daemon: &EntryDaemon) -> Value {
    let read = run_command(daemon.admin_address(), OperatorCommand::Status).await;
    read.json().expect("JSON")
}

/// A failure domain is taken out at one daemon, and another daemon must apply the change. Then one daemon is stopped;
/// the other two must go on answering callers.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_the_other_daemons_and_one_may_stop() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let first = platform.start_daemon("a", 3).await;
    let second = platform.start_daemon("b", 3).await;
    let third = platform.start_daemon("c", 3).await;
    configure(first.admin_address(), &configuration()).await;
    for daemon in [&first, &second, &third] {
        wait_until_served(daemon.caller_address(), "before").await;
    }
    let out = OperatorCommand::Domain {
        name: "b".to_owned(),
        state: DomainState::Out,
        force: false,
    };
    let answer = run_command(second.admin_address(), out).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let version = answer.json().unwrap()["version"].clone();
    let applied = async || status(&third).await["configuration"] == version;
    wait_until("the change in force at another daemon", applied).await;
    first.stop().await;
    wait_until_served(second.caller_address(), "after").await;
    wait_until_served(third.caller_address(), "after").await;
    assert!(platform.ledger.repeated_request_ids().is_empty());
    assert_eq!(platform.ledger.over_slots(), 0);
    second.stop().await;
    third.stop().await;
}
