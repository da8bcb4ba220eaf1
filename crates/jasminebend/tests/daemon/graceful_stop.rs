//! A planned stop of the real program cuts nothing off.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration, //
};

use indexmap::IndexMap;
use jasminebend_standins::{
    FaultKind,
    OutageState, //
};
use tokio::{
    task::{
        JoinSet,
        spawn_blocking, //
    },
    time::sleep, //
};

use crate::{
    caller::{
        CallerOutcome,
        configure,
        is_ready,
        order,
        until,
        wait_until_served, //
    },
    platform::{
        TestPlatform,
        configuration, //
    },
    program::{
        RunningProgram,
        run, //
    }, //
};

/// More callers than the eight slots: requests wait when the stop begins, and outlast its lag.
const CALLERS: usize = 24;

/// Sends orders one after another until it is told to stop, and counts what became of them.
async fn send_orders(
    daemon: SocketAddr,
    caller: usize,
    stop: Arc<AtomicBool>,
) -> IndexMap<CallerOutcome, usize> {
    let mut counts = IndexMap::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let outcome = order(daemon, &format!("order-{caller}-{number}")).await;
        *counts.entry(outcome).or_default() += 1;
        number += 1;
    }
    counts
}

/// An operator replaces an entry VM while callers order. The balancer sees that the daemon is not
/// ready and sends no more; an impatient script sends a second SIGTERM. What was sent must be
/// answered whole, the slots must be given back, and the program must end with success.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_answers_every_order() {
    let platform = TestPlatform::start(Duration::from_millis(200)).await;
    let settings = platform.settings_file("drain:\n  balancer_lag: 100ms\n");
    let program = RunningProgram::start(&settings);
    let (callers, admin) = (program.callers, program.admin);
    configure(admin, &configuration()).await;
    wait_until_served(callers, "first").await;
    until("ready", async || is_ready(admin).await).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = JoinSet::new();
    for caller in 0..CALLERS {
        load.spawn(send_orders(callers, caller, Arc::clone(&stop)));
    }
    sleep(Duration::from_millis(700)).await;
    program.terminate();
    until("not ready", async || !is_ready(admin).await).await;
    stop.store(true, Ordering::Relaxed);
    program.terminate();
    let mut total = IndexMap::new();
    for counts in load.join_all().await {
        for (outcome, count) in counts {
            *total.entry(outcome).or_insert(0) += count;
        }
    }
    let (code, log) = spawn_blocking(move || program.wait()).await.unwrap();
    assert_eq!(code, Some(0), "{log:#?}");
    assert_eq!(total.len(), 1, "{total:?} {log:#?}");
    assert!(total[&CallerOutcome::Whole] > CALLERS, "{total:?}");
    assert!(platform.ledger.repeated().is_empty());
    assert_eq!(platform.ledger.over_slots(), 0);
    let again = log.iter().filter(|line| line.contains("changes nothing"));
    assert_eq!(again.count(), 1, "{log:#?}");
}

/// The table service is down when an operator replaces the entry VM. What the daemon holds cannot
/// be given back, and a stop that waited for it would hold up the replacement for as long as the
/// outage lasts.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_without_the_table_ends_all_the_same() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let lines = "drain:\n  balancer_lag: 0s\n  leave_timeout: 1s\n";
    let program = RunningProgram::start(&platform.settings_file(lines));
    configure(program.admin, &configuration()).await;
    wait_until_served(program.callers, "first").await;
    platform
        .table
        .faults()
        .set_outage(OutageState::Down(FaultKind::Refuse));
    program.terminate();
    let (code, log) = spawn_blocking(move || program.wait()).await.unwrap();
    assert_eq!(code, Some(0), "{log:#?}");
    let waited = log.iter().any(|line| line.contains("takes nothing back"));
    assert!(waited, "{log:#?}");
}

#[test]
fn wrong_settings_and_wrong_usage_end_with_their_own_code() {
    let table: &[(&[&str], i32, &str)] = &[
        (&[], 2, "nothing to do"),
        (&["start"], 2, "no command `start`"),
        (&["--settings"], 2, "--settings"),
        (
            &["--settings", "/no/such.yaml"],
            2,
            "/no/such.yaml cannot be read",
        ),
        (
            &["check", "/no/such.yaml"],
            2,
            "/no/such.yaml cannot be read",
        ),
        (&["check"], 2, "`check` takes the settings file"),
        (&["demo", "--seconds", "many"], 2, "many"),
        (&["--help"], 0, "jasminebend check FILE"),
        (&["--version"], 0, "jasminebend 0."),
    ];
    for (arguments, code, words) in table {
        let output = run(arguments);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(output.status.code(), Some(*code), "{arguments:?} {text}");
        assert!(text.contains(words), "{arguments:?} {text}");
    }
}
