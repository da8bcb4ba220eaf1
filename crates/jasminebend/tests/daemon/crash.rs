//! A daemon is killed under load.

use std::{
    sync::Arc,
    time::Duration, //
};

use jbctl::OperatorCommand;
use tokio::time::sleep;

use crate::{
    balancer::{
        TestBalancer,
        TestLoad, //
    },
    caller::{
        CallerOutcome,
        configure,
        is_ready,
        run_command,
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
const CALLER_COUNT: usize = 12;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const SETTINGS_LINES: &str = "limits:\n  longest_request: 2s\n";

/// A daemon is killed while callers send orders. Each caller may lose the one order that was in flight to it, whose
/// outcome is then unknown; no order may run twice. The other daemons must take over its slots, and a new daemon must
/// take over its seat.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemons_slots_and_seat_are_taken_over() {
    let platform = TestPlatform::start_with_endpoints(SERVICE_TIME, ENDPOINT_COUNT).await;
    let settings = platform.settings_file_for(DAEMON_COUNT, SETTINGS_LINES);
    let mut programs: Vec<_> = (0..DAEMON_COUNT)
        .map(|_| RunningProgram::start(&settings))
        .collect();
    configure(programs[0].admin, &configuration()).await;
    for program in &programs {
        wait_until_served(program.callers, "first").await;
    }
    let balancer = Arc::new(TestBalancer::new());
    balancer.set_daemons(&programs);
    balancer.check_readiness().await;
    let load = TestLoad::start(Arc::clone(&balancer), CALLER_COUNT);
    sleep(SERVICE_TIME * 15).await;
    // Dropping kills the process.
    drop(programs.remove(0));
    let admin = programs[0].admin;
    let status = async || {
        let read = run_command(admin, OperatorCommand::Status).await;
        read.json().expect("JSON")["cluster"].clone()
    };
    wait_until("the slots taken over", async || {
        let members = status().await["members"].clone();
        let members = members.as_array().expect("members").clone();
        let held = members.iter().filter_map(|member| member["slots"].as_u64());
        members.len() == 2 && held.sum::<u64>() == u64::from(DAEMON_COUNT) * 4
    })
    .await;
    programs.push(RunningProgram::start(&settings));
    balancer.set_daemons(&programs);
    let newest = programs.last().expect("a program").admin;
    wait_until("a replaced daemon ready", async || is_ready(newest).await).await;
    let total = load.finish().await;
    println!("{total:?}");
    assert!(total[&CallerOutcome::Whole] > CALLER_COUNT, "{total:?}");
    // Each caller had at most one order in flight when the daemon was killed.
    let lost = total.get(&CallerOutcome::Lost).copied().unwrap_or(0);
    assert!(lost <= CALLER_COUNT, "{total:?}");
    assert!(platform.ledger.repeated_request_ids().is_empty());
    assert_eq!(platform.ledger.over_slots(), 0);
}
