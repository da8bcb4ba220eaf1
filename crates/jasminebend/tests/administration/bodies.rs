//! No body, however odd, gets past the checks or stops the daemon. The seeds are fixed.

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
    PlainCall,
    settings, //
};

const SEEDS: u64 = 300;
const SIZE: u64 = 256;

/// Pieces that a slip of the hand or an attacker would put together.
const PIECES: &[&str] = &[
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

fn compose(source: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<String> {
    let mut text = String::new();
    while !source.is_empty() {
        text.push_str(source.choose(PIECES)?);
    }
    Ok(text)
}

fn for_each_seed(mut check: impl FnMut(&str)) {
    for seed in 0..SEEDS {
        let run = |source: &mut Unstructured<'_>| {
            check(&compose(source)?);
            Ok(())
        };
        arbtest(run).seed(seed << 32 | SIZE).run();
    }
}

#[test]
fn settings_and_tokens_of_odd_pieces_are_told_as_wrong() {
    for_each_seed(|text| {
        let error = DaemonSettings::from_yaml(text).expect_err(text).to_string();
        assert!(error.starts_with("line "), "{error}");
        TokenTable::from_yaml(text).expect_err(text);
    });
}

#[test]
fn configurations_of_odd_pieces_change_nothing() {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let harness = runtime.block_on(AdminHarness::start(&settings()));
    for_each_seed(|text| {
        let call = PlainCall::new(http::Method::PUT, "/v1/configuration")
            .with_header("if-match", "\"0\"")
            .with_body(text);
        let answer = runtime.block_on(harness.call(call));
        assert_eq!(answer.status.as_u16(), 400, "{text} {answer:?}");
    });
    assert_eq!(harness.control.set_count(), 0);
}
