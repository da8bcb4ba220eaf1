//! What the program's command line takes.

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
fn a_fleet_daemon_has_every_part_of_the_policy() {
    let command = parse("fleet").expect("it is a command");
    assert_eq!(command, CommandLine::Fleet(PolicySwitches::default()));
    for part in PolicyPart::ALL {
        assert!(PolicySwitches::default().has(part));
    }
}

#[test]
fn a_trial_does_without_the_parts_that_it_names() {
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
fn a_part_that_does_not_exist_is_named_beside_those_that_do() {
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
