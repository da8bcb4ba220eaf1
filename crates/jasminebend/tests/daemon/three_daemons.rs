//! Three daemons in three failure domains agree on one configuration.

use std::time::Duration;

use http::StatusCode;
use jasminebend::EntryDaemon;
use jasminebend_base::DomainState;
use jbctl::OperatorCommand;
use serde_json::Value;

use crate::{
    caller::{
        command,
        configure,
        until,
        wait_until_served, //
    },
    platform::{
        TestPlatform,
        configuration, //
    }, //
};

async fn status(daemon: &EntryDaemon) -> Value {
    let read = command(daemon.admin_address(), OperatorCommand::Status).await;
    read.json().expect("JSON")
}

/// An operator takes a failure domain out at one entry VM, and another operator looks at another.
/// Then one entry VM is stopped; callers of the others must go on being answered.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_at_one_is_in_force_at_all_and_one_may_stop() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let first = platform.daemon("a", 3).await;
    let second = platform.daemon("b", 3).await;
    let third = platform.daemon("c", 3).await;
    configure(first.admin_address(), &configuration()).await;
    for daemon in [&first, &second, &third] {
        wait_until_served(daemon.caller_address(), "before").await;
    }
    let out = OperatorCommand::Domain {
        name: "b".to_owned(),
        state: DomainState::Out,
        force: false,
    };
    let answer = command(second.admin_address(), out).await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    let version = answer.json().unwrap()["version"].clone();
    let followed = async || status(&third).await["configuration"] == version;
    until("the change in force at another daemon", followed).await;
    first.stop().await;
    wait_until_served(second.caller_address(), "after").await;
    wait_until_served(third.caller_address(), "after").await;
    assert!(platform.ledger.repeated().is_empty());
    assert_eq!(platform.ledger.over_slots(), 0);
    second.stop().await;
    third.stop().await;
}
