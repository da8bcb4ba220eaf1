//! What a panic in one of the daemon's tasks does.

use std::{
    env,
    process::Command,
    thread,
    time::Duration, //
};

use jasminebend::end_on_panic;

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
