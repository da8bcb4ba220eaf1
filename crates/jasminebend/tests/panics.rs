//! What a panic in one of the daemon's tasks does.

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

use jasminebend::end_on_panic;

const PAUSE: Duration = Duration::from_millis(20);
const MOST_LOOKS: usize = 1500;
/// Set in the process whose task panics.
const CHILD: &str = "JASMINEBEND_TEST_PANIC";

/// Tasks of one worker lapse every five seconds though it is well and its owner answers: the owner's loop for that
/// worker had panicked, and the rest of the process went on.
#[test]
fn a_panic_in_a_task_ends_the_process() {
    if env::var_os(CHILD).is_some() {
        end_on_panic();
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
        .env(CHILD, "1")
        .output()
        .expect("it runs");
    assert_eq!(child.status.code(), Some(101));
    let told = String::from_utf8_lossy(&child.stderr);
    assert!(told.contains("a task's fault"), "{told}");
}

/// Guards against a process that stays, half alive, after a panic: the reader of its errors stood still.
#[test]
fn a_panic_ends_the_process_though_nobody_reads_its_errors() {
    if env::var_os(CHILD).is_some() {
        end_on_panic();
        thread::spawn(|| while io::stderr().write_all(&[b'x'; 1024]).is_ok() {});
        thread::sleep(Duration::from_secs(1));
        panic!("a task's fault");
    }
    let test = env::current_exe().expect("a test has a path");
    let mut child = Command::new(test)
        .args([
            "--exact",
            "a_panic_ends_the_process_though_nobody_reads_its_errors",
            "--nocapture",
        ])
        .env(CHILD, "1")
        .stderr(Stdio::piped())
        .spawn()
        .expect("it runs");
    for _ in 0..MOST_LOOKS {
        if let Some(status) = child.try_wait().expect("a child") {
            assert_eq!(status.code(), Some(101));
            return;
        }
        thread::sleep(PAUSE);
    }
    child.kill().expect("it is there");
    panic!("it never ended");
}
