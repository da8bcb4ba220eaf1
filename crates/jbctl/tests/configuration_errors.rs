//! Tests that `config put` and `config check` reject an invalid configuration file with one line that names the fault
//! and its line number, and that `config put` sends no request for it.

use std::{
    fs,
    process::Command, //
};

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
  - name: nightly
    kind: batch
    target: {finish_within: 5h}
teams:
  - name: benches
    limit: {cpu_millis: 1, memory_mib: 2, accelerators: 0}
";

/// A part of the valid file, its replacement, and the parts of the expected error message: line number and cause.
const INVALID_EDITS: &[(&str, &str, &[&str])] = &[
    (
        "    service: shop",
        "    weight: 3\n    service: shop",
        &["at line 8,", "unknown field `weight`"],
    ),
    (
        "version: 3",
        "weights: 3",
        &["at line 1,", "unknown field `weights`"],
    ),
    (
        "200ms",
        "200",
        &[
            "at line 7,",
            "\"200\", expected a duration",
            "; give a time with its unit, such as `200ms`",
        ],
    ),
    (
        "200ms",
        "200 MiB",
        &[
            "at line 7,",
            "\"200 MiB\", expected a duration",
            "; give a time with its unit, such as `200ms`",
        ],
    ),
    (
        "200ms",
        "0s",
        &["line 7: class `quotes`: the target must be longer than zero"],
    ),
    (
        "answer_within",
        "finish_within",
        &["line 7: class `quotes`: a service class takes `answer_within`, a batch class"],
    ),
    (
        "finish_within",
        "answer_within",
        &["line 12: class `nightly`: a service class takes `answer_within`, a batch class"],
    ),
    (
        "answer_within",
        "weight",
        &["at line 7,", "unknown variant `weight`"],
    ),
    (
        "kind: batch",
        "kind: btch",
        &["at line 11,", "unknown variant `btch`"],
    ),
    (
        "name: nightly",
        "name: quotes",
        &["line 10: the class `quotes` is declared twice; give each its own name"],
    ),
    (
        "classes:\n",
        "  - {name: b, region: north}\n  - {name: a, region: south}\nclasses:\n",
        &["line 5: the failure domain `a` is declared twice"],
    ),
    (
        "teams:\n",
        "teams:\n  - {name: benches, limit: {cpu_millis: 1, memory_mib: 2, accelerators: 0}}\n",
        &["line 15: the team `benches` is declared twice"],
    ),
    (
        "name: nightly",
        "name: \"\"",
        &["line 10: a class has an empty name"],
    ),
    (
        "/quotes",
        "quotes",
        &["line 5: class `quotes`: `path_prefix` must begin with `/`"],
    ),
    (
        "    service: shop\n",
        "",
        &["line 5: class `quotes`: a service class needs `service` and `route`"],
    ),
    (
        "version: 3\n",
        "version: 3\nversion: 4\n",
        &["line 2: the key `version` is given twice; give it once"],
    ),
];

#[test]
fn each_fault_is_reported_with_its_line() {
    let name = format!("jbctl-bad-configuration-{}.yaml", std::process::id());
    let file = std::env::temp_dir().join(name);
    let run_config_command = |command: &str, text: &str| {
        fs::write(&file, text).expect("a file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_jbctl"));
        // No server listens on this port: a request would fail with exit code 3.
        program.args(["--address", "127.0.0.1:1", "config", command]);
        let output = program.arg(&file).output().expect("the program");
        let stderr = String::from_utf8(output.stderr).expect("text");
        (output.status.code(), stderr)
    };
    assert_eq!(run_config_command("check", VALID_CONFIGURATION).0, Some(0));
    for (original, replacement, message_parts) in INVALID_EDITS {
        assert!(VALID_CONFIGURATION.contains(original), "{original}");
        let invalid_configuration = VALID_CONFIGURATION.replacen(original, replacement, 1);
        for command in ["put", "check"] {
            let (code, stderr) = run_config_command(command, &invalid_configuration);
            assert_eq!(code, Some(2), "{stderr}");
            assert_eq!(stderr.lines().count(), 1, "{stderr}");
            for message_part in *message_parts {
                assert!(stderr.contains(message_part), "{message_part}\n{stderr}");
            }
        }
    }
    fs::remove_file(&file).expect("the file");
}
