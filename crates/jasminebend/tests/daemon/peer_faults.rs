//! Entry VMs that fail one after another and at once: daemons are killed, paused, stopped and replaced in a random
//! series while they send to each other and callers order.
//!
//! `JASMINEBEND_PEER_FAULT_SEEDS=A..B` plays other seeds.

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

const SEEDS: std::ops::Range<u64> = 1..3;
const DAEMONS: u8 = 5;
const ENDPOINTS: u32 = 6;
const CALLERS: usize = 12;
const FAULTS: usize = 40;
const SERVICE_TIME: Duration = Duration::from_millis(5);
const LINES: &str = "limits:\n  longest_request: 2s\ndrain:\n  balancer_lag: 100ms\n";

type ExitCodes = JoinSet<Option<i32>>;

fn seeds() -> std::ops::Range<u64> {
    let wanted = std::env::var("JASMINEBEND_PEER_FAULT_SEEDS").unwrap_or_default();
    let range = wanted.split_once("..");
    let range = range.and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    range.unwrap_or(SEEDS)
}

/// Has one daemon fail, or a paused one go on. Those that are to end send their exit codes.
fn disturb(
    programs: &mut Vec<RunningProgram>,
    random: &mut StdRng,
    start: impl Fn() -> RunningProgram,
    ends: &mut ExitCodes,
) {
    let place = random.random_range(0..programs.len());
    match random.random_range(0..7) {
        0 | 1 => {
            // Dropping kills the process.
            drop(programs.remove(place));
            programs.push(start());
        }
        2 | 3 => programs[place].pause(),
        4 | 5 => programs[place].resume(),
        _ => {
            let old = programs.remove(place);
            old.resume();
            old.terminate();
            ends.spawn_blocking(move || old.wait().0);
            programs.push(start());
        }
    }
}

/// Guards against daemons that end, hang, or run orders twice beside peers that fail while frames are on their way.
#[tokio::test(flavor = "multi_thread")]
async fn daemons_outlive_the_faults_of_their_peers() {
    for seed in seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let platform = TestPlatform::start_with(SERVICE_TIME, ENDPOINTS).await;
        let settings = platform.settings_file_of(DAEMONS, LINES);
        let start = || RunningProgram::start(&settings);
        let mut programs: Vec<_> = (0..DAEMONS).map(|_| start()).collect();
        configure(programs[0].admin, &configuration()).await;
        for program in &programs {
            wait_until_served(program.callers, "first").await;
        }
        let balancer = Arc::new(TestBalancer::new());
        balancer.list(&programs);
        balancer.look().await;
        let load = TestLoad::start(Arc::clone(&balancer), CALLERS);
        let mut ends = ExitCodes::new();
        for _ in 0..FAULTS {
            disturb(&mut programs, &mut random, start, &mut ends);
            balancer.list(&programs);
            sleep(Duration::from_millis(random.random_range(0..300))).await;
            let ended = programs.iter_mut().any(RunningProgram::has_ended);
            assert!(!ended, "seed {seed}: a daemon ended by itself");
        }
        programs.iter().for_each(RunningProgram::resume);
        let codes = ends.join_all().await;
        assert!(codes.iter().all(|code| *code == Some(0)), "{codes:?}");
        for program in &programs {
            wait_until_served(program.callers, "last").await;
        }
        let total = load.finish().await;
        println!("seed {seed}: {total:?}");
        assert!(total[&CallerOutcome::Whole] > CALLERS, "{total:?}");
        assert!(platform.ledger.repeated().is_empty(), "seed {seed}");
        assert_eq!(platform.ledger.over_slots(), 0, "seed {seed}");
        spawn_blocking(move || drop(programs))
            .await
            .expect("an end");
    }
}
