//! What an operator reads, and the exit code a script sees, for every way a call can end.

use std::{
    fs,
    io::{
        Read,
        Write, //
    },
    net::{
        Shutdown,
        SocketAddr,
        TcpListener,
        TcpStream, //
    },
    path::PathBuf,
    process::{
        Command,
        Output, //
    },
    thread, //
};

use jasminebend_base::Configuration;
use tokio::net::TcpSocket;

const CONFIGURATION: &str = "\
version: 3
domains:
  - {name: a, region: north}
classes:
  - name: quotes
    kind: service
    target: {answer_within: 200ms}
    service: shop
    route: {path_prefix: /quotes}
";

/// Answers one connection with these bytes, and returns the request's head.
struct CannedDaemon {
    address: String,
    request: thread::JoinHandle<String>,
}

impl CannedDaemon {
    fn new(status: &str, body: &str) -> Self {
        let length = body.len();
        Self::with_bytes(format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
    }

    fn with_bytes(answer: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let request = thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let request = read_request(&mut stream);
            stream.write_all(answer.as_bytes()).expect("an answer");
            stream.shutdown(Shutdown::Write).expect("a connection");
            request
        });
        Self { address, request }
    }

    fn head(self) -> String {
        self.request.join().expect("a request")
    }
}

/// Reads a request to its end: an answer to half of one could be cut off by a reset.
fn read_request(stream: &mut TcpStream) -> String {
    let mut request = String::new();
    let mut piece = [0; 4096];
    while !is_whole(&request) {
        let length = stream.read(&mut piece).expect("a request");
        request.push_str(&String::from_utf8_lossy(&piece[..length]));
    }
    request
}

fn is_whole(request: &str) -> bool {
    let Some((head, body)) = request.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |length| length.parse().expect("a length"))
}

fn jbctl(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jbctl"));
    command.args(arguments).output().expect("the program")
}

/// A file that goes away with its test.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(name: &str, content: &str) -> Self {
        let name = format!("jbctl-test-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, content).expect("a file");
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().expect("a path in Unicode")
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        drop(fs::remove_file(&self.0));
    }
}

fn assert_ends(output: &Output, code: i32, words: &str) {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{stdout}{stderr}");
    assert!(
        stdout.contains(words) || stderr.contains(words),
        "{stdout}{stderr}"
    );
}

#[test]
fn a_change_ends_as_the_daemon_says() {
    let table = [
        (
            "200 OK",
            r#"{"outcome":"accepted","version":4}"#,
            0,
            "version 4",
        ),
        (
            "409 Conflict",
            r#"{"outcome":"not_accepted","reason":"all out"}"#,
            1,
            "all out",
        ),
        (
            "401 Unauthorized",
            r#"{"outcome":"not_accepted","reason":"token"}"#,
            1,
            "token",
        ),
        (
            "503 Slow",
            r#"{"outcome":"not_accepted","reason":"later"}"#,
            1,
            "later",
        ),
        (
            "504 Timeout",
            r#"{"outcome":"unknown","find_out":"read it"}"#,
            3,
            "read it",
        ),
        ("200 OK", "nonsense", 3, "before you try again"),
        ("502 Bad Gateway", "", 3, "before you try again"),
    ];
    for (status, body, code, words) in table {
        let daemon = CannedDaemon::new(status, body);
        let output = jbctl(&["domain", "out", "a", "--address", &daemon.address]);
        assert_ends(&output, code, words);
        assert!(
            daemon
                .head()
                .starts_with("POST /v1/domains/a/out?force=false ")
        );
    }
}

/// The daemon dies between the request and its answer. The operator must not read that nothing was
/// changed, and a script must see a code of its own.
#[test]
fn a_lost_answer_to_a_change_is_unknown() {
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"outcome\":\"acc".to_owned();
    for answer in [String::new(), cut] {
        let daemon = CannedDaemon::with_bytes(answer);
        let output = jbctl(&["--address", &daemon.address, "job", "cancel", "7"]);
        assert_ends(&output, 3, "may or may not take effect");
    }
}

#[test]
fn no_answer_at_all_is_told_apart_from_a_refusal() {
    // Bound and not listening, the port refuses connections and is no other process's.
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a free port");
    let address = socket.local_addr().expect("an address").to_string();
    let output = jbctl(&["--address", &address, "domain", "in", "a"]);
    assert_ends(&output, 3, "does not answer");
}

