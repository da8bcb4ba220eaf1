//! An entry VM dies under load.

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
        command,
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
const CALLERS: usize = 12;
const SERVICE_TIME: Duration = Duration::from_millis(20);
const LINES: &str = "limits:\n  longest_request: 2s\n";

/// An entry VM dies while callers order, without a word to anybody. Each caller may lose the one
/// order that was on its way there and reads that its outcome is unknown; no order runs twice. The
/// other daemons must take over all that the dead one held, and a new daemon must take its seat.
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_daemons_slots_are_taken_over_and_its_seat_is_taken() {
    let platform = TestPlatform::start_with(SERVICE_TIME, ENDPOINTS).await;
    let settings = platform.settings_file_of(DAEMONS, LINES);
    let mut programs: Vec<_> = (0..DAEMONS)
        .map(|_| RunningProgram::start(&settings))
        .collect();
    configure(programs[0].admin, &configuration()).await;
    for program in &programs {
        wait_until_served(program.callers, "first").await;
    }
    let balancer = Arc::new(TestBalancer::new());
    balancer.list(&programs);
    balancer.look().await;
    let load = TestLoad::start(Arc::clone(&balancer), CALLERS);
    sleep(SERVICE_TIME * 15).await;
    // Dropping kills the process.
    drop(programs.remove(0));
    let admin = programs[0].admin;
    let status = async || {
        let read = command(admin, OperatorCommand::Status).await;
        read.json().expect("JSON")["cluster"].clone()
    };
    until("the slots taken over", async || {
        let members = status().await["members"].clone();
        let members = members.as_array().expect("members").clone();
        let held = members.iter().filter_map(|member| member["slots"].as_u64());
        members.len() == 2 && held.sum::<u64>() == u64::from(DAEMONS) * 4
    })
    .await;
    programs.push(RunningProgram::start(&settings));
    balancer.list(&programs);
    let newest = programs.last().expect("a program").admin;
    until("a replaced daemon ready", async || is_ready(newest).await).await;
    let total = load.finish().await;
    println!("{total:?}");
    assert!(total[&CallerOutcome::Whole] > CALLERS, "{total:?}");
    // Each caller had one order in flight at the most when the daemon died.
    let lost = total.get(&CallerOutcome::Lost).copied().unwrap_or(0);
    assert!(lost <= CALLERS, "{total:?}");
    assert!(platform.ledger.repeated().is_empty());
    assert_eq!(platform.ledger.over_slots(), 0);
}
