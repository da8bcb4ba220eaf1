//! A daemon whose log nobody reads.

use std::time::Duration;

use tokio::{
    net::TcpStream,
    task::spawn_blocking,
    time::timeout, //
};

use crate::{
    caller::{
        CallerOutcome,
        configure,
        order,
        wait_until_served, //
    },
    platform::{
        TestPlatform,
        configuration, //
    },
    program::RunningProgram, //
};

const LINES: &str = "log:\n  level: debug\ndrain:\n  balancer_lag: 100ms\n";
/// Each of them is told in a line; together they are more than a pipe holds.
const CONNECTIONS: usize = 2000;
/// So long that no case ends by it.
const PATIENCE: Duration = Duration::from_secs(30);

/// Guards against a daemon that stands still with all its callers: the reader of its log did.
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_holds_nothing_up() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let program = RunningProgram::start_unread(&platform.settings_file(LINES));
    configure(program.admin, &configuration()).await;
    wait_until_served(program.callers, "before").await;
    for _ in 0..CONNECTIONS {
        let connected = timeout(PATIENCE, TcpStream::connect(program.admin)).await;
        drop(connected.expect("it answers").expect("it listens"));
    }
    let served = timeout(PATIENCE, order(program.callers, "after")).await;
    assert_eq!(served, Ok(CallerOutcome::Whole));
    program.terminate();
    let ended = timeout(PATIENCE, spawn_blocking(|| program.wait())).await;
    let (code, _) = ended.expect("it ends").expect("it ended");
    assert_eq!(code, Some(0));
}
