//! Errors of settings files name the line, the key and an acceptable value.

use jasminebend::{
    DaemonSettings,
    SettingsError, //
};

const EXAMPLE_SETTINGS: &str = include_str!("../../../examples/jasminebend.yaml");

/// A valid settings file with only the required keys.
const VALID_SETTINGS: &str = "\
listen:
  callers: 10.0.0.5:8080
  administration: 127.0.0.1:9090
  peers: 10.0.0.5:7400
failure_domain: a
region: north
vm: entry-1
peers:
  key_file: /etc/jasminebend/peer.key
platform:
  table: 10.0.0.9:7000
  objects: 10.0.0.9:7001
  vm_list: 10.0.0.9:7002
";

/// Errors caused by replacing a text of the valid file: the text, its replacement, the error message.
const REPLACEMENT_ERRORS: &[(&str, &str, &str)] = &[
    (
        "listen:\n  callers: 10.0.0.5:8080\n  administration: 127.0.0.1:9090\n  peers: 10.0.0.5:7400\n",
        "",
        "line 1: `listen` is missing; give the section, with its keys indented below",
    ),
    (
        "  callers: 10.0.0.5:8080\n",
        "",
        "line 2: `listen.callers` is missing; give an IP address and port to listen on, such as \
         `10.0.0.5:8080`",
    ),
    (
        "callers: 10.0.0.5:8080",
        "callers: 10.0.0.5",
        "line 2: `listen.callers` cannot be `10.0.0.5`; give an IP address and port to listen on, \
         such as `10.0.0.5:8080`",
    ),
    (
        "callers: 10.0.0.5:8080",
        "callers: entry-1:8080",
        "line 2: `listen.callers` cannot be `entry-1:8080`; give an IP address and port to listen \
         on, such as `10.0.0.5:8080`",
    ),
    (
        "callers: 10.0.0.5:8080",
        "callers:\n    - 10.0.0.5:8080",
        "line 3: `callers` has the wrong shape; give one value",
    ),
    (
        "peers: 10.0.0.5:7400",
        "peers: 10.0.0.5:8080",
        "line 4: `listen.peers` cannot be the address of `listen.callers` too; give it its own port",
    ),
    (
        "127.0.0.1:9090",
        "10.0.0.5:9090",
        "line 3: `listen.administration` is off loopback; set `tls` and `tokens_file`, or, to let \
         anyone in, `allow_open_administration: true`",
    ),
    (
        "failure_domain: a\n",
        "",
        "line 1: `failure_domain` is missing; give a name of 1 to 64 letters, digits, `-`, `_` or \
         `.`",
    ),
    (
        "failure_domain: a\n",
        "failure_domain:\n",
        "line 5: `failure_domain` has the wrong shape; give one value",
    ),
    (
        "failure_domain: a\n",
        "failure_domain: a b\n",
        "line 5: `failure_domain` cannot be `a b`; give a name of 1 to 64 letters, digits, `-`, `_` \
         or `.`",
    ),
    (
        "failure_domain",
        "failure-domain",
        "line 5: there is no key `failure-domain` here; the keys are `listen`, `vm`, `failure_domain`, \
         `region`, `seats`, `slot_shares`, `shards`, `peers`, `platform`, `tls`, `tokens_file`, \
         `allow_open_administration`, `log`, `traces`, `limits`, `drain`",
    ),
    (
        "vm: entry-1\n",
        "",
        "line 1: `vm` is missing; give a name of 1 to 64 letters, digits, `-`, `_` or `.`",
    ),
    (
        "peers: 10.0.0.5:7400",
        "peers: 0.0.0.0:7400",
        "line 4: `listen.peers` cannot be `0.0.0.0:7400`; give the IP address and port that the \
         other daemons reach, such as `10.0.0.5:7400`",
    ),
    (
        "peers: 10.0.0.5:7400",
        "peers: 127.0.0.1:7400",
        "line 4: `listen.peers` cannot be `127.0.0.1:7400` while `platform.table` is off loopback; \
         give the IP address and port of this VM that the other daemons reach, such as \
         `10.0.0.5:7400`",
    ),
    (
        "peers: 10.0.0.5:7400",
        "peers: \"[::ffff:127.0.0.1]:7400\"",
        "line 4: `listen.peers` cannot be `[::ffff:127.0.0.1]:7400` while `platform.table` is off \
         loopback; give the IP address and port of this VM that the other daemons reach, such as \
         `10.0.0.5:7400`",
    ),
    (
        "peers: 10.0.0.5:7400\nfailure_domain: a\nregion: north\nvm: entry-1\npeers:\n  key_file: \
         /etc/jasminebend/peer.key\nplatform:\n  table: 10.0.0.9:7000\n  objects: 10.0.0.9:7001\n",
        "peers: \"[::1]:7400\"\nfailure_domain: a\nregion: north\nvm: entry-1\npeers:\n  key_file: \
         /etc/jasminebend/peer.key\nplatform:\n  table: 127.0.0.1:7000\n  objects: 127.0.0.1:7001\n",
        "line 4: `listen.peers` cannot be `[::1]:7400` while `platform.vm_list` is off loopback; \
         give the IP address and port of this VM that the other daemons reach, such as \
         `10.0.0.5:7400`",
    ),
    (
        "  key_file: /etc/jasminebend/peer.key",
        "  key: abc",
        "line 9: there is no key `key` here; the keys are `key_file`",
    ),
    (
        "  key_file: /etc/jasminebend/peer.key",
        "  key_file: \"\"",
        "line 9: `peers.key_file` cannot be ``; give the path of a file",
    ),
    (
        "  table: 10.0.0.9:7000\n",
        "",
        "line 11: `platform.table` is missing; give the IP address and port of the service, such \
         as `10.0.0.9:7000`",
    ),
    (
        "table: 10.0.0.9:7000",
        "table: 0.0.0.0:7000",
        "line 11: `platform.table` cannot be `0.0.0.0:7000`; give the IP address and port of the \
         service, such as `10.0.0.9:7000`",
    ),
    (
        "peers:\n  key_file: /etc/jasminebend/peer.key\n",
        "",
        "line 1: `peers` is missing; give the section, with its keys indented below",
    ),
];

