//! A bad first configuration is told by its line, and nothing is sent.

use std::{
    fs,
    process::Command, //
};

const GOOD: &str = "\
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

/// A piece of the good file, its replacement, and what the sentence holds: its place and its cause.
const TABLE: &[(&str, &str, &[&str])] = &[
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
fn each_fault_is_told_with_its_line() {
    let name = format!("jbctl-bad-configuration-{}.yaml", std::process::id());
    let file = std::env::temp_dir().join(name);
    let run = |command: &str, text: &str| {
        fs::write(&file, text).expect("a file");
        let mut program = Command::new(env!("CARGO_BIN_EXE_jbctl"));
        // Nothing listens there: a request that is sent would end with code 3.
        program.args(["--address", "127.0.0.1:1", "config", command]);
        let output = program.arg(&file).output().expect("the program");
        let told = String::from_utf8(output.stderr).expect("text");
        (output.status.code(), told)
    };
    assert_eq!(run("check", GOOD).0, Some(0));
    for (piece, replacement, words) in TABLE {
        assert!(GOOD.contains(piece), "{piece}");
        let bad = GOOD.replacen(piece, replacement, 1);
        for command in ["put", "check"] {
            let (code, told) = run(command, &bad);
            assert_eq!(code, Some(2), "{told}");
            assert_eq!(told.lines().count(), 1, "{told}");
            for word in *words {
                assert!(told.contains(word), "{word}\n{told}");
            }
        }
    }
    fs::remove_file(&file).expect("the file");
}
