//! Secret files and the log of the program.

use std::time::Duration;

use http::{
    Method,
    StatusCode, //
};
use tokio::task::spawn_blocking;

use crate::{
    caller::{
        request_status,
        wait_until, //
    },
    platform::TestPlatform,
    program::{
        RunningProgram,
        run, //
    }, //
};

/// Operators replace the key that daemons share, first by a valid file and then by an invalid one. The valid file must
/// be applied without a restart, and the invalid one must not stop the daemon. SIGHUP, which a closing terminal sends,
/// must not end the daemon either.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_peer_key_is_reloaded() {
    let platform = TestPlatform::start(Duration::from_millis(1)).await;
    let program = RunningProgram::start(&platform.settings_file("drain:\n  balancer_lag: 0s\n"));
    platform.write(
        "peer.key",
        "a secret of the tests\na new secret of the tests\n",
    );
    wait_until("a new key", async || {
        program.has_logged("peer.key was replaced")
    })
    .await;
    platform.write("peer.key", "short\n");
    wait_until("a refused key", async || {
        program.has_logged("the old one stays")
    })
    .await;
    program.hang_up();
    wait_until("a logged signal", async || {
        program.has_logged("SIGHUP changes nothing")
    })
    .await;
    let alive = request_status(program.admin, Method::GET, "/healthz", &[], "").await;
    assert_eq!(alive, StatusCode::OK);
    program.terminate();
    let (code, log) = spawn_blocking(move || program.wait()).await.unwrap();
    assert_eq!(code, Some(0), "{log:#?}");
    assert!(!log.iter().any(|line| line.contains("secret of the tests")));
}

#[tokio::test(flavor = "multi_thread")]
async fn json_log_lines_are_objects_whose_payload_has_a_part_prefix() {
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
async fn check_reads_the_named_files() {
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