#[test]
fn wrong_usage_sends_nothing() {
    let bad = &TemporaryFile::new(
        "bad.yaml",
        &CONFIGURATION.replace("answer_within", "finish_within"),
    );
    let bad = bad.path();
    let unknown = &TemporaryFile::new("unknown.yaml", "weights: 1\n");
    let unknown = unknown.path();
    let table: &[(&[&str], &str)] = &[
        (&[], "nothing to do"),
        (&["domains"], "no command `domains`"),
        (&["domain", "out"], "`domain` takes"),
        (&["domain", "out", "a/b"], "`a/b` is not a name"),
        (&["job", "submit"], "`job submit` takes"),
        (
            &["status", "--force"],
            "`--force` goes with `domain out` alone",
        ),
        (
            &["status", "--limit", "5"],
            "`--limit` and `--after` go with `job list` alone",
        ),
        (&["job", "list", "--limit", "many"], "many"),
        (&["job", "list", "--after", "a&b"], "`a&b` is not a name"),
        (&["status", "--output", "xml"], "no output format `xml`"),
        (
            &["status", "--address", "entry-1"],
            "`entry-1` is not an address",
        ),
        (&["status", "--loud"], "--loud"),
        (&["config", "put", "/no/such.yaml"], "cannot be read"),
        (
            &["config", "put", bad],
            "a service class takes `answer_within`",
        ),
        (&["config", "check", unknown], "unknown field `weights`"),
        (&["status", "--token-file", "/no/such"], "cannot be read"),
        (&["status", "--ca-file", "/no/such"], "does not fit"),
    ];
    for (arguments, words) in table {
        assert_ends(&jbctl(arguments), 2, words);
    }
}

#[test]
fn a_configuration_is_put_by_the_version_it_was_made_from() {
    let good = &TemporaryFile::new("good.yaml", CONFIGURATION);
    let good = good.path();
    let daemon = CannedDaemon::new("200 OK", r#"{"outcome":"accepted","version":4}"#);
    let output = jbctl(&["--address", &daemon.address, "config", "put", good]);
    assert_ends(&output, 0, "version 4");
    assert!(daemon.head().contains("if-match: \"3\""));
    assert_ends(&jbctl(&["config", "check", good]), 0, "in order");
}

#[test]
fn readings_are_printed_as_yaml_or_json() {
    let body = r#"{"ready":true,"configuration":3}"#;
    for (format, words) in [("text", "ready: true\n"), ("json", body)] {
        let daemon = CannedDaemon::new("200 OK", body);
        let output = jbctl(&["--address", &daemon.address, "status", "--output", format]);
        assert_ends(&output, 0, words);
    }
    let daemon = CannedDaemon::new("404 No", r#"{"outcome":"not_accepted","reason":"no job"}"#);
    let output = jbctl(&["--address", &daemon.address, "job", "status", "7"]);
    assert_ends(&output, 1, "no job");
}

#[test]
fn jobs_are_listed_by_pages() {
    let table: &[(&[&str], &str)] = &[
        (&[], "GET /v1/jobs "),
        (&["--limit", "5"], "GET /v1/jobs?limit=5 "),
        (&["--after", "1f"], "GET /v1/jobs?after=1f "),
        (
            &["--limit", "5", "--after", "1f"],
            "GET /v1/jobs?limit=5&after=1f ",
        ),
    ];
    for (options, head) in table {
        let daemon = CannedDaemon::new("200 OK", r#"{"jobs":[],"after":"2e"}"#);
        let mut arguments = vec!["--address", daemon.address.as_str(), "job", "list"];
        arguments.extend(*options);
        assert_ends(&jbctl(&arguments), 0, "after: 2e");
        assert!(daemon.head().starts_with(head), "{head}");
    }
}

/// An operator prints the configuration, changes a target in an editor and puts it back. What was
/// printed must be a configuration that is taken, of the version that was read.
#[test]
fn a_printed_configuration_can_be_put_back() {
    let body = r#"{"version":7,"domains":[{"name":"a","region":"north","state":"out"}],
        "classes":[{"name":"quotes","kind":"service","target":{"answer_within":"200ms"},
        "service":"shop","route":{"host":null,"path_prefix":"/quotes"},"idempotency":"never"},
        {"name":"yes","kind":"batch","target":{"finish_within":"1h 30m"},"service":null,
        "route":null,"idempotency":"by_method"}],
        "teams":[{"name":"01","limit":{"cpu_millis":1,"memory_mib":2,"accelerators":0}}]}"#;
    let daemon = CannedDaemon::new("200 OK", body);
    let output = jbctl(&["--address", &daemon.address, "config", "get"]);
    let printed = String::from_utf8(output.stdout).expect("text");
    let printed = &TemporaryFile::new("printed.yaml", &printed);
    let daemon = CannedDaemon::new("200 OK", r#"{"outcome":"accepted","version":8}"#);
    let output = jbctl(&[
        "--address",
        &daemon.address,
        "config",
        "put",
        printed.path(),
    ]);
    assert_ends(&output, 0, "version 8");
    let sent = daemon.head();
    let (head, sent) = sent.split_once("\r\n\r\n").expect("a body");
    assert!(head.contains("if-match: \"7\""), "{head}");
    let parse = |text: &str| serde_json::from_str::<Configuration>(text).expect("one");
    assert_eq!(parse(sent), parse(body));
}

#[test]
fn a_token_is_sent_and_hashed_but_not_shown() {
    let token = &TemporaryFile::new("token", "secret\n");
    let token = token.path();
    let daemon = CannedDaemon::new("200 OK", "{}");
    let output = jbctl(&[
        "--address",
        &daemon.address,
        "--token-file",
        token,
        "status",
    ]);
    assert_ends(&output, 0, "");
    assert!(daemon.head().contains("authorization: Bearer secret\r\n"));
    let digest = blake3::hash(b"secret").to_string();
    assert_ends(&jbctl(&["token", "hash", token]), 0, &digest);
}
