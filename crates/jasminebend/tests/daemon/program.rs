//! The real program as a process of its own.

use std::{
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

/// How many addresses the program tells as it starts.
const ADDRESSES: usize = 2;

/// The real program, started on a settings file, with what it logs.
pub(crate) struct RunningProgram {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    pub(crate) callers: SocketAddr,
    pub(crate) admin: SocketAddr,
}

impl RunningProgram {
    /// Starts the program, and reads from its log where it listens.
    pub(crate) fn start(settings: &Path) -> Self {
        Self::start_read_until(settings, |_| false)
    }

    /// Starts the program, and reads no more of its log than where it listens. The log's pipe stays open.
    pub(crate) fn start_unread(settings: &Path) -> Self {
        Self::start_read_until(settings, |told| told == ADDRESSES)
    }

    fn start_read_until(settings: &Path, is_enough: fn(usize) -> bool) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jasminebend"))
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
            let mut told = 0;
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                if let Some((_, rest)) = line.split_once(" are served on ") {
                    let end = rest.find(['"', ' ']).unwrap_or(rest.len());
                    drop(sender.send(rest[..end].trim_end_matches('.').to_owned()));
                    told += 1;
                }
                written.lock().expect("a log").push(line);
                while is_enough(told) {
                    thread::park();
                }
            }
        });
        let next = || {
            let address = addresses.recv().expect("a started program");
            address.parse().expect("an address")
        };
        let callers = next();
        let admin = next();
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

    /// Stands the process still.
    pub(crate) fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Lets a paused process go on; does nothing to another.
    pub(crate) fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Tells whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    /// Tells whether a line with these words is in the log so far.
    pub(crate) fn has_logged(&self, words: &str) -> bool {
        let log = self.log.lock().expect("a log");
        log.iter().any(|line| line.contains(words))
    }

    fn signal(&self, signal: i32) {
        let process = i32::try_from(self.child.id()).expect("a process");
        // SAFETY: The call only sends a signal to the child, which is not waited for yet, so that
        // its number cannot belong to another process.
        let sent = unsafe { libc::kill(process, signal) };
        assert_eq!(sent, 0);
    }

    /// Waits for the end, and returns the exit code and the log.
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

/// Runs the program to its end.
pub(crate) fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jasminebend"));
    command.args(arguments).output().expect("the program")
}
