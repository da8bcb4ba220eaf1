//! Tests of the exit code and the printed message of `jbctl` for successful, refused, lost and invalid calls, against a
//! server that returns a fixed response.

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

const VALID_CONFIGURATION: &str = "\
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

/// Server that accepts one connection, sends a fixed response and records the request.
struct FixedResponseServer {
    address: String,
    request: thread::JoinHandle<String>,
}

impl FixedResponseServer {
    fn new(status: &str, body: &str) -> Self {
        let length = body.len();
        Self::with_raw_response(format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
    }

    fn with_raw_response(answer: String) -> Self {
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

    fn received_request(self) -> String {
        self.request.join().expect("a request")
    }
}

/// Reads a whole request: if the server closed its socket with bytes unread, a TCP reset could cut off the response.
fn read_request(stream: &mut TcpStream) -> String {
    let mut request = String::new();
    let mut buffer = [0; 4096];
    while !is_complete(&request) {
        let length = stream.read(&mut buffer).expect("a request");
        request.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    request
}

fn is_complete(request: &str) -> bool {
    let Some((request_head, body)) = request.split_once("\r\n\r\n") else {
        return false;
    };
    let length = request_head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    body.len() >= length.map_or(0, |length| length.parse().expect("a length"))
}

fn run_jbctl(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jbctl"));
    command.args(arguments).output().expect("the program")
}

/// A file in the temporary directory that is removed on drop.
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

fn assert_exit(output: &Output, code: i32, expected_text: &str) {
    let stdout = String::from_utf8_lossy(&output.stdout);
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{stdout}{stderr}");
    assert!(
        stdout.contains(expected_text) || stderr.contains(expected_text),
        "{stdout}{stderr}"
    );
}

#[test]
fn a_change_exits_with_the_code_of_its_outcome() {
    let cases = [
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
    for (status, body, code, expected_text) in cases {
        let server = FixedResponseServer::new(status, body);
        let output = run_jbctl(&["domain", "out", "a", "--address", &server.address]);
        assert_exit(&output, code, expected_text);
        assert!(
            server
                .received_request()
                .starts_with("POST /v1/domains/a/out?force=false ")
        );
    }
}

/// Guards against reporting a change as refused when its outcome is unknown: the daemon terminates after it read the
/// request, with no response or part of one sent. The exit code must be 3, not 1.
#[test]
fn a_lost_answer_to_a_change_is_reported_as_unknown() {
    let truncated_response =
        "HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"outcome\":\"acc".to_owned();
    for answer in [String::new(), truncated_response] {
        let server = FixedResponseServer::with_raw_response(answer);
        let output = run_jbctl(&["--address", &server.address, "job", "cancel", "7"]);
        assert_exit(&output, 3, "may or may not take effect");
    }
}

#[test]
fn an_unreachable_daemon_is_distinguished_from_a_refusal() {
    // A socket that is bound and not listening refuses connections, and no other process can take its port.
    let socket = TcpSocket::new_v4().expect("a socket");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(any).expect("a free port");
    let address = socket.local_addr().expect("an address").to_string();
    let output = run_jbctl(&["--address", &address, "domain", "in", "a"]);
    assert_exit(&output, 3, "does not answer");
}

#[test]
fn wrong_usage_sends_nothing() {
    let invalid_file = &TemporaryFile::new(
        "bad.yaml",
        &VALID_CONFIGURATION.replace("answer_within", "finish_within"),
    );
    let invalid_file = invalid_file.path();
    let unknown_key_file = &TemporaryFile::new("unknown.yaml", "weights: 1\n");
    let unknown_key_file = unknown_key_file.path();
    let cases: &[(&[&str], &str)] = &[
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
            &["config", "put", invalid_file],
            "a service class takes `answer_within`",
        ),
        (
            &["config", "check", unknown_key_file],
            "unknown field `weights`",
        ),
        (&["status", "--token-file", "/no/such"], "cannot be read"),
        (&["status", "--ca-file", "/no/such"], "does not fit"),
    ];
    for (arguments, expected_text) in cases {
        assert_exit(&run_jbctl(arguments), 2, expected_text);
    }
}

#[test]
fn config_put_sends_the_version_of_the_file_as_if_match() {
    let valid_file = &TemporaryFile::new("good.yaml", VALID_CONFIGURATION);
    let valid_file = valid_file.path();
    let server = FixedResponseServer::new("200 OK", r#"{"outcome":"accepted","version":4}"#);
    let output = run_jbctl(&["--address", &server.address, "config", "put", valid_file]);
    assert_exit(&output, 0, "version 4");
    assert!(server.received_request().contains("if-match: \"3\""));
    assert_exit(&run_jbctl(&["config", "check", valid_file]), 0, "in order");
}

#[test]
fn read_responses_are_printed_as_yaml_or_json() {
    let body = r#"{"ready":true,"configuration":3}"#;
    for (format, expected_text) in [("text", "ready: true\n"), ("json", body)] {
        let server = FixedResponseServer::new("200 OK", body);
        let output = run_jbctl(&["--address", &server.address, "status", "--output", format]);
        assert_exit(&output, 0, expected_text);
    }
    let server =
        FixedResponseServer::new("404 No", r#"{"outcome":"not_accepted","reason":"no job"}"#);
    let output = run_jbctl(&["--address", &server.address, "job", "status", "7"]);
    assert_exit(&output, 1, "no job");
}

#[test]
fn job_list_options_become_query_parameters() {
    let cases: &[(&[&str], &str)] = &[
        (&[], "GET /v1/jobs "),
        (&["--limit", "5"], "GET /v1/jobs?limit=5 "),
        (&["--after", "1f"], "GET /v1/jobs?after=1f "),
        (
            &["--limit", "5", "--after", "1f"],
            "GET /v1/jobs?limit=5&after=1f ",
        ),
    ];
    for (options, request_start) in cases {
        let server = FixedResponseServer::new("200 OK", r#"{"jobs":[],"after":"2e"}"#);
        let mut arguments = vec!["--address", server.address.as_str(), "job", "list"];
        arguments.extend(*options);
        assert_exit(&run_jbctl(&arguments), 0, "after: 2e");
        assert!(
            server.received_request().starts_with(request_start),
            "{request_start}"
        );
    }
}

/// Guards against `config get` printing YAML that `config put` parses differently or refuses, for example an unquoted
/// `yes` or `01`. The configuration sent must equal the printed one and name its version in `If-Match`.
#[test]
fn a_printed_configuration_can_be_put_back() {
    let body = r#"{"version":7,"domains":[{"name":"a","region":"north","state":"out"}],
        "classes":[{"name":"quotes","kind":"service","target":{"answer_within":"200ms"},
        "service":"shop","route":{"host":null,"path_prefix":"/quotes"},"idempotency":"never"},
        {"name":"yes","kind":"batch","target":{"finish_within":"1h 30m"},"service":null,
        "route":null,"idempotency":"by_method"}],
        "teams":[{"name":"01","limit":{"cpu_millis":1,"memory_mib":2,"accelerators":0}}]}"#;
    let server = FixedResponseServer::new("200 OK", body);
    let output = run_jbctl(&["--address", &server.address, "config", "get"]);
    let printed_configuration = String::from_utf8(output.stdout).expect("text");
    let printed_configuration = &TemporaryFile::new("printed.yaml", &printed_configuration);
    let server = FixedResponseServer::new("200 OK", r#"{"outcome":"accepted","version":8}"#);
    let output = run_jbctl(&[
        "--address",
        &server.address,
        "config",
        "put",
        printed_configuration.path(),
    ]);
    assert_exit(&output, 0, "version 8");
    let request = server.received_request();
    let (request_head, sent_body) = request.split_once("\r\n\r\n").expect("a body");
    assert!(request_head.contains("if-match: \"7\""), "{request_head}");
    let parse = |text: &str| serde_json::from_str::<Configuration>(text).expect("one");
    assert_eq!(parse(sent_body), parse(body));
}

#[test]
fn a_token_is_sent_as_bearer_token_and_hashed() {
    let token = &TemporaryFile::new("token", "secret\n");
    let token = token.path();
    let server = FixedResponseServer::new("200 OK", "{}");
    let output = run_jbctl(&[
        "--address",
        &server.address,
        "--token-file",
        token,
        "status",
    ]);
    assert_exit(&output, 0, "");
    assert!(
        server
            .received_request()
            .contains("authorization: Bearer secret\r\n")
    );
    let digest = blake3::hash(b"secret").to_string();
    assert_exit(&run_jbctl(&["token", "hash", token]), 0, &digest);
}
