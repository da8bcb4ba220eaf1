//! Secrets and logs of the real program.

use std::time::Duration;

use http::{
    Method,
    StatusCode, //
};
use tokio::task::spawn_blocking;

use crate::{
    caller::{
        plain,
        until, //
    },
    platform::TestPlatform,
    program::{
        RunningProgram,
        run, //
    }, //
};

/// Operators replace the key that daemons share, step by step, and one step has a slip. Neither may
/// take a restart, and the slip must not lock the daemon out. A terminal that closes sends SIGHUP;
/// that must not end the daemon either.
#[tokio::test(flavor = "multi_thread")]
async fn the_peer_key_is_replaced_while_the_program_runs() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let program = RunningProgram::start(&platform.settings_file("drain:\n  balancer_lag: 0s\n"));
    platform.write(
        "peer.key",
        "a secret of the tests\na new secret of the tests\n",
    );
    until("a new key", async || {
        program.has_logged("peer.key was replaced")
    })
    .await;
    platform.write("peer.key", "short\n");
    until("a refused key", async || {
        program.has_logged("the old one stays")
    })
    .await;
    program.hang_up();
    until("a signal heard", async || {
        program.has_logged("SIGHUP changes nothing")
    })
    .await;
    let alive = plain(program.admin, Method::GET, "/healthz", &[], "").await;
    assert_eq!(alive, StatusCode::OK);
    program.terminate();
    let (code, log) = spawn_blocking(move || program.wait()).await.unwrap();
    assert_eq!(code, Some(0), "{log:#?}");
    assert!(!log.iter().any(|line| line.contains("secret of the tests")));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_is_one_json_object_a_line_with_the_parts_prefix() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let lines = "log:\n  format: json\n  level: debug\ndrain:\n  balancer_lag: 0s\n";
    let program = RunningProgram::start(&platform.settings_file(lines));
    program.terminate();
    let (code, log) = spawn_blocking(move || program.wait()).await.unwrap();
    assert_eq!(code, Some(0), "{log:#?}");
    for line in &log {
        let line: serde_json::Value = serde_json::from_str(line).expect(line);
        let payload = line["payload"].as_str().expect("a payload");
        assert!(payload.starts_with('['), "{payload}");
        assert!(payload.trim_end().ends_with('.'), "{payload}");
    }
    assert!(log.len() > 3, "{log:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_check_reads_the_named_files_too() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let settings = platform.settings_file("");
    let check = || {
        let output = run(&["check", settings.to_str().expect("a path")]);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8_lossy(&text).into_owned();
        (output.status.code(), text)
    };
    let (code, text) = check();
    assert_eq!(code, Some(0), "{text}");
    platform.write("peer.key", "short\n");
    let (code, text) = check();
    assert_eq!(code, Some(2), "{text}");
    assert!(
        text.contains("`peers.key_file`: the peer key is too short"),
        "{text}"
    );
}
