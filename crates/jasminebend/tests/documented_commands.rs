//! The command lines in the documentation are accepted by the programs.

use std::ffi::OsString;

use jasminebend::CommandLine as DaemonLine;
use jbctl::CommandLine as OperatorLine;

const DOCUMENTED_PAGES: &[(&str, &str)] = &[
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
const ADMINISTRATION_PAGE: &str = DOCUMENTED_PAGES[2].1;

const MAKEFILE: &str = include_str!("../../../Makefile");
const DEMO_COMMAND_PREFIX: &str = "make demo DEMO_FLAGS=";

/// Placeholders in documented commands that would not parse, with the values that replace them.
const PLACEHOLDERS: &[(&str, &str)] = &[("N", "1"), ("IP:PORT", "127.0.0.1:9090")];

/// Returns the code on a page: the lines of its code blocks and the inline code of its text.
fn code_of_page(page: &str) -> Vec<String> {
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

/// Returns the commands of `jbctl` and `jasminebend` on a page, including the flags passed to `make demo`.
fn commands_of_page(page: &str) -> Vec<String> {
    let ours = |line: String| match line.strip_prefix(DEMO_COMMAND_PREFIX) {
        Some(flags) => Some(format!("jasminebend demo {}", flags.trim_matches('"'))),
        None if line.starts_with("jbctl ") || line.starts_with("jasminebend ") => Some(line),
        None => None,
    };
    code_of_page(page).into_iter().filter_map(ours).collect()
}

/// Turns a synopsis into arguments: `text|json` becomes `text`, `[--force]` becomes `--force`.
fn arguments(command: &str) -> Vec<OsString> {
    let plain = |word: &str| {
        let word = word.trim_matches(['[', ']']);
        let word = word.split('|').next().unwrap_or(word);
        let placeholder = PLACEHOLDERS
            .iter()
            .find(|(placeholder, _)| *placeholder == word);
        placeholder.map_or(word, |(_, value)| value).into()
    };
    command.split_whitespace().skip(1).map(plain).collect()
}

/// Parses a command with the program that it names.
fn check_command(command: &str) -> Result<(), String> {
    let arguments = arguments(command);
    if command.starts_with("jasminebend ") {
        let line = DaemonLine::parse(arguments);
        return line.map(drop).map_err(|error| error.to_string());
    }
    let line = OperatorLine::parse(arguments);
    line.map(drop).map_err(|error| error.to_string())
}

/// Returns the commands of jbctl's synopsis, which are listed in columns below its options.
fn synopsis_commands() -> Vec<String> {
    let (_, block) = ADMINISTRATION_PAGE
        .split_once("COMMAND\n")
        .expect("a synopsis");
    let (block, _) = block.split_once("```").expect("its end");
    let columns = block.split('\n').flat_map(|line| line.split("  "));
    let columns = columns.map(str::trim).filter(|command| !command.is_empty());
    columns.map(|command| format!("jbctl {command}")).collect()
}

#[test]
fn every_documented_command_parses() {
    let mut command_count = 0;
    for (name, page) in DOCUMENTED_PAGES {
        for command in commands_of_page(page) {
            // `jbctl ... COMMAND` heads the synopsis, whose commands another test checks.
            let command = command.replace(" COMMAND", " status");
            assert_eq!(check_command(&command), Ok(()), "{name}: {command}");
            command_count += 1;
        }
    }
    assert!(
        command_count >= 10,
        "only {command_count} commands were found"
    );
}

#[test]
fn every_documented_make_target_exists() {
    let code = DOCUMENTED_PAGES
        .iter()
        .flat_map(|(_, page)| code_of_page(page));
    let make_commands: Vec<String> = code.filter(|line| line.starts_with("make ")).collect();
    assert!(!make_commands.is_empty());
    for line in make_commands {
        let target = line.split_whitespace().nth(1).unwrap_or_default();
        assert!(MAKEFILE.contains(&format!("\n{target}:")), "{line}");
    }
}

#[test]
fn the_documented_synopsis_matches_the_help() {
    let documented = synopsis_commands();
    for command in &documented {
        assert_eq!(check_command(command), Ok(()), "{command}");
    }
    let (_, help) = jbctl::HELP_TEXT.split_once("COMMAND\n").expect("a usage");
    let (help, _) = help.split_once("\n\n").expect("its end");
    for line in help.lines() {
        let command = line.trim().split("  ").next().unwrap_or_default();
        let command = command.replace("out|in", "out");
        assert!(
            documented.contains(&format!("jbctl {command}")),
            "{command}"
        );
    }
}

#[test]
fn outdated_commands_are_detected() {
    for command in [
        "jbctl job lst",
        "jbctl domain out",
        "jasminebend demo --fast",
    ] {
        assert!(check_command(command).is_err(), "{command}");
    }
    let page =
        "Text `jbctl job lst`.\n\n    jbctl status   # why\n\n```sh\njasminebend demo\n```\n";
    let expected = ["jbctl job lst", "jbctl status", "jasminebend demo"];
    assert_eq!(
        commands_of_page("`make demo DEMO_FLAGS=\"--fast\"`"),
        ["jasminebend demo --fast"]
    );
    assert_eq!(commands_of_page(page), expected);
}
