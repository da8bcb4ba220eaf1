//! Randomized simulation of daemon failures: daemons are killed, paused, stopped and replaced in a random sequence,
//! while they exchange messages and callers send orders.
//!
//! `JASMINEBEND_PEER_FAULT_SEEDS=A..B` runs other seeds.

use std::{
    sync::Arc,
    time::Duration, //
};

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use tokio::{
    task::{
        JoinSet,
        spawn_blocking, //
    },
    time::sleep, //
};

use crate::{
    balancer::{
        TestBalancer,
        TestLoad, //
    },
    caller::{
        CallerOutcome,
        configure,
        wait_until_served, //
    },
    platform::{
        TestPlatform,
        configuration, //
    },
    program::RunningProgram, //
};

const DEFAULT_SEEDS: std::ops::Range<u64> = 1..3;
const DAEMON_COUNT: u8 = 5;
const ENDPOINT_COUNT: u32 = 6;
const CALLER_COUNT: usize = 12;
const FAULT_COUNT: usize = 40;
const SERVICE_TIME: Duration = Duration::from_millis(5);
const SETTINGS_LINES: &str = "limits:\n  longest_request: 2s\ndrain:\n  balancer_lag: 100ms\n";

type ExitCodes = JoinSet<Option<i32>>;

fn seeds() -> std::ops::Range<u64> {
    let variable = std::env::var("JASMINEBEND_PEER_FAULT_SEEDS").unwrap_or_default();
    let range = variable.split_once("..");
    let range = range.and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    range.unwrap_or(DEFAULT_SEEDS)
}

/// Kills, pauses, resumes or gracefully replaces a random daemon. `exit_codes` gets the exit codes of gracefully
/// replaced daemons.
fn inject_fault(
    programs: &mut Vec<RunningProgram>,
    random: &mut StdRng,
    start: impl Fn() -> RunningProgram,
    exit_codes: &mut ExitCodes,
) {
    let index = random.random_range(0..programs.len());
    match random.random_range(0..7) {
        0 | 1 => {
            // Dropping kills the process.
            drop(programs.remove(index));
            programs.push(start());
        }
        2 | 3 => programs[index].pause(),
        4 | 5 => programs[index].resume(),
        _ => {
            let old = programs.remove(index);
            old.resume();
            old.terminate();
            exit_codes.spawn_blocking(move || old.wait().0);
            programs.push(start());
        }
    }
}

/// Guards against daemons that exit, hang or run orders twice while their peers fail with frames in transit.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_survive_faults_of_their_peers() {
    for seed in seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let platform = TestPlatform::start_with_endpoints(SERVICE_TIME, ENDPOINT_COUNT).await;
        let settings = platform.settings_file_for(DAEMON_COUNT, SETTINGS_LINES);
        let start = || RunningProgram::start(&settings);
        let mut programs: Vec<_> = (0..DAEMON_COUNT).map(|_| start()).collect();
        configure(programs[0].admin, &configuration()).await;
        for program in &programs {
            wait_until_served(program.callers, "first").await;
        }
        let balancer = Arc::new(TestBalancer::new());
        balancer.set_daemons(&programs);
        balancer.check_readiness().await;
        let load = TestLoad::start(Arc::clone(&balancer), CALLER_COUNT);
        let mut exit_codes = ExitCodes::new();
        for _ in 0..FAULT_COUNT {
            inject_fault(&mut programs, &mut random, start, &mut exit_codes);
            balancer.set_daemons(&programs);
            sleep(Duration::from_millis(random.random_range(0..300))).await;
            let ended = programs.iter_mut().any(RunningProgram::has_ended);
            assert!(!ended, "seed {seed}: a daemon ended by itself");
        }
        programs.iter().for_each(RunningProgram::resume);
        let codes = exit_codes.join_all().await;
        assert!(codes.iter().all(|code| *code == Some(0)), "{codes:?}");
        for program in &programs {
            wait_until_served(program.callers, "last").await;
        }
        let total = load.finish().await;
        println!("seed {seed}: {total:?}");
        assert!(total[&CallerOutcome::Whole] > CALLER_COUNT, "{total:?}");
        assert!(
            platform.ledger.repeated_request_ids().is_empty(),
            "seed {seed}"
        );
        assert_eq!(platform.ledger.over_slots(), 0, "seed {seed}");
        spawn_blocking(move || drop(programs))
            .await
            .expect("an end");
    }
}
