//! A panic in one of the daemon's tasks ends the process.

use std::{
    env,
    io::{
        self,
        Write, //
    },
    process::{
        Command,
        Stdio, //
    },
    thread,
    time::Duration, //
};

use jasminebend::exit_on_panic;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: usize = 1500;
/// Set in the process whose task panics.
const CHILD_VARIABLE: &str = "JASMINEBEND_TEST_PANIC";

/// Guards against a process that goes on after a panic in one task. If the owner's loop for one worker panics, that
/// worker's tasks lapse every five seconds although the worker is healthy and the owner answers.
#[test]
fn a_panic_in_a_task_ends_the_process() {
    if env::var_os(CHILD_VARIABLE).is_some() {
        exit_on_panic();
        let task = thread::spawn(|| panic!("a task's fault"));
        drop(task.join());
        thread::sleep(Duration::from_secs(1));
        // Not reached unless the process outlives its task.
        std::process::exit(0);
    }
    let test = env::current_exe().expect("a test has a path");
    let child = Command::new(test)
        .args([
            "--exact",
            "a_panic_in_a_task_ends_the_process",
            "--nocapture",
        ])
        .env(CHILD_VARIABLE, "1")
        .output()
        .expect("it runs");
    assert_eq!(child.status.code(), Some(101));
    let stderr = String::from_utf8_lossy(&child.stderr);
    assert!(stderr.contains("a task's fault"), "{stderr}");
}

/// Guards against a process that goes on after a panic because the panic message cannot be written: its standard error
/// is a full pipe that is not read.
#[test]
fn a_panic_ends_the_process_when_stderr_is_not_read() {
    if env::var_os(CHILD_VARIABLE).is_some() {
        exit_on_panic();
        thread::spawn(|| while io::stderr().write_all(&[b'x'; 1024]).is_ok() {});
        thread::sleep(Duration::from_secs(1));
        panic!("a task's fault");
    }
    let test = env::current_exe().expect("a test has a path");
    let mut child = Command::new(test)
        .args([
            "--exact",
            "a_panic_ends_the_process_when_stderr_is_not_read",
            "--nocapture",
        ])
        .env(CHILD_VARIABLE, "1")
        .stderr(Stdio::piped())
        .spawn()
        .expect("it runs");
    for _ in 0..MAX_POLLS {
        if let Some(status) = child.try_wait().expect("a child") {
            assert_eq!(status.code(), Some(101));
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    child.kill().expect("it is there");
    panic!("it never ended");
}
