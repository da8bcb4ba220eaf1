//! Parsing of the program's command line.

use std::ffi::OsString;

use jasminebend::{
    CommandLine,
    UsageError, //
};
use jasminebend_dispatch::{
    PolicyPart,
    PolicySwitches, //
};

fn parse(line: &str) -> Result<CommandLine, UsageError> {
    let arguments: Vec<OsString> = line.split_whitespace().map(OsString::from).collect();
    CommandLine::parse(arguments)
}

#[test]
fn fleet_enables_every_policy_part_by_default() {
    let command = parse("fleet").expect("it is a command");
    assert_eq!(command, CommandLine::Fleet(PolicySwitches::default()));
    for part in PolicyPart::ALL {
        assert!(PolicySwitches::default().has(part));
    }
}

#[test]
fn without_switches_off_the_named_policy_parts() {
    for part in PolicyPart::ALL {
        let command = parse(&format!("fleet --without {part}")).expect("it is a part");
        let switches = PolicySwitches::default().without(part);
        assert_eq!(command, CommandLine::Fleet(switches));
        let others = PolicyPart::ALL.into_iter().filter(|other| *other != part);
        assert_eq!(switches.switched_off().collect::<Vec<_>>(), vec![part]);
        assert!(!switches.has(part) && others.into_iter().all(|other| switches.has(other)));
    }
    let two = parse("fleet --without pacing --without=room-kept").expect("both are parts");
    let switches = PolicySwitches::default()
        .without(PolicyPart::Throttling)
        .without(PolicyPart::CapacityReservation);
    assert_eq!(two, CommandLine::Fleet(switches));
}

#[test]
fn an_unknown_policy_part_is_reported_with_the_known_ones() {
    let error = parse("fleet --without packing").expect_err("it is no part");
    let text = error.to_string();
    assert!(
        text.starts_with(
            "`packing` is no part of the policy; there are learned-pairs, step-loads,"
        )
    );
    let error = parse("fleet --without").expect_err("a name is missing");
    assert_eq!(
        error.to_string(),
        "missing argument for option '--without'; see `jasminebend --help`"
    );
    let error = parse("fleet now").expect_err("it takes no argument");
    assert!(matches!(error, UsageError::Option { .. }));
}