/// Errors caused by lines appended to the valid file, from its line 14 on: the lines, the error message.
const APPENDED_LINE_ERRORS: &[(&str, &str)] = &[
    (
        "seats: many",
        "line 14: `seats` cannot be `many`; give a whole number from 1 to 63",
    ),
    (
        "seats: 0",
        "line 14: `seats` cannot be `0`; give a whole number from 1 to 63",
    ),
    (
        "seats: 7\nseats: 8",
        "line 15: the key `seats` is given twice; give it once",
    ),
    (
        "seats: [7]",
        "line 14: `seats` has the wrong shape; give one value",
    ),
    (
        "slot_shares: 5",
        "line 14: `slot_shares` cannot be 5 with 7 seats; give at least 7",
    ),
    (
        "shards: 1025",
        "line 14: `shards` cannot be `1025`; give a whole number from 1 to 1024",
    ),
    (
        "drain:\n  balancer_lag: 5",
        "line 15: `drain.balancer_lag` cannot be `5`; give a time from 0s to 10m with its unit, \
         such as `5s`",
    ),
    (
        "drain:\n  balancer_lag: 5MiB",
        "line 15: `drain.balancer_lag` cannot be `5MiB`; give a time from 0s to 10m with its unit, \
         such as `5s`",
    ),
    (
        "drain:\n  leave_timeout: 2h",
        "line 15: `drain.leave_timeout` cannot be `2h`; give a time from 1s to 1h with its unit, \
         such as `1m`",
    ),
    (
        "limits:\n  longest_request: 30",
        "line 15: `limits.longest_request` cannot be `30`; give a time from 1s to 10m with its \
         unit, such as `30s`",
    ),
    (
        "drain: 5s",
        "line 14: `drain` has the wrong shape; give the section, with its keys indented below",
    ),
    (
        "limits:\n  request_body: 64",
        "line 15: `limits.request_body` cannot be `64`; give a size from 1KiB to 1GiB with its \
         unit, such as `16MiB`",
    ),
    (
        "limits:\n  request_body: 2s",
        "line 15: `limits.request_body` cannot be `2s`; give a size from 1KiB to 1GiB with its \
         unit, such as `16MiB`",
    ),
    (
        "limits:\n  headers: 2MiB",
        "line 15: `limits.headers` cannot be `2MiB`; give a size from 8KiB to 1MiB with its unit, \
         such as `16KiB`",
    ),
    (
        "limits:\n  incomplete_slots_percent: 0",
        "line 15: `limits.incomplete_slots_percent` cannot be `0`; give a whole number of percent \
         from 1 to 100",
    ),
    (
        "limits:\n  caller_connections: 0",
        "line 15: `limits.caller_connections` cannot be `0`; give a whole number of connections \
         from 1 to 65536",
    ),
    (
        "limits:\n  administration_timeout: 1h",
        "line 15: `limits.administration_timeout` cannot be `1h`; give a time from 100ms to 5m \
         with its unit, such as `30s`",
    ),
    (
        "log:\n  format: xml",
        "line 15: `log.format` cannot be `xml`; give `text` or `json`",
    ),
    (
        "log:\n  level: loud",
        "line 15: `log.level` cannot be `loud`; give `error`, `warn`, `info` or `debug`",
    ),
    (
        "traces:\n  sample_ratio: 0.5",
        "line 15: `traces.collector` is missing; give the IP address and port of an OTLP/HTTP \
         collector, such as `10.0.0.9:4318`",
    ),
    (
        "traces:\n  collector: 10.0.0.9:4318\n  sample_ratio: 2",
        "line 16: `traces.sample_ratio` cannot be `2`; give a ratio from 0 to 1, such as `0.01`",
    ),
    (
        "tls:\n  cert_file: /etc/jasminebend/tls.crt",
        "line 15: `tls.key_file` is missing; give the path of a PEM file with the certificate's \
         private key",
    ),
    (
        "allow_open_administration: yes",
        "line 14: `allow_open_administration` cannot be `yes`; give `true` or `false`",
    ),
    (
        "  table_timeout: 0s",
        "line 14: `platform.table_timeout` cannot be `0s`; give a time from 10ms to 1m with its \
         unit, such as `2s`",
    ),
    (
        "log: \"json",
        "line 14: this is not YAML: unclosed quote at line 14, column 6",
    ),
];

