//! The program `jasminebend` as a separate process.

use std::{
    ffi::OsString,
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::Path,
    process::{
        Child,
        Command,
        Output,
        Stdio, //
    },
    sync::{
        Arc,
        Mutex,
        mpsc, //
    },
    thread, //
};

/// The number of addresses that the program logs when it starts.
const LOGGED_ADDRESS_COUNT: usize = 2;

/// A running daemon process and the log lines read from it.
pub(crate) struct RunningProgram {
    pub(crate) child: Child,
    log: Arc<Mutex<Vec<String>>>,
    pub(crate) callers: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// Returns the path of the program: that which `JASMINEBEND_SOAK_PROGRAM` names, or the one built with this test.
fn program_path() -> OsString {
    let built = || env!("CARGO_BIN_EXE_jasminebend").into();
    std::env::var_os("JASMINEBEND_SOAK_PROGRAM").unwrap_or_else(built)
}

impl RunningProgram {
    /// Starts the program with a settings file, and reads its addresses from its log.
    pub(crate) fn start(settings: &Path) -> Self {
        Self::start_read_until(settings, |_| false)
    }

    /// Starts the program, and stops reading its log after the addresses. The log's pipe stays open.
    pub(crate) fn start_unread(settings: &Path) -> Self {
        Self::start_read_until(settings, |logged| logged == LOGGED_ADDRESS_COUNT)
    }

    /// Starts the program, and reads its log until `is_enough` returns true for the number of addresses read.
    fn start_read_until(settings: &Path, is_enough: fn(usize) -> bool) -> Self {
        let mut child = Command::new(program_path())
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program");
        let stderr = child.stderr.take().expect("a pipe");
        let log = Arc::new(Mutex::new(Vec::new()));
        let (sender, addresses) = mpsc::channel();
        let written = Arc::clone(&log);
        thread::spawn(move || {
            let mut address_count = 0;
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some((_, rest)) = line.split_once(" are served on ") {
                    let end = rest.find(['"', ' ']).unwrap_or(rest.len());
                    drop(sender.send(rest[..end].trim_end_matches('.').to_owned()));
                    address_count += 1;
                }
                written.lock().expect("a log").push(line);
                while is_enough(address_count) {
                    thread::park();
                }
            }
        });
        let next_address = || {
            let address = addresses.recv().expect("a started program");
            address.parse().expect("an address")
        };
        let callers = next_address();
        let admin = next_address();
        Self {
            child,
            log,
            callers,
            admin,
        }
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Sends SIGHUP.
    pub(crate) fn hang_up(&self) {
        self.signal(libc::SIGHUP);
    }

    /// Pauses the process with SIGSTOP.
    pub(crate) fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a paused process; has no effect on a running one.
    pub(crate) fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Returns whether the process has exited.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    /// Returns whether a log line read so far contains `text`.
    pub(crate) fn has_logged(&self, text: &str) -> bool {
        let log = self.log.lock().expect("a log");
        log.iter().any(|line| line.contains(text))
    }

    fn signal(&self, signal: i32) {
        let process = i32::try_from(self.child.id()).expect("a process");
        // SAFETY: The call only sends a signal to the child, which has not been waited for yet, so its process ID
        // cannot belong to another process.
        let sent = unsafe { libc::kill(process, signal) };
        assert_eq!(sent, 0);
    }

    /// Waits until the process exits, and returns the exit code and the log.
    pub(crate) fn wait(mut self) -> (Option<i32>, Vec<String>) {
        let status = self.child.wait().expect("an end");
        let log = self.log.lock().expect("a log").clone();
        (status.code(), log)
    }
}

impl Drop for RunningProgram {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Runs the program until it exits.
pub(crate) fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jasminebend"));
    command.args(arguments).output().expect("the program")
}
