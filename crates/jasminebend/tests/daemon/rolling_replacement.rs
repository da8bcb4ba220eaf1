//! Every daemon is replaced, one after another, while callers send orders.

use std::{
    sync::Arc,
    time::Duration, //
};

use tokio::task::spawn_blocking;

use crate::{
    balancer::{
        TestBalancer,
        TestLoad, //
    },
    caller::{
        CallerOutcome,
        configure,
        is_ready,
        wait_until,
        wait_until_served, //
    },
    platform::{
        TestPlatform,
        configuration, //
    },
    program::RunningProgram, //
};

const DAEMON_COUNT: u8 = 3;
const ENDPOINT_COUNT: u32 = 6;
const CALLER_COUNT: usize = 6;
const SETTINGS_LINES: &str = "drain:\n  balancer_lag: 400ms\n";

/// What a daemon logs when it considers another one terminated, which must not happen to a daemon that runs or has left
/// gracefully.
const TERMINATED_LOG_TEXT: &str = "has terminated";

/// Operators roll out a new image: each daemon is stopped and another one is started in its place, while the balancer
/// sends callers to the ready ones. No order may be aborted, lost or run twice, and a slot that moves from an old daemon
/// to a new one must never be used by both.
#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_daemon_loses_no_order() {
    let platform =
        TestPlatform::start_with_endpoints(Duration::from_millis(5), ENDPOINT_COUNT).await;
    let settings = platform.settings_file_for(DAEMON_COUNT, SETTINGS_LINES);
    let mut programs = Vec::new();
    for _ in 0..DAEMON_COUNT {
        programs.push(RunningProgram::start(&settings));
    }
    configure(programs[0].admin, &configuration()).await;
    for program in &programs {
        wait_until_served(program.callers, "first").await;
    }
    let balancer = Arc::new(TestBalancer::new());
    balancer.set_daemons(&programs);
    balancer.check_readiness().await;
    let load = TestLoad::start(Arc::clone(&balancer), CALLER_COUNT);
    for _ in 0..DAEMON_COUNT {
        let old = programs.remove(0);
        old.terminate();
        let (code, log) = spawn_blocking(move || old.wait()).await.expect("an end");
        assert_eq!(code, Some(0), "{log:#?}");
        assert!(
            !log.iter().any(|line| line.contains(TERMINATED_LOG_TEXT)),
            "{log:#?}"
        );
        programs.push(RunningProgram::start(&settings));
        balancer.set_daemons(&programs);
        let newest = programs.last().expect("a program").admin;
        wait_until("a replaced daemon ready", async || is_ready(newest).await).await;
    }
    let total = load.finish().await;
    println!("{total:?}");
    assert!(
        !programs
            .iter()
            .any(|program| program.has_logged(TERMINATED_LOG_TEXT))
    );
    assert_eq!(total.get(&CallerOutcome::Lost), None, "{total:?}");
    assert_eq!(total.get(&CallerOutcome::NoConnection), None, "{total:?}");
    assert!(total[&CallerOutcome::Whole] > 100, "{total:?}");
    assert!(platform.ledger.repeated_request_ids().is_empty());
    assert_eq!(platform.ledger.over_slots(), 0);
}
