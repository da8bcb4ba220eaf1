//! Fuzz tests of the parsers of settings, tokens and configurations, with fixed seeds.

use arbtest::{
    arbitrary::Unstructured,
    arbtest, //
};
use jasminebend::{
    DaemonSettings,
    TokenTable, //
};
use tokio::runtime::Builder;

use crate::harness::{
    AdminHarness,
    HttpRequest,
    settings, //
};

const SEED_COUNT: u64 = 300;
/// The size of the random data of a seed, in bytes.
const RANDOM_DATA_BYTES: u64 = 256;

/// Tokens of YAML and JSON texts that a mistake or an attacker could combine.
const FRAGMENTS: &[&str] = &[
    "{",
    "}",
    "[",
    "]",
    ":",
    ",",
    "\"",
    "\n",
    "  ",
    "- ",
    "domains",
    "classes",
    "version",
    "name",
    "listen",
    "callers",
    "seats",
    "&a",
    "*a",
    "<<",
    "null",
    "1e999",
    "-1",
    "\u{0}",
    "é",
    "out",
    "target",
    "answer_within",
    "200ms",
    "!!binary",
    "|",
    ">",
    "#",
    "true",
    "127.0.0.1:1",
];

fn random_text(source: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<String> {
    let mut text = String::new();
    while !source.is_empty() {
        text.push_str(source.choose(FRAGMENTS)?);
    }
    Ok(text)
}

fn for_each_seed(mut check: impl FnMut(&str)) {
    for seed in 0..SEED_COUNT {
        let run = |source: &mut Unstructured<'_>| {
            check(&random_text(source)?);
            Ok(())
        };
        arbtest(run).seed(seed << 32 | RANDOM_DATA_BYTES).run();
    }
}

#[test]
fn fuzzed_settings_and_tokens_are_rejected() {
    for_each_seed(|text| {
        let error = DaemonSettings::from_yaml(text).expect_err(text).to_string();
        assert!(error.starts_with("line "), "{error}");
        TokenTable::from_yaml(text).expect_err(text);
    });
}

#[test]
fn fuzzed_configurations_change_nothing() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let harness = runtime.block_on(AdminHarness::start(&settings()));
    for_each_seed(|text| {
        let call = HttpRequest::new(http::Method::PUT, "/v1/configuration")
            .with_header("if-match", "\"0\"")
            .with_body(text);
        let answer = runtime.block_on(harness.call(call));
        assert_eq!(answer.status.as_u16(), 400, "{text} {answer:?}");
    });
    assert_eq!(harness.control.change_count(), 0);
}
