//! Every command line that the pages show is one that the programs take.

use std::ffi::OsString;

use jasminebend::CommandLine as DaemonLine;
use jbctl::CommandLine as OperatorLine;

const PAGES: &[(&str, &str)] = &[
    ("README.md", include_str!("../../../README.md")),
    (
        "docs/OPERATIONS.md",
        include_str!("../../../docs/OPERATIONS.md"),
    ),
    (
        "docs/ADMINISTRATION.md",
        include_str!("../../../docs/ADMINISTRATION.md"),
    ),
    (
        "docs/SETTINGS.md",
        include_str!("../../../docs/SETTINGS.md"),
    ),
    ("docs/JOBS.md", include_str!("../../../docs/JOBS.md")),
];
const ADMINISTRATION: &str = PAGES[2].1;

const MAKEFILE: &str = include_str!("../../../Makefile");
const DEMO: &str = "make demo DEMO_FLAGS=";

/// What each place in a command stands for, where the place itself would not parse.
const PLACES: &[(&str, &str)] = &[("N", "1"), ("IP:PORT", "127.0.0.1:9090")];

/// The code of a page: the lines of its code blocks, and the code within its text.
fn code(page: &str) -> Vec<String> {
    let mut fenced = false;
    let mut found = Vec::new();
    for line in page.lines() {
        if line.starts_with("```") {
            fenced = !fenced;
            continue;
        }
        if fenced || line.starts_with("    ") {
            found.push(line.split(" # ").next().unwrap_or(line).trim().to_owned());
            continue;
        }
        found.extend(line.split('`').skip(1).step_by(2).map(str::to_owned));
    }
    found
}

/// The commands of our programs in a page, also those that `make demo` is given flags for.
fn commands(page: &str) -> Vec<String> {
    let ours = |line: String| match line.strip_prefix(DEMO) {
        Some(flags) => Some(format!("jasminebend demo {}", flags.trim_matches('"'))),
        None if line.starts_with("jbctl ") || line.starts_with("jasminebend ") => Some(line),
        None => None,
    };
    code(page).into_iter().filter_map(ours).collect()
}

/// Spells out a synopsis: `text|json` becomes `text`, `[--force]` becomes `--force`.
fn words(command: &str) -> Vec<OsString> {
    let plain = |word: &str| {
        let word = word.trim_matches(['[', ']']);
        let word = word.split('|').next().unwrap_or(word);
        let place = PLACES.iter().find(|(place, _)| *place == word);
        place.map_or(word, |(_, value)| value).into()
    };
    command.split_whitespace().skip(1).map(plain).collect()
}

fn check(command: &str) -> Result<(), String> {
    let words = words(command);
    if command.starts_with("jasminebend ") {
        let line = DaemonLine::parse(words);
        return line.map(drop).map_err(|error| error.to_string());
    }
    let line = OperatorLine::parse(words);
    line.map(drop).map_err(|error| error.to_string())
}

/// The commands of jbctl's synopsis, which stand in columns under its options.
fn synopsis() -> Vec<String> {
    let (_, block) = ADMINISTRATION.split_once("COMMAND\n").expect("a synopsis");
    let (block, _) = block.split_once("```").expect("its end");
    let columns = block.split('\n').flat_map(|line| line.split("  "));
    let columns = columns.map(str::trim).filter(|command| !command.is_empty());
    columns.map(|command| format!("jbctl {command}")).collect()
}

#[test]
fn every_shown_command_parses() {
    let mut seen = 0;
    for (name, page) in PAGES {
        for command in commands(page) {
            // The head of the synopsis; its commands have a test of their own.
            let command = command.replace(" COMMAND", " status");
            assert_eq!(check(&command), Ok(()), "{name}: {command}");
            seen += 1;
        }
    }
    assert!(seen >= 10, "only {seen} commands were found");
}

#[test]
fn every_shown_target_of_make_exists() {
    let code = PAGES.iter().flat_map(|(_, page)| code(page));
    let made: Vec<String> = code.filter(|line| line.starts_with("make ")).collect();
    assert!(!made.is_empty());
    for line in made {
        let target = line.split_whitespace().nth(1).unwrap_or_default();
        assert!(MAKEFILE.contains(&format!("\n{target}:")), "{line}");
    }
}

#[test]
fn the_synopsis_is_the_help() {
    let shown = synopsis();
    for command in &shown {
        assert_eq!(check(command), Ok(()), "{command}");
    }
    let (_, help) = jbctl::HELP_TEXT.split_once("COMMAND\n").expect("a usage");
    let (help, _) = help.split_once("\n\n").expect("its end");
    for line in help.lines() {
        let command = line.trim().split("  ").next().unwrap_or_default();
        let command = command.replace("out|in", "out");
        assert!(shown.contains(&format!("jbctl {command}")), "{command}");
    }
}

#[test]
fn a_stale_command_would_be_told() {
    for command in [
        "jbctl job lst",
        "jbctl domain out",
        "jasminebend demo --fast",
    ] {
        assert!(check(command).is_err(), "{command}");
    }
    let page =
        "Text `jbctl job lst`.\n\n    jbctl status   # why\n\n```sh\njasminebend demo\n```\n";
    let expected = ["jbctl job lst", "jbctl status", "jasminebend demo"];
    assert_eq!(
        commands("`make demo DEMO_FLAGS=\"--fast\"`"),
        ["jasminebend demo --fast"]
    );
    assert_eq!(commands(page), expected);
}
