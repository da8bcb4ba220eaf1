//! A daemon whose log is not read.

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
        send_order,
        wait_until_served, //
    },
    platform::{
        TestPlatform,
        configuration, //
    },
    program::RunningProgram, //
};

const SETTINGS_LINES: &str = "log:\n  level: debug\ndrain:\n  balancer_lag: 100ms\n";
/// Each connection is logged in a line; together the lines exceed the capacity of a pipe.
const CONNECTION_COUNT: usize = 2000;
/// Long enough that a passing test never reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against a daemon that blocks, and its callers with it, because the reader of its log is blocked.
#[tokio::test(flavor = "multi_thread")]
async fn an_unread_log_does_not_block_the_daemon() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let program = RunningProgram::start_unread(&platform.settings_file(SETTINGS_LINES));
    configure(program.admin, &configuration()).await;
    wait_until_served(program.callers, "before").await;
    for _ in 0..CONNECTION_COUNT {
        let connected = timeout(TEST_TIMEOUT, TcpStream::connect(program.admin)).await;
        drop(connected.expect("it answers").expect("it listens"));
    }
    let served = timeout(TEST_TIMEOUT, send_order(program.callers, "after")).await;
    assert_eq!(served, Ok(CallerOutcome::Whole));
    program.terminate();
    let ended = timeout(TEST_TIMEOUT, spawn_blocking(|| program.wait())).await;
    let (code, _) = ended.expect("it ends").expect("it ended");
    assert_eq!(code, Some(0));
}
