//! Every entry VM is replaced, one after another, while callers order.

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
        until,
        wait_until_served, //
    },
    platform::{
        TestPlatform,
        configuration, //
    },
    program::RunningProgram, //
};

const DAEMONS: u8 = 3;
const ENDPOINTS: u32 = 6;
const CALLERS: usize = 6;
const LINES: &str = "drain:\n  balancer_lag: 400ms\n";

/// What a daemon logs when it takes another one for gone: never of one that runs, or that left.
const GONE: &str = "is gone";

/// Operators roll out a new image: each entry VM is stopped and another started in its place, while
/// the balancer sends callers to those that are ready. No order may be cut off, lost or run twice,
/// and the slots must move from the old daemons to the new ones without ever being used twice.
#[tokio::test(flavor = "multi_thread")]
async fn replacing_every_daemon_loses_no_order() {
    let platform = TestPlatform::start_with(Duration::from_millis(5), ENDPOINTS).await;
    let settings = platform.settings_file_of(DAEMONS, LINES);
    let mut programs = Vec::new();
    for _ in 0..DAEMONS {
        programs.push(RunningProgram::start(&settings));
    }
    configure(programs[0].admin, &configuration()).await;
    for program in &programs {
        wait_until_served(program.callers, "first").await;
    }
    let balancer = Arc::new(TestBalancer::new());
    balancer.list(&programs);
    balancer.look().await;
    let load = TestLoad::start(Arc::clone(&balancer), CALLERS);
    for _ in 0..DAEMONS {
        let old = programs.remove(0);
        old.terminate();
        let (code, log) = spawn_blocking(move || old.wait()).await.expect("an end");
        assert_eq!(code, Some(0), "{log:#?}");
        assert!(!log.iter().any(|line| line.contains(GONE)), "{log:#?}");
        programs.push(RunningProgram::start(&settings));
        balancer.list(&programs);
        let newest = programs.last().expect("a program").admin;
        until("a replaced daemon ready", async || is_ready(newest).await).await;
    }
    let total = load.finish().await;
    println!("{total:?}");
    assert!(!programs.iter().any(|program| program.has_logged(GONE)));
    assert_eq!(total.get(&CallerOutcome::Lost), None, "{total:?}");
    assert_eq!(total.get(&CallerOutcome::NoConnection), None, "{total:?}");
    assert!(total[&CallerOutcome::Whole] > 100, "{total:?}");
    assert!(platform.ledger.repeated().is_empty());
    assert_eq!(platform.ledger.over_slots(), 0);
}