/// Loopback peer addresses are rejected if the platform is off loopback: two daemons on two VMs, both set to
/// `listen.peers: 127.0.0.1:7400`, could take over each other's seat while both run, because a process that listens at
/// a holder's address counts as its successor. A system on one machine has no such VMs, so it may use loopback.
#[test]
fn loopback_peers_are_accepted_with_a_loopback_platform() {
    let alone = VALID_SETTINGS.replace("10.0.0.", "127.0.0.");
    let settings = DaemonSettings::from_yaml(&alone).unwrap();
    assert!(settings.listen.peers.ip().is_loopback());
}

fn error_message(text: &str) -> String {
    let error: SettingsError = DaemonSettings::from_yaml(text).expect_err(text);
    error.to_string()
}

#[test]
fn replaced_text_is_reported_with_line_and_key() {
    for (text, replacement, expected) in REPLACEMENT_ERRORS {
        assert!(VALID_SETTINGS.contains(text), "{text}");
        let bad = VALID_SETTINGS.replacen(text, replacement, 1);
        assert_eq!(error_message(&bad), *expected, "\n{bad}");
    }
}

#[test]
fn appended_lines_are_reported_with_line_and_key() {
    for (lines, expected) in APPENDED_LINE_ERRORS {
        let bad = format!("{VALID_SETTINGS}{lines}\n");
        assert_eq!(error_message(&bad), *expected, "\n{bad}");
    }
}

#[test]
fn a_missing_settings_file_is_reported() {
    let error = DaemonSettings::load("no-such-settings.yaml".as_ref()).unwrap_err();
    assert_eq!(
        error.to_string(),
        "the settings file no-such-settings.yaml cannot be read: No such file or directory (os \
         error 2)"
    );
}

#[test]
fn a_missing_named_file_is_reported() {
    let path = std::env::temp_dir().join(format!("jasminebend-{}.yaml", std::process::id()));
    std::fs::write(
        &path,
        VALID_SETTINGS.replace("/etc/jasminebend/", "/no/such/"),
    )
    .unwrap();
    let error = DaemonSettings::load(&path).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(
        error.to_string(),
        "line 9: the file of `peers.key_file`, /no/such/peer.key, cannot be read: No such file or \
         directory (os error 2)"
    );
}

#[test]
fn the_example_and_the_minimal_file_are_valid() {
    let example = DaemonSettings::from_yaml(EXAMPLE_SETTINGS).unwrap();
    let minimal = DaemonSettings::from_yaml(VALID_SETTINGS).unwrap();
    assert_eq!(example.seats, minimal.seats);
    assert_eq!(example.slot_shares, minimal.slot_shares);
    assert_eq!(example.limits, minimal.limits);
}
