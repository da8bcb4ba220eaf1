//! A graceful stop of the program aborts no request.

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
        send_order,
        wait_until,
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

/// More callers than slots, of which there are eight, so that requests are queued when the stop begins and still are
/// after the balancer's lag.
const CALLER_COUNT: usize = 24;

/// Sends orders one after another until `stop` is set, and returns the number of orders by outcome.
async fn send_orders(
    daemon: SocketAddr,
    caller: usize,
    stop: Arc<AtomicBool>,
) -> IndexMap<CallerOutcome, usize> {
    let mut counts = IndexMap::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let outcome = send_order(daemon, &format!("order-{caller}-{number}")).await;
        *counts.entry(outcome).or_default() += 1;
        number += 1;
    }
    counts
}

/// An operator stops a daemon while callers send orders. The balancer sees that the daemon is not ready and sends no
/// more orders; a second SIGTERM follows. Every sent order must be answered completely, and the program must exit with
/// success.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_under_load_answers_every_order() {
    let platform = TestPlatform::start(Duration::from_millis(200)).await;
    let settings = platform.settings_file("drain:\n  balancer_lag: 100ms\n");
    let program = RunningProgram::start(&settings);
    let (callers, admin) = (program.callers, program.admin);
    configure(admin, &configuration()).await;
    wait_until_served(callers, "first").await;
    wait_until("ready", async || is_ready(admin).await).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut load = JoinSet::new();
    for caller in 0..CALLER_COUNT {
        load.spawn(send_orders(callers, caller, Arc::clone(&stop)));
    }
    sleep(Duration::from_millis(700)).await;
    program.terminate();
    wait_until("not ready", async || !is_ready(admin).await).await;
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
    assert!(total[&CallerOutcome::Whole] > CALLER_COUNT, "{total:?}");
    assert!(platform.ledger.repeated_request_ids().is_empty());
    assert_eq!(platform.ledger.over_slots(), 0);
    let ignored_signals = log.iter().filter(|line| line.contains("changes nothing"));
    assert_eq!(ignored_signals.count(), 1, "{log:#?}");
}

/// The table service is down when an operator stops a daemon, so its resources cannot be released. A stop without a
/// timeout would delay the replacement of the VM for as long as the outage lasts.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_without_the_table_service_ends_after_the_leave_timeout() {
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
    let timed_out = log
        .iter()
        .any(|line| line.contains("The held resources could not be released in time"));
    assert!(timed_out, "{log:#?}");
}

#[test]
fn wrong_settings_and_wrong_usage_have_their_own_exit_code() {
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
